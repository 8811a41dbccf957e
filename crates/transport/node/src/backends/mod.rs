//! Connections to backend servers.
//!
//! - [`buffered`]: buffering of small responses before they are forwarded.
//! - [`connection`]: one HTTP/1 connection whose writes are controlled by a send gate.
//! - [`dial`]: opens connections, through another instance where the own links are lost.
//! - [`direct`]: opens connections without another instance between.
//! - [`inbound`]: reads what a backend server sends, directly or through another instance.
//! - [`joined`]: bodies that are joined as their parts arrive.
//! - [`pool`]: idle connections.
//! - [`replay`]: request bodies that can be sent more than once.
//! - [`response`]: response bodies, which return their connection to the connection pool.
//! - [`service`]: slots, queue and connections of one service, the run-time side of one pool.
//! - [`stream`]: the TCP stream behind the send gate.

pub mod buffered;
pub mod connection;
pub mod dial;
pub mod direct;
pub mod inbound;
pub mod joined;
pub mod pool;
pub mod replay;
pub mod response;
pub mod service;
pub mod stream;
