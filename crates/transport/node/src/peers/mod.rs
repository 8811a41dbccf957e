//! Links to other instances.
//!
//! - [`link`]: the handshake of one link.
//! - [`mesh`]: all links of an instance.

pub mod link;
pub mod mesh;
