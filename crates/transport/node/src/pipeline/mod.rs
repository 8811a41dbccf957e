//! HTTP/1.1 connections with pipelining.
//!
//! Pipelined requests with safe methods run concurrently; responses are written
//! in the order of the requests. Hyper handles the requests of a connection one
//! at a time, so that a caller's second request would wait for the first.
//!
//! - [`body`]: decoding of request bodies.
//! - [`connection`]: the loop that serves one connection.
//! - [`head`]: parsing of request heads.
//! - [`incoming`]: the request body that a connection is receiving.
//! - [`writer`]: writing of responses.

pub mod body;
pub mod connection;
pub mod head;
pub mod incoming;
pub mod writer;
