//! Where a request goes and what may be said of its outcome.
//!
//! - [`exchange`]: how far one attempt came, and whether it may be repeated.
//! - [`picker`]: the choice of a backend server.

pub mod exchange;
pub mod picker;
