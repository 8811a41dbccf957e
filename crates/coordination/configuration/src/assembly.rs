//! Assembly of object texts that peers send in parts.
//!
//! Invariant: a text is assembled from consecutive parts of one version from one peer, since
//! another one may have another text of the version.

use std::net;

use crate::candidate;

/// Largest text that is assembled. The tables of the largest value of the store are below it.
const MAX_TOTAL_BYTES: u64 = 64 * 1024 * 1024;

/// One part of the text of an object.
#[derive(Debug, Clone)]
pub struct ReceivedPart {
    /// Peer address of the sender.
    pub address: net::SocketAddr,
    /// Version of the object.
    pub version: u128,
    /// Position of the part in the text, in bytes.
    pub offset: u64,
    /// Length of the whole text in bytes.
    pub total: u64,
    /// Text of the part.
    pub text: bytes::Bytes,
}

/// What follows from a part.
#[derive(Debug, PartialEq, Eq)]
pub enum AssemblyStep {
    /// The part does not continue the text.
    Ignored,
    /// The text continues at this offset.
    Continue(u64),
    /// The text is complete.
    Complete(bytes::Bytes),
}

#[derive(Debug)]
struct PartialText {
    address: net::SocketAddr,
    version: u128,
    total: u64,
    text: Vec<u8>,
}

/// Texts that are being assembled, at most one per object.
#[derive(Debug, Default)]
pub struct TextAssembly {
    partial: [Option<PartialText>; candidate::TableObject::ALL.len()],
}

impl TextAssembly {
    /// Adds a part. The first part of a text replaces what is assembled of another one.
    pub fn add(&mut self, object: candidate::TableObject, part: &ReceivedPart) -> AssemblyStep {
        let slot = &mut self.partial[object as usize];
        if part.text.is_empty() || part.total > MAX_TOTAL_BYTES {
            return AssemblyStep::Ignored;
        }
        if part.offset == 0 {
            *slot = Some(PartialText {
                address: part.address,
                version: part.version,
                total: part.total,
                text: Vec::new(),
            });
        }
        let Some(partial) = slot.as_mut().filter(|partial| partial.continues_with(part)) else {
            return AssemblyStep::Ignored;
        };
        partial.text.extend_from_slice(&part.text);
        let length = partial.length();
        if length < partial.total {
            return AssemblyStep::Continue(length);
        }
        let complete = slot.take().map(|partial| partial.text.into());
        complete.map_or(AssemblyStep::Ignored, AssemblyStep::Complete)
    }
}

impl PartialText {
    fn length(&self) -> u64 {
        self.text.len() as u64
    }

    fn continues_with(&self, part: &ReceivedPart) -> bool {
        let is_same = self.address == part.address && self.version == part.version;
        let end = part.offset.saturating_add(part.text.len() as u64);
        is_same && self.total == part.total && self.length() == part.offset && end <= self.total
    }
}
