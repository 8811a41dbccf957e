//! Bodies that are joined as their parts arrive.
//!
//! Invariant: the memory of a body follows from its length, not from the number of its parts. Parts
//! that are kept one by one cost many times their length if they are small.

use std::mem;

/// The parts of a body so far, joined.
#[derive(Debug, Default)]
pub struct JoinedBytes {
    /// The only part; empty once there are several.
    first: bytes::Bytes,
    /// All parts, once there are several.
    joined: bytes::BytesMut,
}

impl JoinedBytes {
    /// Adds a part at the end.
    pub fn push(&mut self, part: bytes::Bytes) {
        if self.is_empty() {
            self.first = part;
            return;
        }
        let first = mem::take(&mut self.first);
        self.joined.extend_from_slice(&first);
        self.joined.extend_from_slice(&part);
    }

    /// Returns the length of all parts, in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.first.len() + self.joined.len()
    }

    /// Returns true if no part has any bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns all parts.
    #[must_use]
    pub fn finish(self) -> bytes::Bytes {
        if self.joined.is_empty() { self.first } else { self.joined.freeze() }
    }
}
