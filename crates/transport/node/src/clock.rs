//! The monotonic clock of the process.

use std::time as system;

use marjoramwing_entity::time;

/// Measures time since the start of the process.
#[derive(Debug, Clone, Copy)]
pub struct MonotonicClock {
    start: system::Instant,
}

impl MonotonicClock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self { start: system::Instant::now() }
    }

    /// Returns the time since the start.
    #[must_use]
    pub fn now(&self) -> time::Timestamp {
        time::Timestamp::ZERO + self.start.elapsed()
    }
}
