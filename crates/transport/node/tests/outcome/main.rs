//! Tests of the outcome of requests over real sockets: run once, answered completely, and
//! reported correctly.

mod backend;
mod bodies;
mod changes;
mod claims;
mod credentials;
mod endless;
mod exchange;
mod failing;
mod faulty;
#[path = "../support/ledger.rs"]
mod ledger;
mod quarantine;
mod relay_end;
mod relaying;
mod routes;
mod service;
mod shifts;
mod statements;
mod stopping;
mod stream;
mod support;
