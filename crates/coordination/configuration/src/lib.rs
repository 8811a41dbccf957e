//! Which versions of the tables an instance applies, and how it hears of them.
//!
//! A few instances of each region watch the store. The others hear from peers:
//! by notices when an object is new, by digests that repair what a notice
//! missed, and by a slow poll of the store. The tables carry the time for
//! which the store may have changed without this instance knowing.
//!
//! - [`candidate`]: objects as read.
//! - [`group`]: objects that must fit each other.
//! - [`selector`]: chooses the greatest consistent versions.
//! - [`configuration`]: a consistent set of tables.
//! - [`message`]: what instances send each other.
//! - [`settings`]: periods and bounds.
//! - [`fetch`]: objects that are being fetched from peers.
//! - [`sight`]: what is known of the store's state.
//! - [`trust`]: whether the keys may still be believed.
//! - [`status`]: reports of faulty objects.
//! - [`fleet`]: the members as the configuration needs them.
//! - [`keeper`]: the decisions.
//! - `relay`: how the keeper deals with peers.
//! - `store`: how the keeper deals with the store.
//! - [`dump`]: the keeper's state for operators.

pub mod candidate;
pub mod configuration;
pub mod dump;
pub mod fetch;
pub mod fleet;
pub mod group;
pub mod keeper;
pub mod message;
mod relay;
pub mod selector;
pub mod settings;
pub mod sight;
pub mod status;
mod store;
pub mod trust;
