//! Stand-ins for what surrounds the system: platform, backend servers, callers.
//!
//! None of this is part of the shipped binary. Each stand-in counts what it
//! ran, so that lost and doubled requests are read off here.
//!
//! - [`backend`]: a backend server with slots, shedding and faulty answers.
//! - [`caller`]: callers with a load profile.
//! - [`control`]: readiness of instances and edits at the platform.
//! - [`platform`]: the object API and the lagging list of instances.
//! - [`report`]: what a run of callers measured.

pub mod backend;
pub mod caller;
pub mod control;
pub mod platform;
pub mod report;
