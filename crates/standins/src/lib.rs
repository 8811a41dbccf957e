//! Stand-ins for what surrounds the system: platform, backend servers, callers.
//!
//! None of this is part of the shipped binary. Each stand-in counts what it
//! ran, so that lost and doubled requests are read off here.
//!
//! The platform:
//! - [`platform`]: the object API and the lagging list of instances.
//! - [`calls`]: counts of its calls.
//!
//! Backend servers:
//! - [`backend`]: a server with slots, shedding and faulty answers.
//! - [`behaviour`]: its switches.
//! - [`record`]: what a group of servers ran.
//! - [`leak`]: keys seen in requests.
//!
//! Callers:
//! - [`profile`]: the load of a run.
//! - [`run`]: runs a profile.
//! - [`caller`], [`attempt`], [`lookup`]: one team's callers.
//! - [`observer`], [`judgement`], [`limiter`], [`report`]: what a run measured.
//!
//! Both:
//! - [`control`]: switches, readiness and edits over HTTP.
//! - [`deployment`]: copies of a deployment on other ports.
//! - [`port`]: a listening port that can be closed.

pub mod attempt;
pub mod backend;
pub mod behaviour;
pub mod caller;
pub mod calls;
pub mod control;
pub mod deployment;
pub mod judgement;
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
