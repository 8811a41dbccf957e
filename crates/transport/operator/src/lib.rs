//! The operators' commands.
//!
//! - [`check`]: checks settings and tables without any process.
//! - [`command`]: the commands and their exit codes.

pub mod check;
pub mod command;
