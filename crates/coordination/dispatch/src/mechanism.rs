//! Mechanisms that a test can switch off to show that it needs them.

use marjoramwing_derives as derives;

/// One mechanism that is switched off; outside tests always `Nothing`.
#[derives::value]
#[derive(Default)]
pub enum DisabledMechanism {
    /// All mechanisms work.
    #[default]
    Nothing,
    /// Abandoned attempts count towards the outcome.
    AbandonedAttempts,
    /// A request that may have run is not repeated.
    RepeatGuard,
    /// Only a fraction of a pool is ejected at once.
    EjectionBound,
    /// Each team waits in a line of its own.
    TeamLines,
    /// A full queue pushes out the longest line.
    PushOut,
    /// Requests that cannot meet their deadline are shed.
    DeadlineShedding,
    /// A claim is written only at the version that was read.
    ClaimCondition,
    /// A claim whose write was not answered is read back.
    ClaimReadBack,
    /// The latency of a server that is not used is forgotten.
    LatencyAging,
    /// Retries are a share of live traffic.
    RetryBudget,
}
