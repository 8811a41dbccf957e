//! Which entry instances a caller is to use.
//!
//! - [`lookup`]: the answer to one look-up.

pub mod lookup;
