//! Where a request goes and what may be said of its outcome.
//!
//! - [`exchange`]: how far the attempts came, and what may follow.
//! - [`gate`]: the last moment before the first byte.
//! - [`mechanism`]: what tests can switch off.
//! - [`picker`]: the choice of a backend server.

pub mod exchange;
pub mod gate;
pub mod mechanism;
pub mod picker;
