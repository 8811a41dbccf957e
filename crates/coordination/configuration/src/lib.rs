//! Which versions of the tables an instance applies.
//!
//! - [`candidate`]: objects as read, newest first.
//! - [`configuration`]: chooses the greatest consistent versions.

pub mod candidate;
pub mod configuration;
