//! A meter of the requests per second that arrive at one instance under one limit.

use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::time;

/// Time constant of the exponential decay.
const DECAY: duration::Duration = duration::Duration::from_millis(500);

/// An exponentially decaying average of requests per second.
#[derives::measure]
pub struct DemandMeter {
    decay: duration::Duration,
    per_second: f64,
    updated_at: time::Timestamp,
}

impl Default for DemandMeter {
    fn default() -> Self {
        Self::new(DECAY)
    }
}

impl DemandMeter {
    /// Creates a meter with a time constant.
    #[must_use]
    pub const fn new(decay: duration::Duration) -> Self {
        Self { decay, per_second: 0.0, updated_at: time::Timestamp::ZERO }
    }

    /// Creates a meter that reads `per_second` at `now`.
    #[must_use]
    pub const fn with_rate(
        decay: duration::Duration,
        per_second: f64,
        now: time::Timestamp,
    ) -> Self {
        Self { decay, per_second, updated_at: now }
    }

    /// Counts requests that arrive at `now`.
    pub fn add(&mut self, amount: u32, now: time::Timestamp) {
        self.per_second = self.per_second(now) + f64::from(amount) / self.decay.as_secs_f64();
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the average rate of requests per second.
    #[must_use]
    pub fn per_second(&self, now: time::Timestamp) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.per_second * (-elapsed / self.decay.as_secs_f64()).exp()
    }
}
