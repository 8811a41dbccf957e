//! How the time of a planned stop is spent.

use std::time;

use marjoramwing_derives as derives;
use marjoramwing_membership::propagation;

use crate::shared;

/// Longest wait for the hand-over of limits: a loan, its margin and the release.
///
/// Without it an heir takes over, if it has not been replaced as well.
const MAX_HANDOVER_WAIT: time::Duration = time::Duration::from_secs(15);
/// Part of the grace time in which new connections are still taken.
const LINGER_PART: f64 = 0.5;
/// Time kept back at the end of the grace time for the end of the process.
const END_RESERVE: time::Duration = time::Duration::from_millis(500);

/// The spans of a planned stop, one after the other.
#[derives::value]
pub struct StopSchedule {
    /// New connections are taken, since callers keep old look-up answers.
    pub linger: time::Duration,
    /// Open requests are finished.
    pub finish: time::Duration,
    /// Limits are handed over.
    pub hand_over: time::Duration,
}

impl StopSchedule {
    /// Plans a stop that begins now.
    #[must_use]
    pub fn new(shared: &shared::SharedTables) -> Self {
        let limits = shared.settings.stop;
        let cached_lookups = shared.tables.load().snapshot.lookup_ttl;
        let spread = propagation::leave_delay(shared.members.load().members.len());
        let Some(grace) = limits.grace else {
            return Self {
                linger: spread + cached_lookups,
                finish: limits.max_wait,
                hand_over: MAX_HANDOVER_WAIT,
            };
        };
        let linger = grace.mul_f64(LINGER_PART);
        let finish = (grace - linger).saturating_sub(END_RESERVE).min(limits.max_wait);
        Self { linger, finish, hand_over: time::Duration::ZERO }
    }
}
