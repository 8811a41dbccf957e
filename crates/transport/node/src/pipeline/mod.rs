//! HTTP/1.1 connections of callers that send requests ahead of answers.
//!
//! Requests that may run side by side do so; answers leave in the order of the
//! requests. The HTTP library answers one request at a time, so that a caller's
//! second request would wait for the first.
//!
//! - [`body`]: the body of a request, as it arrives.
//! - [`connection`]: one connection.
//! - [`head`]: the head of a request.
//! - [`writer`]: an answer on its way to the caller.

pub mod body;
pub mod connection;
pub mod head;
pub mod writer;
