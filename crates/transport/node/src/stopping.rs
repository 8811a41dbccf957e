//! Schedule of a planned stop.

use std::time;

use marjoramwing_derives as derives;
use marjoramwing_entity::time as entity_time;
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

/// Longest time after the signal in which requests are taken although they may be cut at the end.
const MAX_EARLY_TIME: time::Duration = time::Duration::from_secs(3);

/// Times of a planned stop.
#[derives::value]
pub struct PlannedStop {
    /// Time by which all responses must have arrived.
    pub stops_at: entity_time::Timestamp,
    /// Time from which only requests start whose deadline lies before that.
    pub finish_only_from: entity_time::Timestamp,
}

/// Durations of the consecutive phases of a planned stop.
#[derives::value]
pub struct StopSchedule {
    /// New connections are still accepted, since callers cache lookup responses.
    pub linger: time::Duration,
    /// Time from the signal in which requests are taken although they may outlast the stop; part of
    /// `linger`. Most end in time.
    pub early: time::Duration,
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
            let linger = leave_delay + cached_lookups;
            return Self {
                linger,
                early: linger.min(MAX_EARLY_TIME),
                finish: stop.max_wait,
                hand_over: MAX_HANDOVER_WAIT,
            };
        };
        let linger = grace.mul_f64(LINGER_FRACTION);
        let exit_reserve = MAX_EXIT_RESERVE.min(grace / EXIT_RESERVE_DIVISOR);
        let finish = (grace - linger).saturating_sub(exit_reserve).min(stop.max_wait);
        let early = linger.min(MAX_EARLY_TIME);
        Self { linger, early, finish, hand_over: time::Duration::ZERO }
    }
}
