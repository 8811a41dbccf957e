//! What is passed on about one instance.

use std::sync::Arc;

use marjoramwing_derives as derives;
use marjoramwing_entity::incarnation;

use crate::member;

/// A statement on one run of one process.
///
/// Only the process itself raises its sequence, so a greater sequence is newer.
#[derives::record]
pub struct MemberUpdate {
    /// Run that the statement is about.
    pub incarnation: incarnation::Incarnation,
    /// Sequence that the run had given itself.
    pub sequence: u32,
    /// Whether it answers.
    pub health: UpdateHealth,
    /// How far it has come.
    pub phase: member::MemberPhase,
    /// What it tells of itself, for those who do not know it.
    pub profile: Option<Arc<member::MemberProfile>>,
}

/// Whether a run answers; the later outweighs the earlier at one sequence.
///
/// Death is no statement: each instance concludes it by its own clock.
#[derives::value]
pub enum UpdateHealth {
    /// It answers.
    Alive,
    /// It did not answer and has time to refute.
    Suspect,
    /// It has stopped, or its address answers as another run; never taken back.
    Gone,
}
