//! Monotonic points in time.
//!
//! Crates that perform no I/O never read a clock: the caller passes the current
//! time in, so that tests and benchmarks can use virtual time.

use std::ops;
use std::time;

use marjoramwing_derives as derives;

/// Microseconds on one process's monotonic clock.
#[derives::value]
#[derive(Default)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);
    /// A point in time that is never reached, such as for a disabled timer.
    pub const NEVER: Self = Self(u64::MAX);

    /// Creates a timestamp from microseconds since the clock's start.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a timestamp from milliseconds since the clock's start.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the clock's start.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<time::Duration> for Timestamp {
    type Output = Self;

    fn add(self, duration: time::Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl ops::Sub<time::Duration> for Timestamp {
    type Output = Self;

    /// Returns the earlier time, at most the start of the clock.
    fn sub(self, duration: time::Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl ops::AddAssign<time::Duration> for Timestamp {
    fn add_assign(&mut self, duration: time::Duration) {
        *self = *self + duration;
    }
}
