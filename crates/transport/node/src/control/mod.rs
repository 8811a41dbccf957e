//! Tasks around the decisions on membership and configuration.
//!
//! - [`configuration`]: drives the decisions on configuration and keys.
//! - [`dump`]: their state for operators.
//! - [`listing`]: follows the platform's list of instances.
//! - [`membership`]: drives the decisions on membership.

pub mod configuration;
pub mod dump;
pub mod listing;
pub mod membership;
