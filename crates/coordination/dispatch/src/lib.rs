//! Where a request goes, when, and what may be said of its outcome.
//!
//! - [`budget`]: retries as a share of live traffic.
//! - [`claim`]: claims of idempotency keys.
//! - [`cold`]: the pace of requests to a cold server.
//! - [`distance`]: how far a backend server is.
//! - [`exchange`]: how far the attempts came, and what may follow.
//! - [`gate`]: the last moment before the first byte.
//! - [`health`]: ejection and slow start.
//! - [`homing`]: requests that come back to the region.
//! - [`mechanism`]: what tests can switch off.
//! - [`picker`]: the choice of a backend server.
//! - [`policy`]: what a deployment weighs more.
//! - [`queue`]: requests that wait, in a line for each team.
//! - `server`: one backend server as this instance sees it.
//! - [`service`]: the dispatch of one service.
//! - [`session`]: which server a session's requests go to.

pub mod budget;
pub mod claim;
pub mod cold;
pub mod distance;
pub mod exchange;
pub mod gate;
pub mod health;
pub mod homing;
pub mod mechanism;
pub mod picker;
pub mod policy;
pub mod queue;
mod server;
pub mod service;
pub mod session;
