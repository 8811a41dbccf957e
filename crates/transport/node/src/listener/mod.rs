//! Bounded listening for HTTP, for callers and operators alike.
//!
//! - [`bounded`]: connections under a bound.
//! - [`http`]: HTTP on one connection, with limits and a planned stop.
//! - [`preface`]: the first bytes of a connection.
//! - [`router`]: a router on a port of its own.

pub mod bounded;
pub mod http;
pub mod preface;
pub mod router;
