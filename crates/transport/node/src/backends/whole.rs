//! Answers that are read whole before any of them is passed on.
//!
//! Invariant: a small answer that the backend server cuts short is never begun,
//! so that the request can be sent again or be refused, and the answers behind it
//! on the caller's connection are not lost with it.

use std::pin;
use std::task;

use http_body::Body as _;
use http_body_util::BodyExt;

/// Most bytes of an answer that are read before it is passed on.
const MAX_WHOLE_BYTES: usize = 64 * 1024;

/// The body of an answer, read to its end or in part.
#[derive(Debug)]
pub struct ReadBody {
    /// What was read; oldest first.
    parts: std::collections::VecDeque<bytes::Bytes>,
    /// What follows, if the answer is too large to be read whole.
    rest: Option<hyper::body::Incoming>,
}

impl ReadBody {
    /// Takes a body of which nothing is read ahead.
    #[must_use]
    pub const fn unread(body: hyper::body::Incoming) -> Self {
        Self { parts: std::collections::VecDeque::new(), rest: Some(body) }
    }

    /// Reads a small body to its end, and of a larger one the first part.
    ///
    /// # Errors
    ///
    /// Returns an error when the backend server broke off.
    pub async fn read(mut body: hyper::body::Incoming) -> Result<Self, hyper::Error> {
        let mut parts = std::collections::VecDeque::new();
        let mut length = 0;
        let is_large = |length: u64| length > MAX_WHOLE_BYTES as u64;
        if is_large(body.size_hint().lower()) {
            return Ok(Self::unread(body));
        }
        while let Some(frame) = body.frame().await {
            // Trailers are not passed on.
            let Ok(part) = frame?.into_data() else { continue };
            length += part.len();
            parts.push_back(part);
            if is_large(length as u64) {
                return Ok(Self { parts, rest: Some(body) });
            }
        }
        Ok(Self { parts, rest: None })
    }
}

impl http_body::Body for ReadBody {
    type Data = bytes::Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<bytes::Bytes>, hyper::Error>>> {
        if let Some(part) = self.parts.pop_front() {
            return task::Poll::Ready(Some(Ok(http_body::Frame::data(part))));
        }
        match &mut self.rest {
            Some(rest) => pin::Pin::new(rest).poll_frame(context),
            None => task::Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.parts.is_empty() && self.rest.as_ref().is_none_or(http_body::Body::is_end_stream)
    }

    fn size_hint(&self) -> http_body::SizeHint {
        let read: usize = self.parts.iter().map(bytes::Bytes::len).sum();
        let Some(rest) = &self.rest else { return http_body::SizeHint::with_exact(read as u64) };
        let mut hint = rest.size_hint();
        let upper = hint.upper().map(|upper| upper + read as u64);
        hint.set_lower(hint.lower() + read as u64);
        upper.into_iter().for_each(|upper| hint.set_upper(upper));
        hint
    }
}
