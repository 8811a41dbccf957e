//! The process of one instance: the sockets, timers and tasks that drive the
//! coordination crates, which do no I/O themselves.
//!
//! - [`admin`]: the admin port: metrics, state dump, liveness and readiness.
//! - [`admission`]: admission of requests under rate limits.
//! - [`backends`]: connections to backend servers.
//! - [`callers`]: the caller port, lookup and request handling.
//! - [`clock`]: the monotonic clock.
//! - [`control`]: tasks for membership, configuration and backend server registration.
//! - [`directory`]: the directory and readiness ports.
//! - [`dispatch`]: dispatch of requests to the backend servers of each service.
//! - [`dump`]: the state dump of an instance.
//! - [`inbox`]: routes received envelopes to the tasks that handle them.
//! - [`listener`]: HTTP listeners with bounded connections.
//! - [`listeners`]: the listening sockets of an instance.
//! - [`metrics`]: Prometheus metrics.
//! - [`peers`]: links to other instances.
//! - [`pipeline`]: caller connections with pipelined requests.
//! - [`runtime`]: startup and planned stop.
//! - [`shared`]: state that all tasks share, and the lock order.
//! - [`socket`]: operations on a TCP connection that the runtime does not offer.
//! - [`steering`]: steering of callers between regions.
//! - [`stopping`]: phases of a planned stop.

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
pub mod socket;
pub mod steering;
pub mod stopping;
