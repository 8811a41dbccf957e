//! Decoding of request bodies.
//!
//! Invariant: a body looks complete to its reader only if its end was decoded. A body that
//! is malformed, or whose connection ends early, fails.

use std::pin;
use std::task;

use bytes::Buf;
use marjoramwing_derives as derives;
use tokio::sync::mpsc;

use crate::pipeline::head;

/// Capacity of the channel between the connection and the reader of a body, in parts.
const MAX_QUEUED_PARTS: usize = 8;
/// Longest chunk-size line, in bytes.
const MAX_SIZE_LINE: usize = 64;
/// Longest trailer line, in bytes.
const MAX_TRAILER_LINE: usize = 4 * 1024;
/// Largest trailer section, in bytes.
const MAX_TRAILERS: usize = 16 * 1024;

/// Why the rest of a body cannot be read.
#[derives::value]
#[derive(derive_more::Display, derive_more::Error)]
pub enum BodyFault {
    /// The caller closed the connection before the end of the body, or the body is malformed.
    #[display("the body ended early or is malformed; send it again completely")]
    Incomplete,
    /// The chunked coding is malformed, or its trailers are too large.
    #[display("the chunked body is malformed; send chunks with valid sizes and short trailers")]
    BadChunk,
}

/// Incremental decoder of a body, framed by length or by chunks.
#[derive(Debug)]
pub struct BodyDecoder {
    state: DecoderState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DecoderState {
    /// Expects this many bytes of a body with a Content-Length.
    FixedLength(u64),
    /// Expects a chunk-size line.
    ChunkSize,
    /// Expects this many bytes of a chunk.
    ChunkData(u64),
    /// Expects the line break after the data of a chunk.
    ChunkEnd,
    /// Expects trailer lines, up to an empty line; the lines before took this many bytes.
    Trailers(usize),
    Ended,
}

impl BodyDecoder {
    /// Creates a decoder for a body that begins with the next byte.
    #[must_use]
    pub const fn new(framing: head::BodyFraming) -> Self {
        let state = match framing {
            head::BodyFraming::Length(0) => DecoderState::Ended,
            head::BodyFraming::Length(length) => DecoderState::FixedLength(length),
            head::BodyFraming::Chunked => DecoderState::ChunkSize,
        };
        Self { state }
    }

    /// Returns true if the end of the body has been decoded.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.state == DecoderState::Ended
    }

    /// Decodes the next part from the start of `bytes`.
    ///
    /// Returns `None` if more bytes are needed or the body has ended.
    ///
    /// # Errors
    ///
    /// Returns a fault when the chunked coding is malformed.
    pub fn next_part(
        &mut self,
        bytes: &mut bytes::BytesMut,
    ) -> Result<Option<bytes::Bytes>, BodyFault> {
        loop {
            match self.state {
                DecoderState::Ended => return Ok(None),
                DecoderState::FixedLength(remaining) | DecoderState::ChunkData(remaining) => {
                    return Ok(self.take_bytes(bytes, remaining));
                }
                DecoderState::ChunkSize => match find_line(bytes, MAX_SIZE_LINE)? {
                    None => return Ok(None),
                    Some(end) => self.read_chunk_size(bytes, end)?,
                },
                DecoderState::ChunkEnd => match find_line(bytes, 0)? {
                    None => return Ok(None),
                    Some(_) => {
                        bytes.advance(2);
                        self.state = DecoderState::ChunkSize;
                    }
                },
                DecoderState::Trailers(read) => match find_line(bytes, MAX_TRAILER_LINE)? {
                    None => return Ok(None),
                    Some(end) => self.read_trailer(bytes, end, read)?,
                },
            }
        }
    }

    fn read_trailer(
        &mut self,
        bytes: &mut bytes::BytesMut,
        end: usize,
        read: usize,
    ) -> Result<(), BodyFault> {
        bytes.advance(end + 2);
        let read = read + end + 2;
        self.state = match end {
            0 => DecoderState::Ended,
            _ if read > MAX_TRAILERS => return Err(BodyFault::BadChunk),
            _ => DecoderState::Trailers(read),
        };
        Ok(())
    }

    fn take_bytes(&mut self, bytes: &mut bytes::BytesMut, remaining: u64) -> Option<bytes::Bytes> {
        if bytes.is_empty() {
            return None;
        }
        let length = usize::try_from(remaining).unwrap_or(usize::MAX).min(bytes.len());
        let part = bytes.split_to(length).freeze();
        let remaining = remaining - length as u64;
        self.state = match (self.state, remaining) {
            (DecoderState::FixedLength(_), 0) => DecoderState::Ended,
            (DecoderState::FixedLength(_), remaining) => DecoderState::FixedLength(remaining),
            (_, 0) => DecoderState::ChunkEnd,
            (_, remaining) => DecoderState::ChunkData(remaining),
        };
        Some(part)
    }

    fn read_chunk_size(
        &mut self,
        bytes: &mut bytes::BytesMut,
        end: usize,
    ) -> Result<(), BodyFault> {
        let line = &bytes[..end];
        let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii();
        let is_hex = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
        let text = std::str::from_utf8(digits).ok().filter(|_| is_hex);
        let size = text.and_then(|text| u64::from_str_radix(text, 16).ok());
        let size = size.ok_or(BodyFault::BadChunk)?;
        bytes.advance(end + 2);
        self.state = match size {
            0 => DecoderState::Trailers(0),
            _ => DecoderState::ChunkData(size),
        };
        Ok(())
    }
}

/// Returns the length of the line at the start of `bytes`, without its CRLF, or `None`
/// if the line is not complete.
///
/// Fails if the line is longer than `max_bytes` or ends without a carriage return.
fn find_line(bytes: &[u8], max_bytes: usize) -> Result<Option<usize>, BodyFault> {
    let window = &bytes[..bytes.len().min(max_bytes + 2)];
    match window.iter().position(|byte| *byte == b'\n') {
        Some(0) => Err(BodyFault::BadChunk),
        Some(end) if window[end - 1] == b'\r' => Ok(Some(end - 1)),
        Some(_) => Err(BodyFault::BadChunk),
        None if window.len() == max_bytes + 2 => Err(BodyFault::BadChunk),
        None => Ok(None),
    }
}

/// A request body that receives its parts from the connection's task over a channel.
#[derive(Debug)]
pub struct ChannelBody {
    parts: mpsc::Receiver<BodyPart>,
    /// `None` under the chunked coding, whose length is not known in advance.
    length_remaining: Option<u64>,
    is_ended: bool,
}

/// A part of a body on its way to the reader.
#[derive(Debug, Clone)]
pub enum BodyPart {
    /// Data of the body.
    Data(bytes::Bytes),
    /// The body is complete.
    End,
}

/// Sends the parts of a body to its [`ChannelBody`], which fails if the sender is dropped
/// before [`BodyPart::End`].
pub type PartSender = mpsc::Sender<BodyPart>;

impl ChannelBody {
    /// Creates a body and the sender of its parts.
    #[must_use]
    pub fn new(framing: head::BodyFraming) -> (PartSender, Self) {
        let (sender, parts) = mpsc::channel(MAX_QUEUED_PARTS);
        let length_remaining = match framing {
            head::BodyFraming::Length(length) => Some(length),
            head::BodyFraming::Chunked => None,
        };
        (sender, Self { parts, length_remaining, is_ended: false })
    }
}

impl http_body::Body for ChannelBody {
    type Data = bytes::Bytes;
    type Error = BodyFault;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<bytes::Bytes>, BodyFault>>> {
        if self.is_end_stream() {
            return task::Poll::Ready(None);
        }
        let part = task::ready!(self.parts.poll_recv(context));
        task::Poll::Ready(match part {
            Some(BodyPart::Data(data)) => {
                if let Some(remaining) = &mut self.length_remaining {
                    *remaining = remaining.saturating_sub(data.len() as u64);
                }
                Some(Ok(http_body::Frame::data(data)))
            }
            Some(BodyPart::End) => {
                self.is_ended = true;
                None
            }
            None => {
                self.is_ended = true;
                Some(Err(BodyFault::Incomplete))
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        self.is_ended || self.length_remaining == Some(0)
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.length_remaining
            .map_or_else(http_body::SizeHint::default, http_body::SizeHint::with_exact)
    }
}
