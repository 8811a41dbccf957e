//! Settings of an instance, read from TOML and checked.
//!
//! - [`catalogue`]: unit, default, range and meaning of each setting.
//! - [`document`]: the raw TOML document.
//! - [`fault`]: what is wrong with settings, where, and the remedy.
//! - [`secret`]: secrets from files or the environment.
//! - [`settings`]: the checked settings.
//! - [`topology`]: which failure domains lie in which region.

pub mod catalogue;
pub mod document;
pub mod fault;
pub mod secret;
pub mod settings;
pub mod topology;
