//! The gossiped state of one member.

use std::sync::Arc;

use marjoramwing_derives as derives;
use marjoramwing_entity::incarnation;

use crate::member;

/// State of one incarnation, as gossiped between instances.
///
/// Only the incarnation itself raises its sequence number, so a higher number is newer.
#[derives::record]
pub struct MemberUpdate {
    /// Incarnation that the update describes.
    pub incarnation: incarnation::Incarnation,
    /// Sequence number of the incarnation.
    pub sequence: u32,
    /// Health of the incarnation.
    pub health: UpdateHealth,
    /// Lifecycle phase of the incarnation.
    pub phase: member::MemberPhase,
    /// Profile, for receivers that do not know the incarnation yet.
    pub profile: Option<Arc<member::MemberProfile>>,
}

/// Gossiped health; at equal sequence numbers, a later variant overrides an earlier one.
///
/// There is no variant for dead members: each instance times out suspicions by its own clock.
#[derives::value]
pub enum UpdateHealth {
    /// The member answers probes.
    Alive,
    /// The member failed to answer and still has time to refute the suspicion.
    Suspect,
    /// The incarnation has stopped, or another one answers at its address; this is final.
    Gone,
}
