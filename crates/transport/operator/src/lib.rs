//! The command-line commands for operators.
//!
//! - [`command`]: the commands, their exit codes and errors.
//! - [`options`]: command-line options, help texts and sources of secrets.
//! - [`check`]: checks settings files and table documents offline.
//! - [`route`], [`pool`], [`team`], [`key`]: the commands that edit one table.
//! - [`table`]: the subcommands that those four share.
//! - [`row`]: table rows and changes to a single row.
//! - [`editor`]: reads tables from the store and writes them conditionally.
//! - [`resolution`]: the outcome of a write whose response was lost, from a read-back.
//! - [`lookup`], [`dump`]: the commands that query an instance.
//! - [`release`]: lets a held request run again.
//! - [`instance`]: the HTTP request to an instance.
//! - [`output`]: the output of the commands.

pub mod check;
pub mod command;
pub mod dump;
pub mod editor;
pub mod instance;
pub mod key;
pub mod lookup;
pub mod options;
pub mod output;
pub mod pool;
pub mod release;
pub mod resolution;
pub mod route;
pub mod row;
pub mod table;
pub mod team;
