//! Requests that come back to the region once its servers have room again.
//!
//! Invariant: from one window to the next, the part of a service's requests
//! that another region serves falls by at most the step, while that region has
//! room for them.

use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::time;

/// Span over which the part is measured.
const WINDOW: duration::Duration = duration::Duration::from_secs(2);
/// Requests that the window before must have had for its part to bind.
const LEAST_REQUESTS: u32 = 8;

/// Counts of one window.
#[derives::value]
#[derive(Default)]
struct WindowCount {
    all: u32,
    far: u32,
}

/// Bounds how fast a service's requests come back to the region.
#[derives::value]
pub struct HomingLimiter {
    /// Most that the part may fall from one window to the next, in thousandths.
    step_milli: u32,
    /// Start of the current window, once there was a request.
    begun_at: Option<time::Timestamp>,
    current: WindowCount,
    before: WindowCount,
}

impl HomingLimiter {
    /// Makes a limiter that knows no request.
    ///
    /// The part that the region's own slots cannot be expected to serve, in
    /// thousandths, stands for the window before the first.
    #[must_use]
    pub fn new(step: f64, first_far_milli: u32) -> Self {
        Self {
            step_milli: (step * 1_000.0) as u32,
            begun_at: None,
            current: WindowCount::default(),
            before: WindowCount { all: 1_000, far: first_far_milli.min(1_000) },
        }
    }

    /// Tells whether a request was recorded.
    #[must_use]
    pub const fn has_begun(&self) -> bool {
        self.begun_at.is_some()
    }

    /// Tells whether the next request is to go to another region still.
    #[must_use]
    pub fn keeps_far(&self, now: time::Timestamp) -> bool {
        let (current, before) = self.at(now);
        if before.all < LEAST_REQUESTS {
            return false;
        }
        let least_milli = (before.far * 1_000 / before.all).saturating_sub(self.step_milli);
        current.far * 1_000 < least_milli * (current.all + 1)
    }

    /// Records a request.
    pub fn record(&mut self, is_far: bool, now: time::Timestamp) {
        (self.current, self.before) = self.at(now);
        if self.begun_at.is_none_or(|begun_at| now.since(begun_at) >= WINDOW) {
            self.begun_at = Some(now);
        }
        self.current.all += 1;
        self.current.far += u32::from(is_far);
    }

    /// Returns the counts of the current window and of the one before it.
    fn at(&self, now: time::Timestamp) -> (WindowCount, WindowCount) {
        let Some(begun_at) = self.begun_at else { return (self.current, self.before) };
        match now.since(begun_at) {
            elapsed if elapsed < WINDOW => (self.current, self.before),
            elapsed if elapsed < 2 * WINDOW => (WindowCount::default(), self.current),
            _ => (WindowCount::default(), WindowCount::default()),
        }
    }
}
