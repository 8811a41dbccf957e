//! Links to other instances.
//!
//! - [`forwarding`]: forwards the connections of other instances to backend servers.
//! - [`link`]: the handshake that authenticates a link.
//! - [`relay`]: opens connections to backend servers through another instance.
//! - [`session`]: exchanges envelopes over one authenticated link.
//! - [`table`]: the open links by peer address.
//! - [`mesh`]: the links of an instance to all its peers.

pub mod forwarding;
pub mod link;
pub mod mesh;
pub mod relay;
pub mod session;
pub mod table;
