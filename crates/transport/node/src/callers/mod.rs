//! The caller port: look-up and the path of a request.
//!
//! - [`answer`]: answers that the instance gives itself.
//! - [`attempts`]: the attempts at one request.
//! - [`credential`]: the key that comes with a request.
//! - [`headers`]: headers that must not pass through.
//! - [`lookup`]: which instance a caller is to use.
//! - [`proxy`]: the path of a request to a backend server.
//! - [`request`]: a request made ready to be sent.
//! - [`server`]: connections of callers.

pub mod answer;
pub mod attempts;
pub mod credential;
pub mod headers;
pub mod lookup;
pub mod proxy;
pub mod request;
pub mod server;
