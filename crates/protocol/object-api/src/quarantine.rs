//! The requests that the instances hold, as the store keeps them.

use marjoramwing_derives as derives;

/// Content of the one object of its kind.
#[derives::document]
#[derive(Default)]
pub struct QuarantineDocument {
    /// Requests under which several servers ended.
    pub requests: Vec<QuarantinedRequest>,
}

/// One request.
#[derives::document]
pub struct QuarantinedRequest {
    /// Fingerprint of the request's content, in hexadecimal digits.
    pub content: String,
    /// Hash of the name of the team that sent it, in hexadecimal digits.
    pub sender: String,
    /// Servers that ended under it.
    pub crashes: Vec<QuarantinedCrash>,
    /// Time of the last one, in Unix milliseconds.
    pub crashed_at_ms: u64,
}

/// One server that ended under a request.
#[derives::document]
pub struct QuarantinedCrash {
    /// Hash of the run of the server, in hexadecimal digits.
    pub run: String,
    /// Whether the request was cleared of it.
    pub excused: bool,
}
