//! A meter of the rate of events, such as requests at one instance.

use std::time as duration;

use crate::time;
use marjoramwing_derives as derives;

/// Time constant of the exponential decay.
const DECAY: duration::Duration = duration::Duration::from_millis(500);

/// An exponentially decaying average of events per second.
#[derives::measure]
pub struct RateMeter {
    decay: duration::Duration,
    per_second: f64,
    updated_at: time::Timestamp,
}

impl Default for RateMeter {
    fn default() -> Self {
        Self::new(DECAY)
    }
}

impl RateMeter {
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

    /// Counts events that happen at `now`.
    pub fn add(&mut self, amount: u32, now: time::Timestamp) {
        self.per_second = self.per_second(now) + f64::from(amount) / self.decay.as_secs_f64();
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the average rate of events per second.
    #[must_use]
    pub fn per_second(&self, now: time::Timestamp) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.per_second * (-elapsed / self.decay.as_secs_f64()).exp()
    }
}
