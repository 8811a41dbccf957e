//! Registry of the backend servers that register themselves in the store.
//!
//! - [`change`]: changes of the registry, for the log.
//! - [`registry`]: the registrations and the drained failure domains.
//! - [`view`]: snapshot of the servers in each pool.

pub mod change;
mod departure;
mod entry;
mod evacuation;
mod grace;
pub mod registry;
pub mod view;
