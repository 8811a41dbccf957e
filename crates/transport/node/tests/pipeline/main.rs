//! Tests of pipelined HTTP/1.1 connections.

mod bodies;
mod framing;
mod heads;
#[path = "../support/mod.rs"]
mod support;
