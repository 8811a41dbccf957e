//! The body of a request that may be sent more than once.
//!
//! A small body is read whole before the first attempt. Of a larger one the
//! start is kept while it is sent, so that a request which was shed early can
//! go to another backend server.

use std::pin;
use std::sync;
use std::task;

use http_body::Body as _;
use http_body_util::BodyExt;

/// Largest body that is read whole, and longest start that is kept, in bytes.
pub const KEPT_BYTES: usize = 64 * 1024;

/// Bodies that are kept at once for one service, in bytes.
const KEPT_BYTES_PER_SERVICE: usize = 16 * 1024 * 1024;

/// Memory for the bodies of one service's open requests.
#[derive(Debug, Clone)]
pub struct BodyMemory(sync::Arc<tokio::sync::Semaphore>);

impl Default for BodyMemory {
    fn default() -> Self {
        Self(sync::Arc::new(tokio::sync::Semaphore::new(KEPT_BYTES_PER_SERVICE)))
    }
}

impl BodyMemory {
    /// Takes a share of the memory, if it is free.
    #[must_use]
    pub fn share(&self, bytes: usize) -> Option<tokio::sync::OwnedSemaphorePermit> {
        let bytes = u32::try_from(bytes).ok()?;
        sync::Arc::clone(&self.0).try_acquire_many_owned(bytes).ok()
    }
}

/// Where the attempts at one request take the body from.
#[derive(Debug)]
pub enum BodySource {
    /// The whole body.
    Whole(KeptBody),
    /// A body that is read while it is sent.
    Stream(SharedStream),
}

/// A body that the attempts at one request share.
#[derive(Debug, Clone)]
pub struct SharedStream(sync::Arc<sync::Mutex<BodyStream>>);

/// A whole body with its share of the instance's memory.
#[derive(Debug)]
pub struct KeptBody {
    bytes: bytes::Bytes,
    _share: Option<tokio::sync::OwnedSemaphorePermit>,
}

/// A body of known length, of which the start is kept.
#[derive(Debug)]
pub struct BodyStream {
    rest: axum::body::Body,
    kept: Vec<bytes::Bytes>,
    kept_bytes: usize,
    overrun: bool,
    attempt: u32,
    share: Option<tokio::sync::OwnedSemaphorePermit>,
}

/// Why a body could not be read whole.
#[derive(Debug)]
pub enum ReadFailure {
    /// The caller's connection failed.
    Broken,
    /// The body is larger than may be kept.
    TooLong,
}

impl BodySource {
    /// Makes the source of an empty body.
    #[must_use]
    pub const fn empty() -> Self {
        Self::Whole(KeptBody { bytes: bytes::Bytes::new(), _share: None })
    }

    /// Reads a body of at most `max_bytes` whole.
    ///
    /// # Errors
    ///
    /// Returns why the body could not be read.
    pub async fn read_whole(
        body: axum::body::Body,
        max_bytes: usize,
        share: tokio::sync::OwnedSemaphorePermit,
    ) -> Result<Self, ReadFailure> {
        match http_body_util::Limited::new(body, max_bytes).collect().await {
            Ok(collected) => {
                Ok(Self::Whole(KeptBody { bytes: collected.to_bytes(), _share: Some(share) }))
            }
            Err(error) if error.is::<http_body_util::LengthLimitError>() => {
                Err(ReadFailure::TooLong)
            }
            Err(_) => Err(ReadFailure::Broken),
        }
    }

    /// Makes the source of a body that is read while it is sent.
    ///
    /// Without a share of the instance's memory nothing of it is kept.
    #[must_use]
    pub fn stream(
        rest: axum::body::Body,
        share: Option<tokio::sync::OwnedSemaphorePermit>,
    ) -> Self {
        let overrun = false;
        let stream =
            BodyStream { rest, kept: Vec::new(), kept_bytes: 0, overrun, attempt: 0, share };
        Self::Stream(SharedStream(sync::Arc::new(sync::Mutex::new(stream))))
    }

    /// Tells whether another attempt can send the body from its start.
    #[must_use]
    pub fn can_replay(&self) -> bool {
        match self {
            Self::Whole(_) => true,
            Self::Stream(stream) => !stream.lock().overrun,
        }
    }

    /// Tells whether the body is at hand without the caller.
    #[must_use]
    pub const fn is_whole(&self) -> bool {
        matches!(self, Self::Whole(_))
    }

    /// Returns the bytes that the request holds while it waits.
    #[must_use]
    pub fn kept_bytes(&self) -> usize {
        match self {
            Self::Whole(kept) => kept.bytes.len(),
            Self::Stream(stream) => stream.lock().kept_bytes.min(KEPT_BYTES),
        }
    }

    /// Makes the body of a new attempt; bodies of earlier attempts end.
    #[must_use]
    pub fn body(&self) -> RequestBody {
        match self {
            Self::Whole(kept) if kept.bytes.is_empty() => RequestBody::Whole(None),
            Self::Whole(kept) => RequestBody::Whole(Some(kept.bytes.clone())),
            Self::Stream(stream) => {
                let attempt = stream.next_attempt();
                RequestBody::Stream { stream: stream.clone(), attempt, position: 0 }
            }
        }
    }
}

impl SharedStream {
    /// Tells whether the caller's body was read to its end.
    #[must_use]
    pub fn is_end(&self) -> bool {
        self.lock().rest.is_end_stream()
    }

    fn next_attempt(&self) -> u32 {
        let mut stream = self.lock();
        stream.attempt += 1;
        stream.attempt
    }

    fn lock(&self) -> sync::MutexGuard<'_, BodyStream> {
        self.0.lock().expect("no task panics while it holds a body")
    }
}

/// Body of one attempt.
#[derive(Debug)]
pub enum RequestBody {
    /// What is left of a whole body.
    Whole(Option<bytes::Bytes>),
    /// A body that is read while it is sent.
    Stream {
        /// What the attempts share.
        stream: SharedStream,
        /// Number of this attempt.
        attempt: u32,
        /// Kept parts that this attempt has sent.
        position: usize,
    },
}

/// The body broke off.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum BodyError {
    /// The caller's connection failed.
    #[display("the caller broke off the body; send the request again")]
    Caller(axum::Error),
    /// A later attempt has taken the body.
    #[display("another attempt sends this body; nothing is to be done")]
    TakenOver,
}

impl RequestBody {
    /// Returns the caller's body, if it is read while it is sent.
    #[must_use]
    pub fn stream(&self) -> Option<SharedStream> {
        match self {
            Self::Whole(_) => None,
            Self::Stream { stream, .. } => Some(stream.clone()),
        }
    }
}

type PolledFrame = task::Poll<Option<Result<http_body::Frame<bytes::Bytes>, BodyError>>>;

impl BodyStream {
    fn poll_part(&mut self, context: &mut task::Context<'_>, position: &mut usize) -> PolledFrame {
        if let Some(part) = self.kept.get(*position) {
            *position += 1;
            return task::Poll::Ready(Some(Ok(http_body::Frame::data(part.clone()))));
        }
        let polled = task::ready!(pin::Pin::new(&mut self.rest).poll_frame(context));
        let Some(polled) = polled else { return task::Poll::Ready(None) };
        let frame = polled.map_err(BodyError::Caller)?;
        // A trailer could carry a key, and none is announced: it ends the body.
        let Ok(part) = frame.into_data() else { return task::Poll::Ready(None) };
        self.keep(&part);
        *position += 1;
        task::Poll::Ready(Some(Ok(http_body::Frame::data(part))))
    }

    fn keep(&mut self, part: &bytes::Bytes) {
        self.kept_bytes += part.len();
        self.overrun |= self.share.is_none() || self.kept_bytes > KEPT_BYTES;
        if self.overrun {
            self.kept.clear();
        } else {
            self.kept.push(part.clone());
        }
    }

    fn size_left(&self, position: usize) -> http_body::SizeHint {
        let unsent: usize = self.kept.iter().skip(position).map(bytes::Bytes::len).sum();
        let rest = self.rest.size_hint();
        let unsent = unsent as u64;
        let mut hint = http_body::SizeHint::new();
        hint.set_lower(rest.lower() + unsent);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + unsent);
        }
        hint
    }
}

impl http_body::Body for RequestBody {
    type Data = bytes::Bytes;
    type Error = BodyError;

    fn poll_frame(mut self: pin::Pin<&mut Self>, context: &mut task::Context<'_>) -> PolledFrame {
        match &mut *self {
            Self::Whole(bytes) => {
                task::Poll::Ready(bytes.take().map(|bytes| Ok(http_body::Frame::data(bytes))))
            }
            Self::Stream { stream, attempt, position } => {
                let mut stream = stream.lock();
                if stream.attempt != *attempt {
                    return task::Poll::Ready(Some(Err(BodyError::TakenOver)));
                }
                stream.poll_part(context, position)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_none(),
            Self::Stream { stream, position, .. } => {
                let stream = stream.lock();
                stream.kept.len() <= *position && stream.rest.is_end_stream()
            }
        }
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Self::Whole(None) => http_body::SizeHint::with_exact(0),
            Self::Whole(Some(bytes)) => http_body::SizeHint::with_exact(bytes.len() as u64),
            Self::Stream { stream, position, .. } => stream.lock().size_left(*position),
        }
    }
}
