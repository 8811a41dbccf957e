//! The protocol between instances.
//!
//! Frames are length-delimited and bounded; each holds one prost message.
//! A link starts with a handshake in which both ends prove that they hold the
//! deployment's secret; only then are other messages accepted.
//!
//! - [`configuration`]: messages about the configuration.
//! - [`demand`]: demand under limits.
//! - [`frame`]: the codec of frames.
//! - [`handshake`]: proof of the deployment's secret.
//! - [`ledger`]: messages of the ledger of limits.
//! - [`membership`]: messages about the members.
//! - [`message`]: the envelope and the handshake's messages.
//! - [`report`]: messages about traffic between regions.

pub mod configuration;
pub mod demand;
pub mod frame;
pub mod handshake;
pub mod ledger;
pub mod membership;
pub mod message;
pub mod report;
