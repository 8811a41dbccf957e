//! Links to other instances.
//!
//! - [`link`]: the handshake of one link.
//! - [`carrier`]: carries envelopes over one proven link.
//! - [`table`]: the open links by peer address.
//! - [`mesh`]: all links of an instance.

pub mod carrier;
pub mod link;
pub mod mesh;
pub mod table;
