//! Settings of an instance, parsed from TOML and validated.
//!
//! - [`catalogue`]: unit, default, range and description of each setting.
//! - [`document`]: the raw TOML document.
//! - [`fault`]: validation errors with their location and remedy.
//! - [`secret`]: secrets from files or the environment.
//! - [`settings`]: the validated settings.
//! - [`topology`]: the region of each failure domain.

pub mod catalogue;
pub mod document;
pub mod fault;
pub mod secret;
pub mod settings;
pub mod topology;
