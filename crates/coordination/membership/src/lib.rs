//! Which instances are live, as one instance sees it.
//!
//! - [`member`]: one known instance.
//! - [`view`]: an immutable view for look-ups.

pub mod member;
pub mod view;
