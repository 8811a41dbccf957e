//! Admission of requests under limits, around the ledger's decisions.
//!
//! - [`carrier`]: carries out what the ledger asks for.
//! - [`control`]: the ledger and the requests that wait for it.
//! - [`members`]: tells the ledger which instances are there.

pub mod carrier;
pub mod control;
pub mod members;
