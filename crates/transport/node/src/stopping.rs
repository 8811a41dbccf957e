//! Schedule of a planned stop.

use std::time;

use marjoramwing_derives as derives;
use marjoramwing_membership::propagation;

use crate::shared;

/// Maximum wait for the handover of limits: the duration of a loan, its margin and the
/// release.
///
/// Without a handover the successor takes the limits over, unless it has been replaced as well.
const MAX_HANDOVER_WAIT: time::Duration = time::Duration::from_secs(15);
/// Fraction of the grace period in which new connections are still accepted.
const LINGER_FRACTION: f64 = 0.5;
/// Longest part of the grace period that is reserved for the last refusals and the exit of the
/// process.
const MAX_EXIT_RESERVE: time::Duration = time::Duration::from_millis(700);
/// The same, as a divisor of the grace period.
const EXIT_RESERVE_DIVISOR: u32 = 6;

/// Durations of the consecutive phases of a planned stop.
#[derives::value]
pub struct StopSchedule {
    /// New connections are still accepted, since callers cache lookup responses.
    pub linger: time::Duration,
    /// Open requests are finished; no new connections are accepted.
    pub finish: time::Duration,
    /// Maximum wait for the handover of limits; zero if a grace period is set, since the
    /// other phases use it up.
    pub hand_over: time::Duration,
}

impl StopSchedule {
    /// Creates the schedule of a stop that begins now.
    #[must_use]
    pub fn new(shared: &shared::InstanceState) -> Self {
        let stop = shared.settings.stop;
        let cached_lookups = shared.tables.load().snapshot.lookup_ttl;
        let leave_delay = propagation::leave_delay(shared.members.load().members.len());
        let Some(grace) = stop.grace_period else {
            return Self {
                linger: leave_delay + cached_lookups,
                finish: stop.max_wait,
                hand_over: MAX_HANDOVER_WAIT,
            };
        };
        let linger = grace.mul_f64(LINGER_FRACTION);
        let exit_reserve = MAX_EXIT_RESERVE.min(grace / EXIT_RESERVE_DIVISOR);
        let finish = (grace - linger).saturating_sub(exit_reserve).min(stop.max_wait);
        Self { linger, finish, hand_over: time::Duration::ZERO }
    }
}
