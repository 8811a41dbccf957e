//! How many requests per second arrive at one instance under one limit.

use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::time;

/// Time in which an old request loses two thirds of its weight.
const DECAY: duration::Duration = duration::Duration::from_millis(500);

/// A decaying count of requests per second.
#[derives::measure]
pub struct DemandMeter {
    decay: duration::Duration,
    per_second: f64,
    at: time::Timestamp,
}

impl Default for DemandMeter {
    fn default() -> Self {
        Self::new(DECAY)
    }
}

impl DemandMeter {
    /// Makes a count that forgets over a time.
    #[must_use]
    pub const fn new(decay: duration::Duration) -> Self {
        Self { decay, per_second: 0.0, at: time::Timestamp::ZERO }
    }

    /// Makes a count that reads so many requests per second now.
    #[must_use]
    pub const fn reading(decay: duration::Duration, per_second: f64, now: time::Timestamp) -> Self {
        Self { decay, per_second, at: now }
    }

    /// Counts requests.
    pub fn add(&mut self, amount: u32, now: time::Timestamp) {
        self.per_second = self.per_second(now) + f64::from(amount) / self.decay.as_secs_f64();
        self.at = self.at.max(now);
    }

    /// Returns the requests per second of late.
    #[must_use]
    pub fn per_second(&self, now: time::Timestamp) -> f64 {
        let elapsed = now.since(self.at).as_secs_f64();
        self.per_second * (-elapsed / self.decay.as_secs_f64()).exp()
    }
}
