//! What a read-back says about a write whose answer was lost.
//!
//! Invariant: an edit is reported as done only when the object carries its
//! identifier, and as lost only when another edit took the version it expected.

use marjoramwing_derives as derives;

/// A write whose answer was lost.
#[derive(Debug, Clone, Copy)]
pub struct LostWrite<'a> {
    /// Identifier that the edit wrote.
    pub edit_id: &'a str,
    /// Version that the write expected; 0 when the object did not exist.
    pub expected: u64,
}

/// The object as read back.
#[derive(Debug, Clone, Copy)]
pub struct ReadBack<'a> {
    /// Identifier of the last edit, if it wrote one.
    pub edit_id: Option<&'a str>,
    /// Version now; 0 when the object does not exist.
    pub version: u64,
}

/// What became of the write.
#[derives::value]
pub enum WriteResolution {
    /// It took effect and made this version.
    Written(u64),
    /// It has not taken effect yet; the same conditional write may be sent again.
    Pending,
    /// Another edit took the expected version.
    Conflict(u64),
    /// Later edits hide which one took the expected version.
    Hidden,
}

impl LostWrite<'_> {
    /// Compares the write with what was read back.
    #[must_use]
    pub fn resolve(&self, read: ReadBack<'_>) -> WriteResolution {
        if read.edit_id == Some(self.edit_id) {
            return WriteResolution::Written(read.version);
        }
        match read.version.checked_sub(self.expected) {
            Some(0) => WriteResolution::Pending,
            Some(1) => WriteResolution::Conflict(read.version),
            Some(_) | None => WriteResolution::Hidden,
        }
    }
}
