//! Delay between two watches of the same objects, so that changes in quick succession cost
//! one call.

use std::time as duration;

use marjoramwing_entity::time;

/// Delay after a watch that had to wait for a change.
const MIN_PAUSE: duration::Duration = duration::Duration::from_millis(400);
/// Delay while changes keep coming. It is part of the time that a server that leaves still gets
/// requests.
const MAX_PAUSE: duration::Duration = duration::Duration::from_secs(1);
/// Delay after the start, when all servers may register at the same time.
const STARTUP_PAUSE: duration::Duration = duration::Duration::from_secs(2);
/// Time after the start for which that delay applies.
const STARTUP_PERIOD: duration::Duration = duration::Duration::from_secs(4);
/// Duration of a watch below which its changes were already there when it was sent.
const IMMEDIATE: duration::Duration = duration::Duration::from_millis(100);

/// Chooses the delay before the next watch.
#[derive(Debug)]
pub struct WatchPause {
    startup_ends_at: time::Timestamp,
    last: duration::Duration,
}

impl WatchPause {
    /// Creates the pauses of a process that starts now.
    #[must_use]
    pub fn new(now: time::Timestamp) -> Self {
        Self { startup_ends_at: now + STARTUP_PERIOD, last: MIN_PAUSE }
    }

    /// Returns the delay after a watch that took `duration`.
    pub fn next(
        &mut self,
        duration: duration::Duration,
        now: time::Timestamp,
    ) -> duration::Duration {
        if now < self.startup_ends_at {
            return STARTUP_PAUSE;
        }
        self.last = if duration < IMMEDIATE { (self.last * 2).min(MAX_PAUSE) } else { MIN_PAUSE };
        self.last
    }
}
