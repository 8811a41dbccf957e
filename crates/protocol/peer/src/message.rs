//! Envelope of the messages between instances, and the handshake's messages.

use crate::configuration;
use crate::coverage;
use crate::demand;
use crate::ledger;
use crate::limits;
use crate::membership;
use crate::quarantine;
use crate::relay;
use crate::report;

/// Protocol version; peers with another version are rejected.
pub const PROTOCOL_VERSION: u32 = 1;

/// Message of one frame.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Envelope {
    /// Content of the frame; absent in a heartbeat. Tag 6 is unused.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 7, 8, 9, 10, 11, 12, 13")]
    pub body: Option<Body>,
}

/// Content of a frame.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// First message of each end.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Second message of each end.
    #[prost(message, tag = "2")]
    Proof(Proof),
    /// Message of the membership protocol.
    #[prost(message, tag = "3")]
    Membership(membership::Membership),
    /// Configuration message.
    #[prost(message, tag = "4")]
    Configuration(configuration::Configuration),
    /// Message between ledgers.
    #[prost(message, tag = "5")]
    Ledger(ledger::LedgerEnvelope),
    /// Traffic report between regions.
    #[prost(message, tag = "7")]
    Report(report::Report),
    /// Report of the demand under rate limits.
    #[prost(message, tag = "8")]
    Demand(demand::Demand),
    /// Report of what the store has confirmed about one kind of object.
    #[prost(message, tag = "9")]
    Coverage(coverage::Coverage),
    /// Report of the limits that backend servers name.
    #[prost(message, tag = "10")]
    Limits(limits::ServerLimits),
    /// Report of requests that end backend servers.
    #[prost(message, tag = "11")]
    Quarantine(quarantine::SuspectReports),
    /// Request for a connection to a backend server.
    #[prost(message, tag = "12")]
    RelayRequest(relay::RelayRequest),
    /// Result of that request.
    #[prost(message, tag = "13")]
    RelayResult(relay::RelayResult),
}

/// Identifies one end of a link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// Protocol version of the sender.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Incarnation of the sender.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Random bytes, fresh for each link, that the proofs of both ends cover.
    #[prost(bytes = "bytes", tag = "3")]
    pub nonce: bytes::Bytes,
    /// Name of the sender.
    #[prost(string, tag = "4")]
    pub name: String,
    /// Peer address of the sender.
    #[prost(string, tag = "5")]
    pub peer_address: String,
    /// What the opener wants the link for; absent from an acceptor.
    #[prost(enumeration = "LinkPurpose", tag = "6")]
    pub purpose: i32,
}

/// What a link is opened for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum LinkPurpose {
    /// Messages in both directions.
    Messages = 0,
    /// One connection to a backend server.
    Relay = 1,
}

/// Proves that the sender holds the deployment's secret.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Proof {
    /// HMAC-SHA-256 over both hellos and the sender's role.
    #[prost(bytes = "bytes", tag = "1")]
    pub code: bytes::Bytes,
}

impl Envelope {
    /// Creates an envelope without a body, which only keeps the link alive.
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
