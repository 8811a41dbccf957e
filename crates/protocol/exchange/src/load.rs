//! The load that a backend server reports.

use marjoramwing_derives as derives;

/// Requests that a backend server holds, as it said in an answer.
#[derives::value]
pub struct ReportedLoad {
    /// Requests that run or wait, from all instances.
    pub open: u32,
}
