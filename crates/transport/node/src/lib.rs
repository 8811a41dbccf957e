//! The process of one instance: sockets, timers and tasks around the decisions.
//!
//! - [`admin`]: metrics, state dump, liveness and readiness for operators.
//! - [`admission`]: admission of requests under limits.
//! - [`backends`]: connections to backend servers.
//! - [`callers`]: the caller port, look-up and the path of a request.
//! - [`clock`]: the monotonic clock.
//! - [`control`]: tasks around the decisions on membership and configuration.
//! - [`directory`]: the directory and readiness ports.
//! - [`dispatch`]: the services, each with a dispatch of its own.
//! - [`dump`]: the state of an instance, in sections of bounded size.
//! - [`inbox`]: hands received envelopes to those who wait for them.
//! - [`listener`]: bounded listening for HTTP.
//! - [`listeners`]: the ports of an instance.
//! - [`metrics`]: counters and gauges.
//! - [`peers`]: links to other instances.
//! - [`pipeline`]: connections of callers that send requests ahead.
//! - [`runtime`]: start and planned stop.
//! - [`shared`]: tables that all tasks share, and their lock order.
//! - [`steering`]: steering of callers between regions.
//! - [`stopping`]: how the time of a planned stop is spent.

pub mod admin;
pub mod admission;
pub mod backends;
pub mod callers;
pub mod clock;
pub mod control;
pub mod directory;
pub mod dispatch;
pub mod dump;
pub mod inbox;
pub mod listener;
pub mod listeners;
pub mod metrics;
pub mod peers;
pub mod pipeline;
pub mod runtime;
pub mod shared;
pub mod steering;
pub mod stopping;
