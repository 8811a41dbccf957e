//! Distributed rate limiting: enforces limits that hold over all instances together.
//!
//! It has two independent schemes. In [`ledger`], each limit has one holder, which lends
//! shares of it to other instances; no window exceeds the limit. In [`split`], the instances
//! divide each limit by their reported demand; a window may exceed it by a set tolerance.
//!
//! - [`action`]: the ledger's inputs (events) and outputs (actions).
//! - [`baseline`]: a static even split, for comparison.
//! - [`borrowing`]: requests for tokens to a limit's holder, and the loan received from it.
//! - [`bucket`]: the token bucket of one share.
//! - [`directory`]: which instance holds each limit.
//! - [`dump`]: the ledger's state for operators.
//! - [`holding`]: claiming, holding and dropping limits, and exchanging messages about them.
//! - [`lease`]: the lease of a holder and the promises of its successor.
//! - [`ledger`]: admission of requests, and the handling of events.
//! - [`lending`]: a holder's answers to token requests, and the loans that it gives.
//! - [`limit`]: identifiers of limits, equal on all instances.
//! - `local`: one instance's fraction of a limit that is split by demand.
//! - [`mechanism`]: mechanisms that only tests switch off.
//! - [`message`]: messages between the ledgers of two instances.
//! - [`share`]: shares of a limit, in integer units.
//! - [`split`]: limits that are split by demand, without a holder.
//! - [`takeover`]: ending the lease of another instance that no longer renews it.

pub mod action;
pub mod baseline;
pub mod borrowing;
pub mod bucket;
pub mod directory;
pub mod dump;
pub mod holding;
pub mod lease;
pub mod ledger;
pub mod lending;
pub mod limit;
mod local;
pub mod mechanism;
pub mod message;
pub mod share;
pub mod split;
pub mod takeover;
