//! A compact table that maps client addresses to home sites.
//!
//! Nested prefixes are flattened into disjoint ranges when the table is
//! built, off the hot path, so that a lookup is a single binary search.
//!
//! - [`builder`]: builds a table from prefixes and reuses its buffers.
//! - [`ipv4`]: packed ranges of IPv4 addresses.
//! - [`ipv6`]: packed ranges of IPv6 addresses.
//! - [`range`]: disjoint ranges, and the flattening of nested prefixes.
//! - [`table`]: the table of both address families.
//! - [`verifier`]: checks a table independently of the builder.

pub mod builder;
pub mod ipv4;
pub mod ipv6;
pub mod range;
pub mod table;
pub mod verifier;
