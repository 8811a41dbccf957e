//! The operators' commands.
//!
//! - [`command`]: the commands, their exit codes and errors.
//! - [`options`]: command lines, help texts and where secrets come from.
//! - [`check`]: checks settings and tables without any process.
//! - [`route`], [`pool`], [`team`], [`key`]: the commands that edit one table.
//! - [`table`]: the verbs that those four share.
//! - [`row`]: rows of the tables and changes of one row.
//! - [`editor`]: reads and conditionally writes the objects of the store.
//! - [`resolution`]: what a read-back says about a write whose answer was lost.
//! - [`lookup`], [`dump`]: questions to an instance.
//! - [`instance`]: the HTTP call to an instance.
//! - [`output`]: what the commands print.

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
pub mod resolution;
pub mod route;
pub mod row;
pub mod table;
pub mod team;
