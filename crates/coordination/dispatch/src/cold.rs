//! The pace of requests to a cold server.
//!
//! Invariant: within any second this instance sends a cold server at most the
//! requests that it was given.

use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::time;

/// Span over which requests to a cold server are counted, with a margin for
/// requests that arrive closer together than they were sent.
const SPAN: duration::Duration = duration::Duration::from_millis(1_100);

/// When the next request may go to a server that is or may be cold.
#[derives::value]
pub struct ColdPace {
    until: time::Timestamp,
    next_at: time::Timestamp,
    per_span: u32,
}

impl ColdPace {
    /// The pace of a server that is warm.
    pub const WARM: Self =
        Self { until: time::Timestamp::ZERO, next_at: time::Timestamp::ZERO, per_span: 1 };

    /// Notes until when the server is cold.
    pub const fn set_until(&mut self, until: time::Timestamp) {
        self.until = until;
    }

    /// Sets the requests within one second; none at all for 0.
    pub const fn set_rate(&mut self, per_second: u32) {
        self.per_span = per_second;
    }

    /// Tells whether a request may go now.
    #[must_use]
    pub fn allows(&self, now: time::Timestamp) -> bool {
        now >= self.until || (self.per_span > 0 && now >= self.next_at)
    }

    /// Returns when a request may go that may not go now.
    #[must_use]
    pub fn next_at(&self) -> time::Timestamp {
        if self.per_span == 0 { self.until } else { self.next_at.min(self.until) }
    }

    /// Records a request.
    pub fn record(&mut self, now: time::Timestamp) {
        if now < self.until {
            self.next_at = now + SPAN / self.per_span.max(1);
        }
    }
}

/// Requests per second that all instances together may send to one cold server.
#[derives::value]
pub struct ColdAllowance {
    per_second: usize,
}

impl ColdAllowance {
    /// Allows the rate that the server bears, with half of what goes beyond it.
    #[must_use]
    pub fn new(rate: f64, overage: f64, slack: f64) -> Self {
        let beyond = rate * (overage - 1.0) + slack;
        let per_second = (rate + beyond / 2.0).floor().max(1.0);
        Self { per_second: per_second as usize }
    }

    /// Returns the part of one instance, by its rank among those of the fleet.
    ///
    /// Of a fleet that is larger than the allowance only the first get a part.
    #[must_use]
    pub fn share(self, rank: usize, fleet_size: usize) -> u32 {
        let sharers = fleet_size.clamp(1, self.per_second);
        if rank >= sharers {
            return 0;
        }
        u32::try_from(self.per_second / sharers).unwrap_or(u32::MAX)
    }
}
