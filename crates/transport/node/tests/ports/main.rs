//! Tests of the ports of an instance with valid and invalid input, over TCP.

mod admin;
mod harness;
mod headers;
#[path = "../support/ledger.rs"]
mod ledger;
mod limits;
mod metrics;
mod smuggling;
mod stopping;
mod targets;
