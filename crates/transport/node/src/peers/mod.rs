//! Links to other instances.
//!
//! - [`link`]: the handshake that authenticates a link.
//! - [`session`]: exchanges envelopes over one authenticated link.
//! - [`table`]: the open links by peer address.
//! - [`mesh`]: the links of an instance to all its peers.

pub mod link;
pub mod mesh;
pub mod session;
pub mod table;
