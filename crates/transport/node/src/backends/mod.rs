//! Connections to backend servers.
//!
//! - [`answer`]: response bodies, which return their connection to the pool.
//! - [`connection`]: one HTTP/1 connection whose writes are controlled by a send gate.
//! - [`pool`]: idle connections.
//! - [`replay`]: request bodies that can be sent more than once.
//! - [`service`]: slots, queue and connections of one service.
//! - [`stream`]: the TCP stream behind the send gate.
//! - [`whole`]: buffering of small responses before they are forwarded.

pub mod answer;
pub mod connection;
pub mod pool;
pub mod replay;
pub mod service;
pub mod stream;
pub mod whole;
