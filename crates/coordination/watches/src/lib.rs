//! Decides when an open watch of the store is checked, so that one that hangs is noticed.
//!
//! A watch that returns nothing means that nothing has changed, or that its answer was lost. Only a
//! further call tells the two apart. One instance of the fleet makes it for all others: it reports
//! what it has found, and an instance that lacks a reported change checks its own watch.
//!
//! - [`coverage`]: what an instance knows of the changes of one kind of object.
//! - [`monitor`]: when the watch of each kind is checked.

pub mod coverage;
pub mod monitor;
