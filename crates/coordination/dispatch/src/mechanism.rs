//! Mechanisms that a test can disable to prove that they are needed.

use marjoramwing_derives as derives;

/// The mechanism that is disabled; always `Nothing` outside tests.
#[derives::value]
#[derive(Default)]
pub enum DisabledMechanism {
    /// All mechanisms are enabled.
    #[default]
    Nothing,
    /// Counting of abandoned attempts in the outcome of a request.
    AbandonedAttempts,
    /// Refusal to retry a non-idempotent request that may have run.
    RepeatGuard,
    /// Limit on the fraction of a pool that is ejected at once.
    EjectionBound,
    /// Separate queue for each team.
    TeamQueues,
    /// Eviction from the longest team queue when the queue is full.
    LongestQueueEviction,
    /// Removal of queued requests that cannot be answered by their deadline.
    DeadlineExpiry,
    /// Conditional write of a claim, based on the version that was read.
    ClaimCondition,
    /// Reading back a claim whose write got no answer.
    ClaimReadBack,
    /// Expiry of the measured latency of an idle server.
    LatencyAging,
    /// Limit of retries to a ratio of live traffic.
    RetryBudget,
}
