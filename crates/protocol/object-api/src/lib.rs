//! The HTTP shape of the platform's object API and instance list.
//!
//! - [`call`]: calls and answers, before and after translation.
//! - [`native`]: the product's own dialect.
//! - [`path`]: paths of objects, watches and the instance list.
//! - [`version`]: versions as entity tags.
//! - [`listing`]: the lagging list of live and leaving instances.
//! - [`watch`]: answers of a watch.

pub mod call;
pub mod listing;
pub mod native;
pub mod path;
pub mod version;
pub mod watch;
