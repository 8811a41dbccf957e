//! Dense entity keys, the maps they index, and points in time.
//!
//! - [`incarnation`]: identifies one lifetime of an instance's process.
//! - [`key`]: small `Copy` keys and the macro that declares them.
//! - [`meter`]: a meter of the rate of events.
//! - [`primary`]: the map that owns entities and allocates their keys.
//! - [`rendezvous`]: rendezvous hashing of keys over instances and servers.
//! - [`secondary`]: additional data for keys of a primary map.
//! - [`time`]: monotonic points in time, passed in by the caller.

pub mod incarnation;
pub mod key;
pub mod meter;
pub mod primary;
pub mod rendezvous;
pub mod secondary;
pub mod time;
