//! Diagnostic state for operators.

use std::net;
use std::sync::Arc;

use marjoramwing_entity::incarnation;

use crate::record;

/// Maximum number of absent members listed in a dump.
pub const MAX_ABSENT: usize = 100;

/// State of the membership keeper.
#[derive(Debug, Clone, serde::Serialize)]
pub struct MembershipDump {
    /// Sequence number of the local instance.
    pub sequence: u32,
    /// Whether the local instance receives no messages although it knows other members.
    pub isolated: bool,
    /// Number of updates queued for dissemination.
    pub queued_updates: usize,
    /// Number of peer addresses, listed by the platform or of dead members, at which no present
    /// member is known.
    pub unanswered_contacts: usize,
    /// Number of members that are suspected, dead or gone.
    pub absent_count: usize,
    /// The first [`MAX_ABSENT`] of them, ordered by incarnation.
    pub absent: Vec<AbsentMember>,
}

/// A member that is suspected, dead or gone.
#[derive(Debug, Clone, serde::Serialize)]
pub struct AbsentMember {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Peer address of the instance.
    #[serde(rename = "peers")]
    pub peer_address: net::SocketAddr,
    /// Incarnation of the instance.
    pub incarnation: incarnation::Incarnation,
    /// Why the member is not alive.
    pub health: AbsentHealth,
    /// Milliseconds since its health last changed.
    pub for_ms: u64,
}

/// Why a member is not alive.
#[derive(Debug, Clone, Copy, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum AbsentHealth {
    /// The member failed to answer and still has time to refute the suspicion.
    Suspect,
    /// The member did not refute the suspicion in time; it may still come back.
    Dead,
    /// The incarnation has stopped, or another one answers at its address; this is final.
    Gone,
}

impl AbsentMember {
    /// Creates the entry of a record, or returns `None` if its incarnation is alive.
    #[must_use]
    pub fn new(
        incarnation: incarnation::Incarnation,
        record: &record::MemberRecord,
        now: marjoramwing_entity::time::Timestamp,
    ) -> Option<Self> {
        let (health, since) = match record.health {
            record::RecordHealth::Alive => return None,
            record::RecordHealth::Suspect { since } => (AbsentHealth::Suspect, since),
            record::RecordHealth::Dead { since, .. } => (AbsentHealth::Dead, since),
            record::RecordHealth::Gone { since } => (AbsentHealth::Gone, since),
        };
        Some(Self {
            name: Arc::clone(&record.profile.name),
            peer_address: record.profile.peer_address,
            incarnation,
            health,
            for_ms: u64::try_from(now.since(since).as_millis()).unwrap_or(u64::MAX),
        })
    }
}
