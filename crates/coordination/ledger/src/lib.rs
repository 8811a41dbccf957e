//! One ledger for every bound that holds over all instances together.
//!
//! - [`action`]: what the ledger is told and what it asks for.
//! - [`asking`]: asking a limit's holder, and the loan that it gives.
//! - [`baseline`]: an even split, for comparison.
//! - [`bucket`]: the token bucket of one share.
//! - [`demand`]: requests per second under one limit.
//! - [`directory`]: which instance holds each limit.
//! - [`dump`]: the ledger's state for operators.
//! - [`holding`]: becoming, being and ceasing to be a holder.
//! - [`lease`]: the lease of a holder and its heir's promises.
//! - [`ledger`]: admission of requests, and the handling of events.
//! - [`lending`]: answers of a holder, and the loans that it gives.
//! - [`limit`]: names of limits that all instances agree on.
//! - [`mechanism`]: mechanisms that a test switches off.
//! - [`message`]: what the ledgers of two instances tell each other.
//! - `part`: one instance's part of a limit.
//! - [`share`]: shares of a limit, in integer units.
//! - [`split`]: limits split by demand, without a holder.
//! - [`takeover`]: ending the lease of a holder that no longer answers.

pub mod action;
pub mod asking;
pub mod baseline;
pub mod bucket;
pub mod demand;
pub mod directory;
pub mod dump;
pub mod holding;
pub mod lease;
pub mod ledger;
pub mod lending;
pub mod limit;
pub mod mechanism;
pub mod message;
mod part;
pub mod share;
pub mod split;
pub mod takeover;
