//! Outcome of a write whose response was lost, determined from a read-back.
//!
//! Invariant: an edit is reported as written only if the object holds its
//! `edit_id`, and as a conflict only if another edit replaced the version that
//! it expected.

use marjoramwing_derives as derives;

/// A write whose response was lost.
#[derive(Debug, Clone, Copy)]
pub struct UnacknowledgedWrite<'a> {
    /// Value of `edit_id` that the write contained.
    pub edit_id: &'a str,
    /// Version that the write expected; 0 if the object did not exist.
    pub expected: u128,
}

/// The object as read after the write.
#[derive(Debug, Clone, Copy)]
pub struct ReadBack<'a> {
    /// Value of `edit_id` in the object, if present.
    pub edit_id: Option<&'a str>,
    /// Current version; 0 if the object does not exist.
    pub version: u128,
}

/// Outcome of the write.
#[derives::value]
pub enum WriteResolution {
    /// The write took effect and created this version.
    Written(u128),
    /// The write has not taken effect so far; the same conditional write can be retried.
    Pending,
    /// Another edit replaced the expected version and created this one.
    Conflict(u128),
    /// Several later edits, or a version below the expected one, hide whether the write
    /// took effect.
    Indeterminate,
}

impl UnacknowledgedWrite<'_> {
    /// Determines the outcome of the write from the object that was read back.
    #[must_use]
    pub fn resolve(&self, read_back: ReadBack<'_>) -> WriteResolution {
        if read_back.edit_id == Some(self.edit_id) {
            return WriteResolution::Written(read_back.version);
        }
        match read_back.version.checked_sub(self.expected) {
            Some(0) => WriteResolution::Pending,
            Some(1) => WriteResolution::Conflict(read_back.version),
            Some(_) | None => WriteResolution::Indeterminate,
        }
    }
}
