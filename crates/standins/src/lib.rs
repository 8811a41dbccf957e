//! Test doubles ("stand-ins") for the environment of the system: the platform,
//! backend servers and callers.
//!
//! None of this is part of the shipped binary. Each backend server counts the
//! requests that it ran, from which tests detect lost and duplicated requests.
//!
//! The platform:
//! - [`platform`]: the object API and the list of instances, which may lag.
//! - [`calls`]: counts of the calls to it.
//!
//! Backend servers:
//! - [`backend`]: a server with a limited number of slots, load shedding and
//!   fault injection.
//! - [`behaviour`]: its switches.
//! - [`record`]: the requests that a group of servers ran.
//! - [`leak`]: detects keys in requests.
//!
//! Callers:
//! - [`profile`]: the load of a run.
//! - [`run`]: sends the load of a profile.
//! - [`caller`], [`attempt`], [`lookup`]: the callers of one team.
//! - [`observer`], [`evaluation`], [`limiter`], [`report`]: measurements of a run.
//!
//! Process tests:
//! - [`fleet`]: instance processes together with a platform and backend servers.
//! - [`instance`]: one instance process.
//! - [`example`]: the initial tables and settings of the tests.
//! - [`traffic`]: callers that send until they are stopped.
//!
//! Shared:
//! - [`control`]: an HTTP client for switches, readiness and table edits.
//! - [`deployment`]: copies of a deployment on other ports, and port reservation.
//! - [`port`]: an HTTP listener that closes its connections when dropped.

pub mod attempt;
pub mod backend;
pub mod behaviour;
pub mod caller;
pub mod calls;
pub mod control;
pub mod deployment;
pub mod evaluation;
pub mod example;
pub mod fleet;
pub mod instance;
pub mod leak;
pub mod limiter;
pub mod lookup;
pub mod observer;
pub mod platform;
pub mod port;
pub mod profile;
pub mod record;
pub mod report;
pub mod run;
mod storage;
mod switch;
pub mod traffic;
