//! Validated tables of routes, pools, teams, keys and steering.
//!
//! - `builder`: checks documents and builds a snapshot from them.
//! - [`document`]: the raw JSON documents that the object API holds.
//! - [`fault`]: validation errors of documents, with path and remedy.
//! - [`name`]: validated names.
//! - [`credential`]: team keys, stored as hashes only.
//! - [`registration`]: backend servers that register themselves.
//! - [`route`], [`pool`], [`team`], [`site`], [`region`]: the validated rows.
//! - [`snapshot`]: one immutable set of all tables, built from documents.
//! - [`version`]: the form of versions in 64 bits.

mod builder;
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
pub mod version;
