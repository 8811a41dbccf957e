//! Admission of requests under limits, around the ledger's decisions.
//!
//! - [`control`]: the ledger and the requests that wait for it.
//! - [`driver`]: carries out what the ledger asks for.
//! - [`members`]: tells the ledger which instances are there.
//! - [`sharing`]: tells other instances the demand.

pub mod control;
pub mod driver;
pub mod members;
pub mod sharing;
