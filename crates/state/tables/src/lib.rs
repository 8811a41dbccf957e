//! Checked tables of routes, pools, teams, keys and steering.
//!
//! - [`document`]: the raw JSON documents that the object API holds.
//! - [`fault`]: what is wrong with a document, where, and the remedy.
//! - [`name`]: checked names.
//! - [`credential`]: team keys, kept as hashes only.
//! - [`registration`]: backend servers that register themselves.
//! - [`route`], [`pool`], [`team`], [`site`], [`region`]: the checked rows.
//! - [`snapshot`]: one immutable set of all tables, made from documents.

pub mod credential;
pub mod document;
pub mod fault;
pub mod name;
pub mod pool;
pub mod region;
pub mod registration;
pub mod route;
pub mod site;
pub mod snapshot;
mod steering;
pub mod team;
