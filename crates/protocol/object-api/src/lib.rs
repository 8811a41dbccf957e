//! The HTTP shape of the platform's object API and instance list.
//!
//! - [`path`]: paths of objects, watches and the instance list.
//! - [`version`]: versions as entity tags.
//! - [`listing`]: the lagging list of live and leaving instances.
//! - [`watch`]: answers of a watch.

pub mod listing;
pub mod path;
pub mod version;
pub mod watch;
