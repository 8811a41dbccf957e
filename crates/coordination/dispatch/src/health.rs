//! Ejection and slow start of failing backend servers.
//!
//! Reports and failures are only hints: an ejected server is retried after a bounded
//! time, and only a fraction of a pool is ejected at once.

use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::time;

/// Consecutive failures after which a server is ejected.
const MAX_FAILURES: u32 = 3;
/// Duration of the first ejection.
const FIRST_EJECTION: duration::Duration = duration::Duration::from_secs(1);
/// Maximum number of times that the ejection duration doubles.
const MAX_DOUBLINGS: u32 = 5;
/// Duration of the slow start, over which all slots of a server become usable.
const SLOW_START: duration::Duration = duration::Duration::from_secs(10);

/// Health of one server as observed by this instance.
#[derives::value]
pub struct ServerHealth {
    failures: u32,
    ejections: u32,
    ejected_until: time::Timestamp,
    slow_start_at: Option<time::Timestamp>,
}

impl ServerHealth {
    /// The health of a server that is neither failing nor in slow start.
    pub const HEALTHY: Self = Self {
        failures: 0,
        ejections: 0,
        ejected_until: time::Timestamp::ZERO,
        slow_start_at: None,
    };

    /// Returns the health of a server whose slow start begins at `now`.
    #[must_use]
    pub const fn slow_starting(now: time::Timestamp) -> Self {
        Self { slow_start_at: Some(now), ..Self::HEALTHY }
    }

    /// Returns true if the server is ejected.
    #[must_use]
    pub fn is_ejected(&self, now: time::Timestamp) -> bool {
        now < self.ejected_until
    }

    /// Returns when the ejection ends.
    #[must_use]
    pub const fn ejected_until(&self) -> time::Timestamp {
        self.ejected_until
    }

    /// Records a response, which resets the failures and ejections.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.ejections = 0;
    }

    /// Records a failure and returns true if the server should be ejected.
    #[must_use]
    pub fn record_failure(&mut self) -> bool {
        self.failures += 1;
        // A server that fails again before it has responded is ejected at once.
        self.failures >= MAX_FAILURES || self.ejections > 0
    }

    /// Ejects the server; its slow start follows the ejection.
    pub fn eject(&mut self, now: time::Timestamp) {
        let ejection = FIRST_EJECTION * (1 << self.ejections.min(MAX_DOUBLINGS));
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = now + ejection;
        self.slow_start_at = Some(self.ejected_until);
    }

    /// Returns true if the server is not in slow start, so that all its slots may be used.
    #[must_use]
    pub fn is_past_slow_start(&self, now: time::Timestamp) -> bool {
        self.slow_start_at.is_none_or(|started_at| now.since(started_at) >= SLOW_START)
    }

    /// Returns the number of slots that may be used: at least one in slow start, then all.
    #[must_use]
    pub fn usable_slots(&self, slots: u32, now: time::Timestamp) -> u32 {
        let Some(started_at) = self.slow_start_at else { return slots };
        let share = now.since(started_at).as_secs_f64() / SLOW_START.as_secs_f64();
        if share >= 1.0 {
            return slots;
        }
        ((f64::from(slots) * share) as u32).max(1)
    }
}
