//! Tests of pipelined HTTP/1.1 connections.

mod bodies;
mod closing;
mod framing;
mod harness;
mod heads;
#[path = "../support/mod.rs"]
mod support;
