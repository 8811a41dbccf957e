//! Tasks for membership, configuration and backend server registration.
//!
//! - [`announcement`]: publishes the instance's entry in the store.
//! - [`configuration`]: drives the configuration keeper.
//! - [`dump`]: state of these tasks in the state dump.
//! - [`limits`]: exchanges the limits that backend servers name.
//! - [`listing`]: polls the platform's list of instances and backend servers.
//! - [`membership`]: drives the membership keeper.
//! - [`pause`]: delay between two watches.
//! - [`quarantine`]: shares and keeps the requests that end backend servers.
//! - [`registry`]: watches the registrations of backend servers.
//! - [`reload`]: reloads the settings file.
//! - [`store`]: creates the client of the platform's store.
//! - [`watching`]: watches that are checked while they are silent.

pub mod announcement;
pub mod configuration;
pub mod dump;
pub mod limits;
pub mod listing;
pub mod membership;
pub mod pause;
pub mod quarantine;
pub mod registry;
pub mod reload;
pub mod store;
pub mod watching;
