//! One ledger for every bound that holds over all instances together.
//!
//! - [`bucket`]: the local token bucket of one share.
//! - [`limit`]: names of limits that all instances agree on.
//! - [`ledger`]: admission of requests.

pub mod bucket;
pub mod ledger;
pub mod limit;
