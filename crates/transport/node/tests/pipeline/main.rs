//! Requests that a caller sends ahead of answers on one connection.

mod framing;
