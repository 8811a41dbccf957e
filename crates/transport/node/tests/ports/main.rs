//! The ports of an instance under good and bad input, over TCP.

mod admin;
mod harness;
mod headers;
mod limits;
mod metrics;
mod smuggling;
mod targets;
