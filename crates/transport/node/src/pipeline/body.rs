//! The body of a request, as it arrives.

use std::pin;
use std::task;

use bytes::Buf;
use marjoramwing_derives as derives;
use tokio::sync::mpsc;

use crate::pipeline::head;

/// Parts of a body that wait for the backend server.
const MAX_WAITING_PARTS: usize = 8;
/// Longest line with the size of a chunk, in bytes.
const MAX_SIZE_LINE: usize = 64;
/// Most bytes of trailers after the last chunk.
const MAX_TRAILER_BYTES: usize = 4 * 1024;

/// Why a body cannot be read on.
#[derives::value]
#[derive(derive_more::Display, derive_more::Error)]
pub enum BodyFault {
    /// The caller closed before the end.
    #[display("the caller closed before the end of its body")]
    Closed,
    /// A chunk is not well-formed.
    #[display("a chunk of the body is not well-formed")]
    BadChunk,
}

/// Finds the parts of a body among the bytes of a connection.
#[derive(Debug)]
pub struct BodyDecoder {
    state: DecoderState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DecoderState {
    /// Bytes that follow, without chunks.
    Plain(u64),
    /// A line with a chunk's size follows.
    Size,
    /// Bytes of a chunk that follow.
    Chunk(u64),
    /// The end of a chunk's line follows.
    ChunkEnd,
    /// Lines after the last chunk follow.
    Trailers,
    Ended,
}

impl BodyDecoder {
    /// Makes a decoder for a body that begins with the next byte.
    #[must_use]
    pub const fn new(framing: head::BodyFraming) -> Self {
        let state = match framing {
            head::BodyFraming::Length(0) => DecoderState::Ended,
            head::BodyFraming::Length(length) => DecoderState::Plain(length),
            head::BodyFraming::Chunked => DecoderState::Size,
        };
        Self { state }
    }

    /// Tells whether the body's end was read.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.state == DecoderState::Ended
    }

    /// Takes the next part from the bytes; `None` when more bytes are needed or it has ended.
    ///
    /// # Errors
    ///
    /// Returns a fault when a chunk is not well-formed.
    pub fn next_part(
        &mut self,
        bytes: &mut bytes::BytesMut,
    ) -> Result<Option<bytes::Bytes>, BodyFault> {
        loop {
            match self.state {
                DecoderState::Ended => return Ok(None),
                DecoderState::Plain(left) | DecoderState::Chunk(left) => {
                    return Ok(self.take_bytes(bytes, left));
                }
                DecoderState::Size => match find_line(bytes, MAX_SIZE_LINE)? {
                    None => return Ok(None),
                    Some(end) => self.read_size(bytes, end)?,
                },
                DecoderState::ChunkEnd => match find_line(bytes, 0)? {
                    None => return Ok(None),
                    Some(_) => {
                        bytes.advance(2);
                        self.state = DecoderState::Size;
                    }
                },
                DecoderState::Trailers => match find_line(bytes, MAX_TRAILER_BYTES)? {
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

    fn take_bytes(&mut self, bytes: &mut bytes::BytesMut, left: u64) -> Option<bytes::Bytes> {
        if bytes.is_empty() {
            return None;
        }
        let most = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len());
        let part = bytes.split_to(most).freeze();
        let left = left - most as u64;
        self.state = match (self.state, left) {
            (DecoderState::Plain(_), 0) => DecoderState::Ended,
            (DecoderState::Plain(_), left) => DecoderState::Plain(left),
            (_, 0) => DecoderState::ChunkEnd,
            (_, left) => DecoderState::Chunk(left),
        };
        Some(part)
    }

    fn read_size(&mut self, bytes: &mut bytes::BytesMut, end: usize) -> Result<(), BodyFault> {
        let line = &bytes[..end];
        let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii();
        let is_hex = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
        let text = std::str::from_utf8(digits).ok().filter(|_| is_hex);
        let size = text.and_then(|text| u64::from_str_radix(text, 16).ok());
        let size = size.ok_or(BodyFault::BadChunk)?;
        bytes.advance(end + 2);
        self.state = if size == 0 { DecoderState::Trailers } else { DecoderState::Chunk(size) };
        Ok(())
    }
}

/// Finds the end of the line at the start of the bytes.
fn find_line(bytes: &[u8], max_bytes: usize) -> Result<Option<usize>, BodyFault> {
    let searched = &bytes[..bytes.len().min(max_bytes + 2)];
    match searched.iter().position(|byte| *byte == b'\n') {
        Some(0) => Err(BodyFault::BadChunk),
        Some(end) if searched[end - 1] == b'\r' => Ok(Some(end - 1)),
        Some(_) => Err(BodyFault::BadChunk),
        None if searched.len() == max_bytes + 2 => Err(BodyFault::BadChunk),
        None => Ok(None),
    }
}

/// A body whose parts come from the connection's task.
#[derive(Debug)]
pub struct ArrivingBody {
    parts: mpsc::Receiver<Result<bytes::Bytes, BodyFault>>,
    length_left: Option<u64>,
}

/// Hands the parts of a body to whoever reads it.
pub type PartSender = mpsc::Sender<Result<bytes::Bytes, BodyFault>>;

impl ArrivingBody {
    /// Makes a body and the sender of its parts.
    #[must_use]
    pub fn new(framing: head::BodyFraming) -> (PartSender, Self) {
        let (sender, parts) = mpsc::channel(MAX_WAITING_PARTS);
        let length_left = match framing {
            head::BodyFraming::Length(length) => Some(length),
            head::BodyFraming::Chunked => None,
        };
        (sender, Self { parts, length_left })
    }
}

impl http_body::Body for ArrivingBody {
    type Data = bytes::Bytes;
    type Error = BodyFault;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<bytes::Bytes>, BodyFault>>> {
        let part = task::ready!(self.parts.poll_recv(context));
        if let (Some(left), Some(Ok(part))) = (&mut self.length_left, &part) {
            *left = left.saturating_sub(part.len() as u64);
        }
        task::Poll::Ready(part.map(|part| part.map(http_body::Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.length_left == Some(0)
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.length_left.map_or_else(http_body::SizeHint::default, http_body::SizeHint::with_exact)
    }
}
