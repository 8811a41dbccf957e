//! Ejection of failing backend servers, and their slow start.
//!
//! Reports and failures are hints: an ejected server is tried again after a
//! bounded time, and only a fraction of a pool is ever ejected at once.

use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::time;

/// Failures in a row after which a server is ejected.
const MAX_FAILURES: u32 = 3;
/// Length of the first ejection.
const FIRST_EJECTION: duration::Duration = duration::Duration::from_secs(1);
/// Doublings after which ejections grow no longer.
const MAX_DOUBLINGS: u32 = 5;
/// Time over which a server that starts anew is given its slots.
const SLOW_START: duration::Duration = duration::Duration::from_secs(10);

/// Health of one server as this instance saw it.
#[derives::value]
pub struct ServerHealth {
    failures: u32,
    ejections: u32,
    ejected_until: time::Timestamp,
    warm_from: Option<time::Timestamp>,
}

impl ServerHealth {
    /// The health of a server that is warm.
    pub const WARM: Self =
        Self { failures: 0, ejections: 0, ejected_until: time::Timestamp::ZERO, warm_from: None };

    /// The health of a server that starts at `now`.
    #[must_use]
    pub const fn cold(now: time::Timestamp) -> Self {
        Self { warm_from: Some(now), ..Self::WARM }
    }

    /// Tells whether the server is ejected.
    #[must_use]
    pub fn is_ejected(&self, now: time::Timestamp) -> bool {
        now < self.ejected_until
    }

    /// Returns when the ejection ends.
    #[must_use]
    pub const fn ejected_until(&self) -> time::Timestamp {
        self.ejected_until
    }

    /// Records an answer.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.ejections = 0;
    }

    /// Records a failure and tells whether the server ought to be ejected.
    #[must_use]
    pub fn record_failure(&mut self) -> bool {
        self.failures += 1;
        // One that fails again after its ejection is not given three more.
        self.failures >= MAX_FAILURES || self.ejections > 0
    }

    /// Ejects the server; it starts slowly afterwards.
    pub fn eject(&mut self, now: time::Timestamp) {
        let length = FIRST_EJECTION * (1 << self.ejections.min(MAX_DOUBLINGS));
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = now + length;
        self.warm_from = Some(self.ejected_until);
    }

    /// Tells whether all of a server's slots may be used.
    #[must_use]
    pub fn is_warm(&self, now: time::Timestamp) -> bool {
        self.warm_from.is_none_or(|from| now.since(from) >= SLOW_START)
    }

    /// Returns how many of a server's slots may be used.
    #[must_use]
    pub fn usable_slots(&self, slots: u32, now: time::Timestamp) -> u32 {
        let Some(from) = self.warm_from else { return slots };
        let share = now.since(from).as_secs_f64() / SLOW_START.as_secs_f64();
        if share >= 1.0 {
            return slots;
        }
        ((f64::from(slots) * share) as u32).max(1)
    }
}
