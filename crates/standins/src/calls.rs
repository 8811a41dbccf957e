//! Counts of the calls that the platform was asked for.

use std::collections;

use marjoramwing_derives as derives;

/// Calls by the kind of object; the list of instances is a kind of its own.
#[derives::document]
#[derive(Default)]
pub struct PlatformCounts {
    /// Calls of each kind.
    pub kinds: collections::BTreeMap<String, CallCounts>,
}

/// Calls of one kind.
#[derives::document]
#[derive(Copy, Default, Eq)]
pub struct CallCounts {
    /// Reads.
    pub reads: u64,
    /// Writes and deletions that took effect.
    pub writes: u64,
    /// Writes and deletions refused for their version.
    pub conflicts: u64,
    /// Watches, each counted once however long it waits.
    pub watches: u64,
    /// Calls refused by an outage.
    pub refused: u64,
}

impl CallCounts {
    /// Returns the writes and deletions asked for, with and without effect.
    #[must_use]
    pub const fn write_calls(&self) -> u64 {
        self.writes + self.conflicts
    }
}

impl PlatformCounts {
    /// Returns the counts of a kind, to be added to.
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
