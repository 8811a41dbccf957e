//! The state held for one member.

use std::sync::Arc;

use marjoramwing_derives as derives;
use marjoramwing_entity::incarnation;
use marjoramwing_entity::time;

use crate::member;
use crate::update;

/// State of one incarnation.
#[derives::record]
pub struct MemberRecord {
    /// Profile that the member announced.
    pub profile: Arc<member::MemberProfile>,
    /// Highest sequence number received.
    pub sequence: u32,
    /// Latest lifecycle phase received.
    pub phase: member::MemberPhase,
    /// Result of failure detection and of received reports.
    pub health: RecordHealth,
}

/// Health of an incarnation, with the time of its last change.
#[derives::value]
pub enum RecordHealth {
    /// The member answers probes.
    Alive,
    /// The member failed to answer and still has time to refute the suspicion.
    Suspect {
        /// Time at which the suspicion started.
        since: time::Timestamp,
    },
    /// The member did not refute the suspicion in time.
    ///
    /// It is still contacted occasionally, since it may have been partitioned.
    Dead {
        /// Time at which the member was declared dead.
        since: time::Timestamp,
        /// Whether the local instance was isolated at that time. The verdict is then unreliable,
        /// since no refutation could arrive.
        while_isolated: bool,
    },
    /// The incarnation has stopped, or another one answers at its address; this is final.
    Gone {
        /// Time at which the local instance learned of it.
        since: time::Timestamp,
    },
}

impl MemberRecord {
    /// Returns true if the incarnation is alive or suspected.
    #[must_use]
    pub const fn is_present(&self) -> bool {
        matches!(self.health, RecordHealth::Alive | RecordHealth::Suspect { .. })
    }

    /// Returns true if the incarnation was declared dead; it may still come back.
    #[must_use]
    pub const fn is_dead(&self) -> bool {
        matches!(self.health, RecordHealth::Dead { .. })
    }

    /// Returns the health that is gossiped to other instances.
    ///
    /// A dead member is gossiped as suspected, so each instance times out suspicions by its own
    /// clock and a member that still runs can refute.
    #[must_use]
    pub const fn gossip_health(&self) -> update::UpdateHealth {
        match self.health {
            RecordHealth::Alive => update::UpdateHealth::Alive,
            RecordHealth::Suspect { .. } | RecordHealth::Dead { .. } => {
                update::UpdateHealth::Suspect
            }
            RecordHealth::Gone { .. } => update::UpdateHealth::Gone,
        }
    }

    /// Creates the update that is gossiped to other instances.
    ///
    /// The profile is included only while the incarnation is alive. Receivers that do not know the
    /// incarnation ignore an update without a profile.
    #[must_use]
    pub fn to_update(&self, incarnation: incarnation::Incarnation) -> update::MemberUpdate {
        let health = self.gossip_health();
        let is_alive = health == update::UpdateHealth::Alive;
        update::MemberUpdate {
            incarnation,
            sequence: self.sequence,
            health,
            phase: self.phase,
            profile: is_alive.then(|| Arc::clone(&self.profile)),
        }
    }

    /// Creates the view's entry, or returns `None` if the incarnation is dead or gone.
    #[must_use]
    pub fn to_member(&self, incarnation: incarnation::Incarnation) -> Option<member::Member> {
        if !self.is_present() {
            return None;
        }
        let state = match (self.phase, self.health) {
            (member::MemberPhase::Starting, _) => member::MemberState::Starting,
            (member::MemberPhase::Leaving, _) => member::MemberState::Leaving,
            (member::MemberPhase::Serving, RecordHealth::Alive) => member::MemberState::Live,
            (member::MemberPhase::Serving, _) => member::MemberState::Suspect,
        };
        Some(member::Member::new(&self.profile, incarnation, state))
    }
}
