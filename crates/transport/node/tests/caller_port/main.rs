//! The caller port under bad input, over raw TCP.

mod harness;
mod headers;
#[path = "../support/ledger.rs"]
mod ledger;
mod limits;
mod smuggling;
mod targets;
