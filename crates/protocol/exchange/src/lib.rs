//! Headers between callers, instances and backend servers.
//!
//! - [`load`]: load reported by a backend server.
//! - [`names`]: header names of one dialect.

pub mod load;
pub mod names;
