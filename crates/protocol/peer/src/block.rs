//! Blocks in which a relaying instance forwards what a backend server sends.
//!
//! A block is its length, two bytes in network order, followed by as many bytes. An empty block is
//! the end mark: the server closed the connection. Invariant: a stream of blocks that ends anywhere
//! else was cut, however its connection was closed.

use marjoramwing_derives as derives;

/// Size of the length before each block, in bytes.
pub const HEADER_BYTES: usize = 2;
/// Largest block, in bytes.
pub const MAX_BLOCK_BYTES: usize = u16::MAX as usize;
/// The empty block.
pub const END_MARK: [u8; HEADER_BYTES] = [0; HEADER_BYTES];

/// Returns the header of a block.
///
/// # Panics
///
/// Panics if the block is empty, since that is the end mark, or larger than [`MAX_BLOCK_BYTES`].
#[must_use]
pub fn encode_header(length: usize) -> [u8; HEADER_BYTES] {
    let length = u16::try_from(length).expect("a block is at most MAX_BLOCK_BYTES long");
    assert_ne!(length, 0, "an empty block is the end mark");
    length.to_be_bytes()
}

/// Position of a reader in a stream of blocks.
#[derives::value]
pub enum BlockPosition {
    /// In a header, of which the first byte may have been read.
    Header(Option<u8>),
    /// In a block of which this many bytes are still to be read.
    Payload(usize),
    /// Behind the end mark.
    End,
}

impl BlockPosition {
    /// Position of a reader that has read nothing.
    pub const START: Self = Self::Header(None);

    /// Returns the number of header bytes that are still to be read.
    #[must_use]
    pub const fn missing_header(self) -> usize {
        match self {
            Self::Header(None) => HEADER_BYTES,
            Self::Header(Some(_)) => 1,
            Self::Payload(_) | Self::End => 0,
        }
    }

    /// Returns the position after a byte of a header.
    #[must_use]
    pub fn after_header(self, byte: u8) -> Self {
        match self {
            Self::Header(None) => Self::Header(Some(byte)),
            Self::Header(Some(first)) => match u16::from_be_bytes([first, byte]) {
                0 => Self::End,
                length => Self::Payload(length.into()),
            },
            Self::Payload(_) | Self::End => self,
        }
    }

    /// Returns the position after bytes of a block.
    #[must_use]
    pub const fn after_payload(self, bytes: usize) -> Self {
        match self {
            Self::Payload(left) if bytes < left => Self::Payload(left - bytes),
            Self::Payload(_) => Self::START,
            Self::Header(_) | Self::End => self,
        }
    }
}
