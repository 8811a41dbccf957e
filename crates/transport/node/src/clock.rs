//! The monotonic clock of the process.

use std::pin;
use std::time as system;

use marjoramwing_entity::time;

/// Minimum lateness of a timer that indicates that the process was paused.
const PAUSE_THRESHOLD: system::Duration = system::Duration::from_millis(100);
/// Extra time in which a process reads what arrived while it was paused.
const CATCH_UP_TIMEOUT: system::Duration = system::Duration::from_millis(100);

/// Clock that measures the time since it was started.
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

    /// Returns the time since the clock was started.
    #[must_use]
    pub fn now(&self) -> time::Timestamp {
        time::Timestamp::ZERO + self.start.elapsed()
    }

    /// Waits for a future until a time; returns `None` if it is not ready by then.
    ///
    /// If the process was paused past that time, the awaited data may already be in a
    /// socket buffer, so the future gets some more time.
    pub async fn wait<F: Future>(&self, until: time::Timestamp, future: F) -> Option<F::Output> {
        let mut future = pin::pin!(future);
        let time_left = until.since(self.now());
        if let Ok(output) = tokio::time::timeout(time_left, &mut future).await {
            return Some(output);
        }
        if self.now().since(until) < PAUSE_THRESHOLD {
            return None;
        }
        tokio::time::timeout(CATCH_UP_TIMEOUT, future).await.ok()
    }
}
