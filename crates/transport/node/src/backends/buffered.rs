//! Buffering of small responses before any part of them is forwarded.
//!
//! Invariant: no part of a small response that the backend server truncates
//! reaches the caller. The request can then be retried or refused, and responses
//! to later pipelined requests on the caller's connection are not lost.

use std::pin;
use std::task;

use http_body::Body as _;
use http_body_util::BodyExt;

use crate::backends::joined;

/// Maximum size of a response that is buffered completely, in bytes.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Response body that is buffered completely, in part or not at all.
#[derive(Debug)]
pub struct BufferedBody {
    /// Start of the body that is buffered and not yet forwarded.
    start: bytes::Bytes,
    /// Rest of the body, unless it was buffered completely.
    rest: Option<hyper::body::Incoming>,
}

impl BufferedBody {
    /// Wraps a body without buffering any of it.
    #[must_use]
    pub const fn unbuffered(body: hyper::body::Incoming) -> Self {
        Self { start: bytes::Bytes::new(), rest: Some(body) }
    }

    /// Buffers a small body completely.
    ///
    /// A body whose size is known to be larger is not buffered; one that turns out
    /// to be larger is buffered only as far as it was read.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection to the backend server fails.
    pub async fn buffer(mut body: hyper::body::Incoming) -> Result<Self, hyper::Error> {
        let mut start = joined::JoinedBytes::default();
        let is_large = |length: u64| length > MAX_BUFFERED_BYTES as u64;
        if is_large(body.size_hint().lower()) {
            return Ok(Self::unbuffered(body));
        }
        while let Some(frame) = body.frame().await {
            // Trailers are not forwarded.
            let Ok(part) = frame?.into_data() else { continue };
            start.push(part);
            if is_large(start.len() as u64) {
                return Ok(Self { start: start.finish(), rest: Some(body) });
            }
        }
        Ok(Self { start: start.finish(), rest: None })
    }

    /// Returns true if the backend server has sent the whole body.
    #[must_use]
    pub fn is_buffered(&self) -> bool {
        self.rest.as_ref().is_none_or(http_body::Body::is_end_stream)
    }
}

impl http_body::Body for BufferedBody {
    type Data = bytes::Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<bytes::Bytes>, hyper::Error>>> {
        if !self.start.is_empty() {
            let start = std::mem::take(&mut self.start);
            return task::Poll::Ready(Some(Ok(http_body::Frame::data(start))));
        }
        match &mut self.rest {
            Some(rest) => pin::Pin::new(rest).poll_frame(context),
            None => task::Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.start.is_empty() && self.is_buffered()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        let buffered = self.start.len();
        let Some(rest) = &self.rest else {
            return http_body::SizeHint::with_exact(buffered as u64);
        };
        let mut hint = rest.size_hint();
        let upper = hint.upper().map(|upper| upper + buffered as u64);
        hint.set_lower(hint.lower() + buffered as u64);
        upper.into_iter().for_each(|upper| hint.set_upper(upper));
        hint
    }
}
