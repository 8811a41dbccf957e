//! Distribution of the configuration tables to all instances.
//!
//! A few instances in each region watch the store. The others learn of changes
//! from peers: through notices of new objects and through periodic digests,
//! which recover missed notices. They also poll the store at a long interval.
//! Each instance tracks the age of its tables, which is the time since they
//! were last confirmed against the store.
//!
//! - [`assembly`]: object texts that peers send in parts.
//! - [`candidate`]: parsed table objects.
//! - [`group`]: groups of objects that must be consistent with each other.
//! - [`selector`]: selection of the newest consistent versions.
//! - [`configuration`]: a consistent set of tables.
//! - [`message`]: messages between instances.
//! - [`settings`]: intervals and limits.
//! - [`fetch`]: fetches of objects from peers.
//! - [`freshness`]: age of the tables and reachability of the store.
//! - [`trust`]: whether the keys may still be trusted.
//! - [`status`]: reports of faulty objects.
//! - [`fleet`]: member selection for watching and messages.
//! - [`keeper`]: the state machine that ties these together.
//! - [`gossip`]: the keeper's exchange of messages with peers.
//! - `store`: the keeper's calls to the store.
//! - [`dump`]: the keeper's state, as shown to operators.

pub mod assembly;
pub mod candidate;
pub mod configuration;
pub mod dump;
pub mod fetch;
pub mod fleet;
pub mod freshness;
pub mod gossip;
pub mod group;
pub mod keeper;
pub mod message;
pub mod selector;
pub mod settings;
pub mod status;
mod store;
pub mod trust;
