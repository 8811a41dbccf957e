//! HTTP listeners with connection limits, for all ports but that of peers.
//!
//! - [`bounded`]: a TCP listener with a connection limit.
//! - [`http`]: one HTTP connection, with limits and graceful shutdown.
//! - [`preface`]: HTTP version detection with a timeout.
//! - [`router`]: an axum router on its own port.

pub mod bounded;
pub mod http;
pub mod preface;
pub mod router;
