//! Connections to backend servers.
//!
//! - [`answer`]: the body of an answer, which returns its connection.
//! - [`pool`]: idle connections and the sending of one attempt.

pub mod answer;
pub mod pool;
