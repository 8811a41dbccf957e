//! The caller port under bad input, over raw TCP.

mod harness;
mod headers;
mod limits;
mod smuggling;
mod targets;
