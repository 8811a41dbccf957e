//! Admission of requests under rate limits.
//!
//! - [`control`]: the ledger and the requests pending on it.
//! - [`driver`]: executes the ledger's actions.
//! - [`members`]: reports membership changes to the ledger.
//! - [`sharing`]: reports this instance's demand to its peers.

pub mod control;
pub mod driver;
pub mod members;
pub mod sharing;
