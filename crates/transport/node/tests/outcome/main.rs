//! A request's outcome: once, whole and true, over real sockets.

mod backend;
mod bodies;
mod claims;
mod credentials;
mod exchange;
mod failing;
#[path = "../support/ledger.rs"]
mod ledger;
mod service;
mod shifts;
mod stream;
mod support;
