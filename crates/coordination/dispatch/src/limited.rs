//! The queue of a service some of whose servers are limited or want no requests for a time.
//!
//! Such servers take less than before, so that requests may come faster than slots. The queue
//! then has an end: a request that the servers do not take in time is refused at once. While more
//! requests come than slots are granted, a request that waits is overtaken by later ones; the
//! queue then holds only what the next slots need.

use std::time as duration;

use marjoramwing_entity::time;

use crate::queue;
use crate::restriction;

/// Longest wait in an overloaded queue, as a divisor of the time to a response.
const OVERLOADED_WAIT_DIVISOR: u64 = 2;
/// Number of requests that an overloaded queue holds at least.
const MIN_QUEUED: usize = 1;

/// Load of a service with limited servers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LimitedLoad {
    restriction: restriction::ServerRestriction,
    /// Slots per second that this instance gets, in thousandths.
    rate_milli: u64,
    is_overloaded: bool,
}

impl LimitedLoad {
    /// Creates the load of servers that grant a number of slots per second.
    pub(crate) fn new(
        restriction: restriction::ServerRestriction,
        granted: f64,
        is_overloaded: bool,
    ) -> Self {
        let rate_milli = restriction.rate_milli.max((granted * 1_000.0) as u64);
        Self { restriction, rate_milli, is_overloaded }
    }

    /// Returns the time after which a request behind `ahead` others may be taken, if the servers do
    /// not take it in time.
    pub(crate) fn refusal(
        &self,
        request: &queue::SlotRequest,
        ahead: usize,
        now: time::Timestamp,
    ) -> Option<duration::Duration> {
        let response = duration::Duration::from_micros(self.restriction.response_us);
        let sent_at = self.restriction.next_at.max(now) + self.time_for(ahead);
        let is_late = sent_at + response > request.deadline;
        let max_wait_us = self.restriction.response_us / OVERLOADED_WAIT_DIVISOR;
        let is_behind = self.is_overloaded
            && ahead >= MIN_QUEUED
            && self.time_for(ahead) > duration::Duration::from_micros(max_wait_us);
        (is_late || is_behind).then(|| sent_at.since(now) + self.time_for(1))
    }

    /// Returns the time in which a number of slots is granted.
    fn time_for(&self, slots: usize) -> duration::Duration {
        let time_us = (slots as u64 * 1_000_000_000).checked_div(self.rate_milli);
        duration::Duration::from_micros(time_us.unwrap_or(0))
    }
}
