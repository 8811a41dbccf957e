//! Load reported by a backend server.

use marjoramwing_derives as derives;

/// Load of a backend server, as reported in a response.
#[derives::value]
pub struct ReportedLoad {
    /// Requests from all instances that the server runs or has queued.
    pub open_requests: u32,
}
