//! HTTP interface of the platform's object API and instance list.
//!
//! - [`call`]: HTTP requests and responses, independent of the dialect.
//! - [`native`]: encoding of operations in the native dialect.
//! - [`path`]: paths of objects, watches and the instance list.
//! - [`quarantine`]: the requests that the instances hold.
//! - [`version`]: object versions as entity tags.
//! - [`listing`]: the platform's list of instances and backend servers.
//! - [`watch`]: responses to a watch.

pub mod call;
pub mod listing;
pub mod native;
pub mod path;
pub mod quarantine;
pub mod version;
pub mod watch;
