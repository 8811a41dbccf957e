//! The process of one instance: sockets, timers and tasks around the decisions.
//!
//! - [`admin`]: metrics, state dump, liveness and readiness for operators.
//! - [`admission`]: admission of requests under limits.
//! - [`backends`]: connections to backend servers.
//! - [`callers`]: the caller port, look-up and the path of a request.
//! - [`clock`]: the monotonic clock.
//! - [`control`]: tasks around the decisions on membership and configuration.
//! - [`dispatch`]: the services, each with a dispatch of its own.
//! - [`dump`]: the state of an instance, in sections of bounded size.
//! - [`inbox`]: hands received envelopes to those who wait for them.
//! - [`listener`]: bounded listening for HTTP.
//! - [`metrics`]: counters and gauges.
//! - [`peers`]: links to other instances.
//! - [`runtime`]: start and planned stop.
//! - [`shared`]: tables that all tasks share, and their lock order.
//! - [`steering`]: steering of callers between regions.

pub mod admin;
pub mod admission;
pub mod backends;
pub mod callers;
pub mod clock;
pub mod control;
pub mod dispatch;
pub mod dump;
pub mod inbox;
pub mod listener;
pub mod metrics;
pub mod peers;
pub mod runtime;
pub mod shared;
pub mod steering;
