//! Headers between callers, instances and backend servers.
//!
//! - [`load`]: load reported by a backend server.
//! - [`names`]: header names of one dialect.
//! - [`team`]: the name of a team as the value of a header.

pub mod load;
pub mod names;
pub mod team;
