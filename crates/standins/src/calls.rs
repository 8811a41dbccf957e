//! Counts of the calls to the platform.

use std::collections;

use marjoramwing_derives as derives;

/// Calls by kind of object; the list of instances counts as the kind `instances`.
#[derives::document]
#[derive(Default)]
pub struct PlatformCounts {
    /// Counts by kind.
    pub kinds: collections::BTreeMap<String, CallCounts>,
}

/// Counts of the calls for one kind of object.
#[derives::document]
#[derive(Copy, Default, Eq)]
pub struct CallCounts {
    /// Reads of an object, or of the list of a kind.
    pub reads: u64,
    /// Writes and deletions that took effect.
    pub writes: u64,
    /// Writes and deletions rejected because of a version conflict.
    pub conflicts: u64,
    /// Watches, each counted once regardless of its duration.
    pub watches: u64,
    /// Calls rejected during an injected outage.
    pub refused: u64,
}

impl CallCounts {
    /// Returns the number of write and delete calls, conflicts included.
    #[must_use]
    pub const fn write_calls(&self) -> u64 {
        self.writes + self.conflicts
    }
}

impl PlatformCounts {
    /// Returns the counts of a kind for update, adding them if absent.
    pub fn of_kind(&mut self, kind: &str) -> &mut CallCounts {
        self.kinds.entry(kind.to_owned()).or_default()
    }

    /// Returns the sum over all kinds.
    #[must_use]
    pub fn total(&self) -> CallCounts {
        self.kinds.values().fold(CallCounts::default(), |sum, counts| CallCounts {
            reads: sum.reads + counts.reads,
            writes: sum.writes + counts.writes,
            conflicts: sum.conflicts + counts.conflicts,
            watches: sum.watches + counts.watches,
            refused: sum.refused + counts.refused,
        })
    }
}
