//! Links to other instances.
//!
//! - [`link`]: the handshake that authenticates a link.
//! - [`relay`]: connections to backend servers through another instance.
//! - [`session`]: exchanges envelopes over one authenticated link.
//! - [`table`]: the open links by peer address.
//! - [`mesh`]: the links of an instance to all its peers.

pub mod link;
pub mod mesh;
pub mod relay;
pub mod session;
pub mod table;
