//! Dense entity keys, the maps they index, and points in time.
//!
//! - [`incarnation`]: one run of one process.
//! - [`key`]: small `Copy` keys and the macro that declares them.
//! - [`primary`]: the map that creates keys.
//! - [`rendezvous`]: stable scores that spread keys over instances and servers.
//! - [`secondary`]: further data for keys of a primary map.
//! - [`time`]: monotonic points in time, passed in by the caller.

pub mod incarnation;
pub mod key;
pub mod primary;
pub mod rendezvous;
pub mod secondary;
pub mod time;
