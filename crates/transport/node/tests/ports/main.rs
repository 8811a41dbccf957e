//! The ports of an instance under good and bad input, over TCP.

mod admin;
mod harness;
mod headers;
#[path = "../support/ledger.rs"]
mod ledger;
mod limits;
mod metrics;
mod smuggling;
mod targets;
