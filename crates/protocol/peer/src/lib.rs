//! The protocol between instances.
//!
//! Frames are length-delimited and bounded; each holds one prost message.
//! A link starts with a handshake in which both ends prove that they hold the
//! deployment's secret; other messages are accepted only after the handshake.
//!
//! - [`block`]: framing of the bytes that are relayed from a backend server.
//! - [`configuration`]: configuration messages.
//! - [`coverage`]: reports of what the store has confirmed, by which watches that hang are noticed.
//! - [`demand`]: reports of demand, by which rate limits are split between instances.
//! - [`frame`]: codec for frames.
//! - [`handshake`]: mutual authentication by the shared secret.
//! - [`ledger`]: messages between the ledgers, which hold and lend rate limits.
//! - [`limits`]: reports of the limits that backend servers name.
//! - [`membership`]: messages of the membership protocol.
//! - [`message`]: the envelope and the messages of the handshake.
//! - [`quarantine`]: reports of requests that end backend servers.
//! - [`relay`]: connections to backend servers through another instance.
//! - [`report`]: traffic reports between regions.

pub mod block;
pub mod configuration;
pub mod coverage;
pub mod demand;
pub mod frame;
pub mod handshake;
pub mod ledger;
pub mod limits;
pub mod membership;
pub mod message;
pub mod quarantine;
pub mod relay;
pub mod report;
