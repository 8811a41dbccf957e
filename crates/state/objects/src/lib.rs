//! Names, versions and operations of the platform's object API.
//!
//! The decision crates ask for operations and are told the answers; the
//! transport layer carries them out.
//!
//! - [`object`]: names and versions.
//! - [`operation`]: what can be asked and answered.

pub mod object;
pub mod operation;
