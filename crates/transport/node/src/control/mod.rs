//! Tasks around the decisions on membership and configuration.
//!
//! - [`configuration`]: follows the configuration objects of the store.
//! - [`listing`]: follows the platform's list of instances.
//! - [`membership`]: drives the decisions on membership.

pub mod configuration;
pub mod listing;
pub mod membership;
