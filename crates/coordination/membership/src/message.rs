//! What instances send each other about the members.

use std::net;

use marjoramwing_derives as derives;
use marjoramwing_entity::incarnation;

use crate::member;
use crate::update;

/// One message.
#[derives::record]
pub struct MembershipMessage {
    /// What the sender tells of itself.
    pub header: SenderHeader,
    /// What the message asks or answers.
    pub body: MembershipBody,
    /// Updates that are passed on.
    pub updates: Vec<update::MemberUpdate>,
}

/// What a sender tells of itself in each message.
#[derives::value]
pub struct SenderHeader {
    /// Sequence that the sender gives itself.
    pub sequence: u32,
    /// How far the sender has come.
    pub phase: member::MemberPhase,
    /// Digest of the members that the sender knows as living.
    pub digest: u64,
}

/// What a message asks or answers.
#[derives::record]
pub enum MembershipBody {
    /// Asks for an [`Ack`](Self::Ack).
    Ping {
        /// Number that the answer repeats.
        number: u64,
        /// Run that the sender takes the receiver for, if it knows one.
        target: Option<incarnation::Incarnation>,
    },
    /// Tells that a run answers.
    Ack {
        /// Number of the question.
        number: u64,
        /// Run that answered.
        subject: incarnation::Incarnation,
    },
    /// Asks the receiver to ping a third instance.
    PingRequest {
        /// Number that the answer repeats.
        number: u64,
        /// Run to ping.
        target: incarnation::Incarnation,
        /// Its peer address.
        address: net::SocketAddr,
    },
    /// Tells all that the sender knows, in short, and asks for the difference.
    SyncRequest {
        /// Members that the sender knows.
        entries: Vec<SyncEntry>,
    },
    /// Carries what the asker lacks and asks for what the sender lacks.
    SyncAnswer {
        /// Runs of which the sender lacks the newest state.
        wanted: Vec<incarnation::Incarnation>,
    },
    /// Only carries updates.
    Note,
}

/// One member of a [`SyncRequest`](MembershipBody::SyncRequest).
#[derives::value]
pub struct SyncEntry {
    /// Run of its process.
    pub incarnation: incarnation::Incarnation,
    /// Newest sequence that is known.
    pub sequence: u32,
    /// Whether it answers.
    pub health: update::UpdateHealth,
}
