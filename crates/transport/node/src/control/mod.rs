//! Tasks around the decisions on membership and configuration.
//!
//! - [`announcement`]: writes the instance's own entry.
//! - [`configuration`]: drives the decisions on configuration and keys.
//! - [`dump`]: their state for operators.
//! - [`listing`]: follows the platform's list of instances.
//! - [`membership`]: drives the decisions on membership.
//! - [`registry`]: follows the registrations of backend servers.
//! - [`reload`]: reads the settings file again.
//! - [`store`]: the client of the platform's store.

pub mod announcement;
pub mod configuration;
pub mod dump;
pub mod listing;
pub mod membership;
pub mod registry;
pub mod reload;
pub mod store;
