//! How many requests per second arrive at one instance under one limit.

use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::time;

/// Time in which an old request loses two thirds of its weight.
const DECAY: duration::Duration = duration::Duration::from_millis(500);

/// A decaying count of requests per second.
#[derives::measure]
#[derive(Default)]
pub struct DemandMeter {
    per_second: f64,
    at: time::Timestamp,
}

impl DemandMeter {
    /// Counts requests.
    pub fn add(&mut self, amount: u32, now: time::Timestamp) {
        self.per_second = self.per_second(now) + f64::from(amount) / DECAY.as_secs_f64();
        self.at = self.at.max(now);
    }

    /// Returns the requests per second of late.
    #[must_use]
    pub fn per_second(&self, now: time::Timestamp) -> f64 {
        let elapsed = now.since(self.at).as_secs_f64();
        self.per_second * (-elapsed / DECAY.as_secs_f64()).exp()
    }
}
