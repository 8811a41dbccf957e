//! The messages between instances.

use crate::configuration;
use crate::demand;
use crate::ledger;
use crate::membership;
use crate::report;

/// Version of the protocol that this program speaks.
pub const PROTOCOL_VERSION: u32 = 1;

/// One frame.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// What the frame carries.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 7, 8")]
    pub body: Option<Body>,
}

/// What a frame carries.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// First message of each end.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Second message of each end.
    #[prost(message, tag = "2")]
    Proof(Proof),
    /// About the members.
    #[prost(message, tag = "3")]
    Membership(membership::Membership),
    /// About the configuration.
    #[prost(message, tag = "4")]
    Configuration(configuration::Configuration),
    /// About limits.
    #[prost(message, tag = "5")]
    Ledger(ledger::LedgerEnvelope),
    /// About traffic between regions.
    #[prost(message, tag = "7")]
    Report(report::Report),
    /// About demand under limits.
    #[prost(message, tag = "8")]
    Demand(demand::Demand),
}

/// Introduces an end of a link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// Version of the protocol.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Incarnation of the sender.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Random bytes that the other end's proof must cover.
    #[prost(bytes = "bytes", tag = "3")]
    pub nonce: bytes::Bytes,
    /// Name of the sender.
    #[prost(string, tag = "4")]
    pub name: String,
    /// Peer address of the sender.
    #[prost(string, tag = "5")]
    pub peer_address: String,
}

/// Proves that the sender holds the deployment's secret.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Proof {
    /// HMAC-SHA-256 over both hellos and the sender's role.
    #[prost(bytes = "bytes", tag = "1")]
    pub code: bytes::Bytes,
}

impl Envelope {
    /// Makes an envelope without a body, which only shows that the link works.
    #[must_use]
    pub const fn heartbeat() -> Self {
        Self { body: None }
    }

    /// Wraps a body.
    #[must_use]
    pub const fn new(body: Body) -> Self {
        Self { body: Some(body) }
    }
}
