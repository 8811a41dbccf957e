//! The keeper's state for operators.

use std::net;
use std::sync::Arc;

use marjoramwing_entity::incarnation;

use crate::record;

/// What the keeper knows and does.
#[derive(Debug, Clone, serde::Serialize)]
pub struct MembershipDump {
    /// Sequence that this instance gives itself.
    pub sequence: u32,
    /// Whether nothing is heard from anyone.
    pub isolated: bool,
    /// Updates that wait to be passed on.
    pub queued_updates: usize,
    /// Listed addresses of which none of the present members is known.
    pub unanswered_contacts: usize,
    /// Runs that are suspected, dead or gone.
    pub absent: Vec<AbsentMember>,
}

/// A run that is suspected, dead or gone.
#[derive(Debug, Clone, serde::Serialize)]
pub struct AbsentMember {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Its peer address.
    pub peers: net::SocketAddr,
    /// Run of its process.
    pub incarnation: incarnation::Incarnation,
    /// Why it is not live.
    pub health: AbsentHealth,
    /// Milliseconds since that was concluded.
    pub for_ms: u64,
}

/// Why a run is not live.
#[derive(Debug, Clone, Copy, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum AbsentHealth {
    /// It did not answer and has time to refute.
    Suspect,
    /// It did not refute in time.
    Dead,
    /// It has stopped for good.
    Gone,
}

impl AbsentMember {
    /// Makes the entry of a record, unless its run answers.
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
            peers: record.profile.peers,
            incarnation,
            health,
            for_ms: u64::try_from(now.since(since).as_millis()).unwrap_or(u64::MAX),
        })
    }
}
