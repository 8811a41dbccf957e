//! What is known of the store's state.
//!
//! Times are points on this process's clock. An age that a peer gives is
//! counted back from the time at which the peer was asked, so that the way of
//! the answer makes it greater and never smaller.

use std::time;

use marjoramwing_entity::time as entity_time;

/// When the store was last heard from, directly and by way of peers.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreSight {
    /// Latest time at which the store held nothing newer than is known here.
    confirmed_at: Option<entity_time::Timestamp>,
    /// When the own calls began to fail, while they do.
    failing_since: Option<entity_time::Timestamp>,
}

impl StoreSight {
    /// Notes that the store held nothing newer at a time.
    pub fn confirm(&mut self, at: entity_time::Timestamp) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Notes that a peer, asked at a time, knew the store's state of `age` ago.
    pub fn confirm_by_peer(&mut self, asked_at: entity_time::Timestamp, age: time::Duration) {
        let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let at = asked_at.as_micros().saturating_sub(age);
        self.confirm(entity_time::Timestamp::from_micros(at));
    }

    /// Notes an own call that the store answered.
    pub fn note_answer(&mut self) {
        self.failing_since = None;
    }

    /// Notes an own call that the store did not answer.
    pub fn note_failure(&mut self, now: entity_time::Timestamp) {
        self.failing_since.get_or_insert(now);
    }

    /// Returns the time since the store confirmed what is known here.
    #[must_use]
    pub fn age(&self, now: entity_time::Timestamp) -> Option<time::Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Returns the time for which the own calls have failed.
    #[must_use]
    pub fn failing(&self, now: entity_time::Timestamp) -> Option<time::Duration> {
        self.failing_since.map(|since| now.since(since))
    }
}
