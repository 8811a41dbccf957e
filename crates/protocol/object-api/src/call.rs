//! Calls of an object API and their answers, before and after translation.

use marjoramwing_derives as derives;
use marjoramwing_objects::operation;

/// One call, ready to be sent.
#[derive(Debug, Clone)]
pub struct StoreCall {
    /// Method of the call.
    pub method: http::Method,
    /// Path and query.
    pub path: String,
    /// Headers beside those that every call has.
    pub headers: Vec<(http::HeaderName, http::HeaderValue)>,
    /// Body; empty for a read.
    pub body: bytes::Bytes,
}

impl StoreCall {
    /// Makes a call without a body.
    #[must_use]
    pub const fn get(path: String) -> Self {
        Self { method: http::Method::GET, path, headers: Vec::new(), body: bytes::Bytes::new() }
    }
}

/// The whole answer to a call.
#[derive(Debug, Clone)]
pub struct CallAnswer {
    /// Status of the answer.
    pub status: http::StatusCode,
    /// Headers of the answer.
    pub headers: http::HeaderMap,
    /// Body of the answer.
    pub body: bytes::Bytes,
}

/// Why an answer is not usable.
#[derives::value]
pub enum CallFault {
    /// The status is not one that the call may have.
    Status(u16),
    /// The body is not one that the call may have.
    Body,
    /// The changes since the revision are no longer known.
    HistoryGone,
}

/// One page of a list or of changes.
#[derives::record]
pub struct WatchPage {
    /// What the page tells.
    pub answer: operation::WatchAnswer,
    /// Name after which the next page begins, if there is one.
    pub next_after: Option<String>,
}
