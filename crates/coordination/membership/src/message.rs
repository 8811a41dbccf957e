//! Messages of the membership protocol.

use std::net;

use marjoramwing_derives as derives;
use marjoramwing_entity::incarnation;

use crate::member;
use crate::update;

/// One message between two instances.
#[derives::record]
pub struct MembershipMessage {
    /// State of the sender.
    pub header: SenderHeader,
    /// Request or answer.
    pub body: MembershipBody,
    /// Piggybacked updates.
    pub updates: Vec<update::MemberUpdate>,
}

/// State of the sender, carried by every message.
#[derives::value]
pub struct SenderHeader {
    /// Sequence number of the sender.
    pub sequence: u32,
    /// Lifecycle phase of the sender.
    pub phase: member::MemberPhase,
    /// Digest of the sequence numbers and phases of the sender and of the members that are alive or
    /// suspected in its roster.
    pub digest: u64,
}

/// Request or answer of a message.
#[derives::record]
pub enum MembershipBody {
    /// Requests an [`Ack`](Self::Ack).
    Ping {
        /// Number that the acknowledgement echoes.
        number: u64,
        /// Incarnation that the sender expects at the receiver's address, if it knows one.
        target: Option<incarnation::Incarnation>,
    },
    /// Acknowledges a ping.
    Ack {
        /// Number of the ping or ping request that is acknowledged.
        number: u64,
        /// Incarnation that answered the ping, which may differ from the ping's target.
        responder: incarnation::Incarnation,
    },
    /// Asks the receiver to ping a third instance (an indirect probe).
    PingRequest {
        /// Number that the acknowledgement echoes.
        number: u64,
        /// Incarnation to ping.
        target: incarnation::Incarnation,
        /// Peer address of the target.
        address: net::SocketAddr,
    },
    /// Starts a full sync: summarizes the sender's roster and requests the differences.
    SyncRequest {
        /// Summaries of the sender's records.
        entries: Vec<SyncEntry>,
    },
    /// Answers a full sync; the updates carry what the requester is missing.
    SyncAnswer {
        /// Incarnations whose latest state the sender is missing.
        wanted: Vec<incarnation::Incarnation>,
    },
    /// Carries only updates and needs no answer.
    UpdatesOnly,
}

/// Summary of one record in a [`SyncRequest`](MembershipBody::SyncRequest).
#[derives::value]
pub struct SyncEntry {
    /// Incarnation that the record belongs to.
    pub incarnation: incarnation::Incarnation,
    /// Highest sequence number known to the sender.
    pub sequence: u32,
    /// Health that the sender would gossip.
    pub health: update::UpdateHealth,
}
