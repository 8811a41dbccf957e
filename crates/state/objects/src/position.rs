//! Positions in the history of the store.
//!
//! Invariant: positions of different eras are never compared by their revisions alone, since a
//! store that was restored from an older copy hands out the same revisions again.

use marjoramwing_derives as derives;

/// Era of the store: the number of times it was restored from an older copy, plus a constant.
///
/// What was written after the copy was made is gone in the new era. 0 if the store states none.
#[derives::value]
#[derive(Default, derive_more::Display, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

/// A point in the history of the store, ordered by era, then by revision.
#[derives::value]
#[derive(Default, derive_more::Display, serde::Serialize, serde::Deserialize)]
#[display("{era}:{revision}")]
pub struct StorePosition {
    /// Era of the store.
    pub era: StoreEra,
    /// Revision within the era; 0 is before all changes.
    pub revision: u64,
}

impl StorePosition {
    /// Creates a position in the first era of a store that states none.
    #[must_use]
    pub const fn without_era(revision: u64) -> Self {
        Self { era: StoreEra(0), revision }
    }

    /// Returns true if no change of any era is known, so that the objects have to be listed.
    #[must_use]
    pub const fn is_start(&self) -> bool {
        self.revision == 0
    }
}
