//! Request bodies that can be sent more than once.
//!
//! A small body is buffered completely before the first attempt. A larger one is
//! streamed and its start is buffered, so that a request that is shed early can
//! be retried at another backend server.

use std::pin;
use std::sync;
use std::task;

use http_body::Body as _;
use http_body_util::BodyExt;

use crate::backends::joined;

/// Maximum size of a body that is buffered completely, and of the buffered start of a
/// streamed body, in bytes.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Maximum number of parts in the buffered start of a streamed body, since each costs memory beside
/// its bytes.
const MAX_BUFFERED_PARTS: usize = 256;

/// Memory for buffered bodies of one service, in bytes.
const MAX_BUFFERED_BYTES_PER_SERVICE: usize = 16 * 1024 * 1024;

/// Memory budget for buffered bodies of one service's open requests.
#[derive(Debug, Clone)]
pub struct BodyMemory(sync::Arc<tokio::sync::Semaphore>);

impl Default for BodyMemory {
    fn default() -> Self {
        Self(sync::Arc::new(tokio::sync::Semaphore::new(MAX_BUFFERED_BYTES_PER_SERVICE)))
    }
}

impl BodyMemory {
    /// Reserves memory, if enough is free; dropping the permit frees it.
    #[must_use]
    pub fn try_reserve(&self, bytes: usize) -> Option<tokio::sync::OwnedSemaphorePermit> {
        let bytes = u32::try_from(bytes).ok()?;
        sync::Arc::clone(&self.0).try_acquire_many_owned(bytes).ok()
    }
}

/// Source from which each attempt at a request gets the body.
#[derive(Debug)]
pub enum BodySource {
    /// A body that was buffered completely.
    Buffered(BufferedBytes),
    /// A body that is read from the caller while it is sent.
    Stream(SharedStream),
}

/// Streamed body that the attempts at one request share.
#[derive(Debug, Clone)]
pub struct SharedStream(sync::Arc<sync::Mutex<BodyStream>>);

/// A completely buffered body with its reservation of the service's memory.
#[derive(Debug)]
pub struct BufferedBytes {
    bytes: bytes::Bytes,
    _permit: Option<tokio::sync::OwnedSemaphorePermit>,
}

/// A body of known length whose start is buffered.
#[derive(Debug)]
pub struct BodyStream {
    rest: axum::body::Body,
    buffered: Vec<bytes::Bytes>,
    read_bytes: usize,
    is_overflowed: bool,
    attempt: u32,
    permit: Option<tokio::sync::OwnedSemaphorePermit>,
}

/// Reason why a body could not be buffered completely.
#[derive(Debug)]
pub enum ReadFailure {
    /// The connection of the caller failed.
    ConnectionFailed,
    /// The body is larger than the maximum size.
    TooLarge,
}

impl BodySource {
    /// Creates a source for an empty body.
    #[must_use]
    pub const fn empty() -> Self {
        Self::Buffered(BufferedBytes { bytes: bytes::Bytes::new(), _permit: None })
    }

    /// Buffers a body of at most `max_bytes` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is too large or the caller's connection fails.
    pub async fn buffer(
        body: axum::body::Body,
        max_bytes: usize,
        permit: tokio::sync::OwnedSemaphorePermit,
    ) -> Result<Self, ReadFailure> {
        let mut limited = http_body_util::Limited::new(body, max_bytes);
        let mut joined = joined::JoinedBytes::default();
        while let Some(frame) = limited.frame().await {
            match frame {
                // A frame without data holds trailers, which are not forwarded.
                Ok(frame) => joined.push(frame.into_data().unwrap_or_default()),
                Err(error) if error.is::<http_body_util::LengthLimitError>() => {
                    return Err(ReadFailure::TooLarge);
                }
                Err(_) => return Err(ReadFailure::ConnectionFailed),
            }
        }
        Ok(Self::Buffered(BufferedBytes { bytes: joined.finish(), _permit: Some(permit) }))
    }

    /// Creates a source for a body that is read from the caller while it is sent.
    ///
    /// Nothing is buffered without a permit for the service's memory.
    #[must_use]
    pub fn stream(
        rest: axum::body::Body,
        permit: Option<tokio::sync::OwnedSemaphorePermit>,
    ) -> Self {
        let is_overflowed = false;
        let stream = BodyStream {
            rest,
            buffered: Vec::new(),
            read_bytes: 0,
            is_overflowed,
            attempt: 0,
            permit,
        };
        Self::Stream(SharedStream(sync::Arc::new(sync::Mutex::new(stream))))
    }

    /// Returns true if another attempt can send the body from its start.
    #[must_use]
    pub fn can_replay(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Stream(stream) => !stream.lock().is_overflowed,
        }
    }

    /// Returns true if the body was buffered completely, so that sending it does not depend
    /// on the caller.
    #[must_use]
    pub const fn is_buffered(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }

    /// Returns the number of bytes that count against the queue's memory limit.
    ///
    /// For a streamed body that has outgrown the buffer, that is the size of a full buffer.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        match self {
            Self::Buffered(buffered) => buffered.bytes.len(),
            Self::Stream(stream) => stream.lock().read_bytes.min(MAX_BUFFERED_BYTES),
        }
    }

    /// Creates the body of a new attempt; streamed bodies of earlier attempts fail from then on.
    #[must_use]
    pub fn body(&self) -> RequestBody {
        match self {
            Self::Buffered(buffered) if buffered.bytes.is_empty() => RequestBody::Buffered(None),
            Self::Buffered(buffered) => RequestBody::Buffered(Some(buffered.bytes.clone())),
            Self::Stream(stream) => {
                let attempt = stream.next_attempt();
                RequestBody::Stream { stream: stream.clone(), attempt, position: 0 }
            }
        }
    }
}

impl BufferedBytes {
    /// Returns the body.
    #[must_use]
    pub fn as_slice(&self) -> &[u8] {
        &self.bytes
    }
}

impl SharedStream {
    /// Returns true if the caller's body was read to its end.
    #[must_use]
    pub fn is_exhausted(&self) -> bool {
        self.lock().rest.is_end_stream()
    }

    fn next_attempt(&self) -> u32 {
        let mut stream = self.lock();
        stream.attempt += 1;
        stream.attempt
    }

    fn lock(&self) -> sync::MutexGuard<'_, BodyStream> {
        self.0.lock().expect("no task panics while it holds the lock on a body")
    }
}

/// Request body of one attempt.
#[derive(Debug)]
pub enum RequestBody {
    /// A buffered body; `None` once it was sent.
    Buffered(Option<bytes::Bytes>),
    /// A body that is read from the caller while it is sent.
    Stream {
        /// Body that the attempts share.
        stream: SharedStream,
        /// Number of this attempt.
        attempt: u32,
        /// Number of parts that this attempt has sent.
        position: usize,
    },
}

/// Error that ends the request body of an attempt.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum BodyError {
    /// The connection of the caller failed.
    #[display("the caller's connection failed within the request body; send the request again")]
    Caller(axum::Error),
    /// A later attempt now sends the body.
    #[display("a later attempt sends this body; no action is needed")]
    Superseded,
}

impl RequestBody {
    /// Returns the shared body, if it is streamed from the caller.
    #[must_use]
    pub fn stream(&self) -> Option<SharedStream> {
        match self {
            Self::Buffered(_) => None,
            Self::Stream { stream, .. } => Some(stream.clone()),
        }
    }
}

type PolledFrame = task::Poll<Option<Result<http_body::Frame<bytes::Bytes>, BodyError>>>;

impl BodyStream {
    fn poll_part(&mut self, context: &mut task::Context<'_>, position: &mut usize) -> PolledFrame {
        if let Some(part) = self.buffered.get(*position) {
            *position += 1;
            return task::Poll::Ready(Some(Ok(http_body::Frame::data(part.clone()))));
        }
        let polled = task::ready!(pin::Pin::new(&mut self.rest).poll_frame(context));
        let Some(polled) = polled else { return task::Poll::Ready(None) };
        let frame = polled.map_err(BodyError::Caller)?;
        // A trailer section ends the body. It is not forwarded, since it could contain a key
        // and was not announced to the backend server.
        let Ok(part) = frame.into_data() else { return task::Poll::Ready(None) };
        self.buffer(&part);
        *position += 1;
        task::Poll::Ready(Some(Ok(http_body::Frame::data(part))))
    }

    fn buffer(&mut self, part: &bytes::Bytes) {
        self.read_bytes += part.len();
        let is_full =
            self.read_bytes > MAX_BUFFERED_BYTES || self.buffered.len() >= MAX_BUFFERED_PARTS;
        self.is_overflowed |= self.permit.is_none() || is_full;
        if self.is_overflowed {
            self.buffered.clear();
        } else {
            self.buffered.push(part.clone());
        }
    }

    fn remaining_size(&self, position: usize) -> http_body::SizeHint {
        let buffered: usize = self.buffered.iter().skip(position).map(bytes::Bytes::len).sum();
        let rest = self.rest.size_hint();
        let buffered = buffered as u64;
        let mut hint = http_body::SizeHint::new();
        hint.set_lower(rest.lower() + buffered);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + buffered);
        }
        hint
    }
}

impl http_body::Body for RequestBody {
    type Data = bytes::Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: pin::Pin<&mut Self>, context: &mut task::Context<'_>) -> PolledFrame {
        match &mut *self {
            Self::Buffered(bytes) => {
                task::Poll::Ready(bytes.take().map(|bytes| Ok(http_body::Frame::data(bytes))))
            }
            Self::Stream { stream, attempt, position } => {
                let mut stream = stream.lock();
                if stream.attempt != *attempt {
                    return task::Poll::Ready(Some(Err(BodyError::Superseded)));
                }
                stream.poll_part(context, position)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_none(),
            Self::Stream { stream, position, .. } => {
                let stream = stream.lock();
                stream.buffered.len() <= *position && stream.rest.is_end_stream()
            }
        }
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Self::Buffered(None) => http_body::SizeHint::with_exact(0),
            Self::Buffered(Some(bytes)) => http_body::SizeHint::with_exact(bytes.len() as u64),
            Self::Stream { stream, position, .. } => stream.lock().remaining_size(*position),
        }
    }
}
