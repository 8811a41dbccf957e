//! Names, versions and operations of the platform's object API.
//!
//! Crates that perform no I/O emit operations; the transport layer executes them
//! and passes the answers back.
//!
//! - [`object`]: names and versions.
//! - [`operation`]: operations, watches and their answers.
//! - [`position`]: eras and revisions of the store.

pub mod object;
pub mod operation;
pub mod position;
