//! Which backend servers are there, as they say themselves.
//!
//! - [`change`]: what changed, for the log.
//! - [`registry`]: the registrations, and the failure domains that are drained.
//! - [`view`]: the servers of each pool.

pub mod change;
pub mod registry;
pub mod view;
