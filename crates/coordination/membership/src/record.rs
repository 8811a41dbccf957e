//! One instance as kept by the keeper.

use std::sync::Arc;

use marjoramwing_derives as derives;
use marjoramwing_entity::incarnation;
use marjoramwing_entity::time;

use crate::member;
use crate::update;

/// All that is known of one run of one process.
#[derives::record]
pub struct MemberRecord {
    /// What it told of itself.
    pub profile: Arc<member::MemberProfile>,
    /// Newest sequence that is known.
    pub sequence: u32,
    /// How far it has come.
    pub phase: member::MemberPhase,
    /// Whether it answers.
    pub health: RecordHealth,
}

/// Whether a run answers, with the time of the last change.
#[derives::value]
pub enum RecordHealth {
    /// It answers.
    Alive,
    /// It did not answer and has time to refute.
    Suspect {
        /// Start of the suspicion.
        since: time::Timestamp,
    },
    /// It did not refute in time; it is still tried now and then.
    Dead {
        /// End of the suspicion.
        since: time::Timestamp,
        /// Whether this instance was isolated, so that its judgement is weak.
        alone: bool,
    },
    /// It has stopped for good.
    Gone {
        /// When that was heard.
        since: time::Timestamp,
    },
}

impl MemberRecord {
    /// Tells whether the run is not known to be dead or gone.
    #[must_use]
    pub const fn is_present(&self) -> bool {
        matches!(self.health, RecordHealth::Alive | RecordHealth::Suspect { .. })
    }

    /// Tells whether the run is dead but may come back.
    #[must_use]
    pub const fn is_dead(&self) -> bool {
        matches!(self.health, RecordHealth::Dead { .. })
    }

    /// Returns what others are told of the run's health.
    #[must_use]
    pub const fn told_health(&self) -> update::UpdateHealth {
        match self.health {
            RecordHealth::Alive => update::UpdateHealth::Alive,
            RecordHealth::Suspect { .. } | RecordHealth::Dead { .. } => {
                update::UpdateHealth::Suspect
            }
            RecordHealth::Gone { .. } => update::UpdateHealth::Gone,
        }
    }

    /// Makes the update that others are told.
    #[must_use]
    pub fn to_update(&self, incarnation: incarnation::Incarnation) -> update::MemberUpdate {
        let health = self.told_health();
        let is_alive = health == update::UpdateHealth::Alive;
        update::MemberUpdate {
            incarnation,
            sequence: self.sequence,
            health,
            phase: self.phase,
            profile: is_alive.then(|| Arc::clone(&self.profile)),
        }
    }

    /// Makes the entry of the view, unless the run is dead or gone.
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
