//! Decoding of request bodies.

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

/// Why the rest of a body cannot be read.
#[derives::value]
#[derive(derive_more::Display, derive_more::Error)]
pub enum BodyFault {
    /// The caller closed the connection before the end of the body.
    #[display("the caller closed the connection before the end of the body")]
    Closed,
    /// The chunked coding is malformed.
    #[display("the chunked body is malformed")]
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
    /// Expects trailer lines, up to an empty line.
    Trailers,
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
                DecoderState::Trailers => match find_line(bytes, MAX_TRAILER_LINE)? {
                    None => return Ok(None),
                    Some(end) => {
                        bytes.advance(end + 2);
                        if end == 0 {
                            self.state = DecoderState::Ended;
                        }
                    }
                },
            }
        }
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
        self.state = if size == 0 { DecoderState::Trailers } else { DecoderState::ChunkData(size) };
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
    parts: mpsc::Receiver<Result<bytes::Bytes, BodyFault>>,
    /// `None` under the chunked coding, whose length is not known in advance.
    length_remaining: Option<u64>,
}

/// Sends the parts of a body to its [`ChannelBody`].
pub type PartSender = mpsc::Sender<Result<bytes::Bytes, BodyFault>>;

impl ChannelBody {
    /// Creates a body and the sender of its parts.
    #[must_use]
    pub fn new(framing: head::BodyFraming) -> (PartSender, Self) {
        let (sender, parts) = mpsc::channel(MAX_QUEUED_PARTS);
        let length_remaining = match framing {
            head::BodyFraming::Length(length) => Some(length),
            head::BodyFraming::Chunked => None,
        };
        (sender, Self { parts, length_remaining })
    }
}

impl http_body::Body for ChannelBody {
    type Data = bytes::Bytes;
    type Error = BodyFault;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<bytes::Bytes>, BodyFault>>> {
        let part = task::ready!(self.parts.poll_recv(context));
        if let (Some(remaining), Some(Ok(part))) = (&mut self.length_remaining, &part) {
            *remaining = remaining.saturating_sub(part.len() as u64);
        }
        task::Poll::Ready(part.map(|part| part.map(http_body::Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.length_remaining == Some(0)
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.length_remaining
            .map_or_else(http_body::SizeHint::default, http_body::SizeHint::with_exact)
    }
}
