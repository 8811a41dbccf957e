//! HTTP client of the platform's object API.
//!
//! - [`client`]: the client and its errors.
//! - [`dialect`]: the dialects that it supports.

pub mod client;
pub mod dialect;
