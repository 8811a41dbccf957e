//! Freshness of the tables and reachability of the store.
//!
//! All timestamps are on the local clock. An age reported by a peer is
//! subtracted from the time at which the request was sent, so that network
//! latency can only make the tables appear older, never newer.

use std::time;

use marjoramwing_entity::time as entity_time;

/// When the local tables were last confirmed against the store, directly or through peers.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreFreshness {
    /// Latest time at which the store is known to have held nothing newer than the local tables.
    confirmed_at: Option<entity_time::Timestamp>,
    /// When this instance's calls began to fail; `None` if the last one succeeded.
    failing_since: Option<entity_time::Timestamp>,
}

impl StoreFreshness {
    /// Records that the store held nothing newer at the given time.
    pub fn confirm(&mut self, at: entity_time::Timestamp) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Records that a peer, asked at `asked_at`, confirmed its tables `age` before it answered.
    pub fn confirm_by_peer(&mut self, asked_at: entity_time::Timestamp, age: time::Duration) {
        let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let at = asked_at.as_micros().saturating_sub(age);
        self.confirm(entity_time::Timestamp::from_micros(at));
    }

    /// Records that the store answered a call of this instance.
    pub fn record_answer(&mut self) {
        self.failing_since = None;
    }

    /// Records that a call of this instance failed.
    pub fn record_failure(&mut self, now: entity_time::Timestamp) {
        self.failing_since.get_or_insert(now);
    }

    /// Returns the time since the local tables were last confirmed, or `None` if they never were.
    #[must_use]
    pub fn age(&self, now: entity_time::Timestamp) -> Option<time::Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Returns the time since this instance's calls began to fail, or `None` if the last one
    /// succeeded.
    #[must_use]
    pub fn failing_for(&self, now: entity_time::Timestamp) -> Option<time::Duration> {
        self.failing_since.map(|since| now.since(since))
    }
}
