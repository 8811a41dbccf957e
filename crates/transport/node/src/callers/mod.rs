//! The caller port: look-up and the path of a request.
//!
//! - [`answer`]: answers that the instance gives itself.
//! - `attempt`: one attempt at one backend server.
//! - [`attempts`]: the attempts at one request.
//! - [`body`]: the body of a request, with a bound on its pauses.
//! - [`claims`]: claims of idempotency keys.
//! - [`credential`]: the key that comes with a request.
//! - [`exposure`]: keys put where backend servers would see them.
//! - [`guard`]: checks of a request before it is routed.
//! - [`headers`]: headers that must not pass through.
//! - [`lookup`]: which instance a caller is to use.
//! - [`overflow`]: connections over the bound.
//! - [`proxy`]: the path of a request to a backend server.
//! - [`request`]: a request made ready to be sent.
//! - [`server`]: connections of callers.
//! - [`target`]: the one form of a request's path and host.
//! - [`trace`]: what decided a request, for the log.

pub mod answer;
mod attempt;
pub mod attempts;
pub mod body;
pub mod claims;
pub mod credential;
pub mod exposure;
pub mod guard;
pub mod headers;
pub mod lookup;
pub mod overflow;
pub mod proxy;
pub mod request;
pub mod server;
pub mod target;
pub mod trace;
