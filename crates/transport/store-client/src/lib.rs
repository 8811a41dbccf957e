//! Carries out operations on the platform's object API over HTTP.
//!
//! - [`client`]: the client.
//! - [`dialect`]: the dialects that it speaks.

pub mod client;
pub mod dialect;
