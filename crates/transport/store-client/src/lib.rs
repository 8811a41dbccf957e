//! Carries out operations on the platform's object API over HTTP.
//!
//! - [`client`]: the client.

pub mod client;
