//! Connections to backend servers.
//!
//! - [`answer`]: the body of an answer, which returns its connection.
//! - [`connection`]: one connection, whose first byte passes a gate.
//! - [`pool`]: idle connections.
//! - [`replay`]: the body of a request that may be sent more than once.
//! - [`service`]: slots, queue and connections of one service.
//! - [`stream`]: the socket behind the gate.
//! - [`whole`]: answers that are read whole before they are passed on.

pub mod answer;
pub mod connection;
pub mod pool;
pub mod replay;
pub mod service;
pub mod stream;
pub mod whole;
