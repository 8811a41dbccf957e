//! A compact table from client addresses to home sites.
//!
//! Nested prefixes are flattened into disjoint ranges when the table is
//! built, off the hot path, so that a look-up is one search.
//!
//! - [`builder`]: builds a table from prefixes and reuses its buffers.
//! - [`narrow`]: ranges of IPv4 addresses.
//! - [`range`]: disjoint ranges and their flattening.
//! - [`table`]: the whole table.
//! - [`verifier`]: checks a table's invariants, apart from the builder.
//! - [`wide`]: ranges of IPv6 addresses.

pub mod builder;
pub mod narrow;
pub mod range;
pub mod table;
pub mod verifier;
pub mod wide;
