//! Headers between callers, instances and backend servers.
//!
//! - [`load`]: the load that a backend server reports.
//! - [`names`]: which header says what, in one dialect.

pub mod load;
pub mod names;
