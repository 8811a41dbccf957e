//! Grace periods that start again after the store was away.

use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::time;

/// Maximum number of restarts, so that a period ends although single calls fail again and again.
const MAX_RESTARTS: u32 = 5;

/// A period that ends by itself; it may be restarted a limited number of times.
#[derives::value]
pub(crate) struct GracePeriod {
    ends_at: time::Timestamp,
    restarts_left: u32,
}

impl GracePeriod {
    /// Starts a period that ends at a time.
    pub(crate) const fn until(ends_at: time::Timestamp) -> Self {
        Self { ends_at, restarts_left: MAX_RESTARTS }
    }

    /// Restarts the period with a length, unless it was restarted too often.
    pub(crate) fn restart(&mut self, now: time::Timestamp, length: duration::Duration) {
        if let Some(restarts_left) = self.restarts_left.checked_sub(1) {
            *self = Self { ends_at: now + length, restarts_left };
        }
    }

    /// Returns true if the period has ended.
    pub(crate) fn has_ended(self, now: time::Timestamp) -> bool {
        self.ends_at <= now
    }
}
