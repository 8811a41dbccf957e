//! A request's outcome: once, whole and true, over real sockets.

mod backend;
mod bodies;
mod claims;
mod credentials;
mod exchange;
mod service;
mod stream;
mod support;
