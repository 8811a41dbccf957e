//! Dispatch parameters for each deployment objective.

use std::time as duration;

use marjoramwing_derives as derives;

use crate::mechanism;

/// Rule by which a backend server is chosen.
#[derives::value]
pub enum ChoiceRule {
    /// A random server with fewer requests in flight from this instance than slots.
    Random,
    /// The server with the fewest requests in flight from this instance, relative to its slots.
    LeastInFlight,
    /// The less loaded of two random servers, by requests in flight and reported load.
    TwoChoices,
    /// The server with the lowest expected latency, from its minimum latency and its
    /// estimated load.
    SoonestAnswer,
    /// The server with the lowest expected delay, from its distance, its mean service
    /// time and its occupied slots.
    ExpectedDelay,
}

/// Order in which queued requests are served.
#[derives::value]
pub enum QueueOrder {
    /// The least-served team first; within a team, the longest-waiting request.
    LeastServedTeam,
    /// The least-served team first; within a team, the earliest deadline.
    EarliestDeadline,
    /// The least-served team first; within a team, the earliest target that can still
    /// be met; requests that can no longer meet theirs follow, latest deadline first.
    ReachableTarget,
}

/// Parameters by which an instance dispatches requests.
#[derives::measure]
pub struct DispatchPolicy {
    /// Rule by which a backend server is chosen.
    pub choice: ChoiceRule,
    /// Order in which queued requests are served.
    pub order: QueueOrder,
    /// Delay before a second, concurrent attempt at an idempotent request; `None` disables
    /// hedging.
    pub hedge_after: Option<duration::Duration>,
    /// Retries allowed per request of a service.
    pub retry_ratio: f64,
    /// Retries that an idle service may make at once.
    pub retry_burst: f64,
    /// Whether an attempt that follows a shed one costs a retry.
    pub sheds_cost_retries: bool,
    /// Whether an unresponsive backend server is abandoned before the deadline.
    pub abandons_unresponsive: bool,
    /// Whether a small response is read completely before any of it is passed on.
    pub buffers_small_responses: bool,
    /// Maximum number of requests that wait for one service.
    pub max_queued: usize,
    /// Maximum size of the bodies of requests that wait for one service, in bytes.
    pub max_queued_bytes: usize,
    /// Mechanism that a test disables.
    pub disabled: mechanism::DisabledMechanism,
}

const MAX_QUEUED: usize = 1_024;
const MAX_QUEUED_BYTES: usize = 4 * 1024 * 1024;
const RETRY_RATIO: f64 = 0.1;
const RETRY_BURST: f64 = 10.0;
const HEDGE_AFTER: duration::Duration = duration::Duration::from_millis(500);

impl DispatchPolicy {
    /// Optimizes for the worst-served team and for few wrongful refusals.
    #[must_use]
    pub const fn fairness() -> Self {
        Self {
            choice: ChoiceRule::SoonestAnswer,
            order: QueueOrder::LeastServedTeam,
            hedge_after: None,
            retry_ratio: RETRY_RATIO,
            retry_burst: RETRY_BURST,
            sheds_cost_retries: false,
            abandons_unresponsive: true,
            buffers_small_responses: false,
            max_queued: MAX_QUEUED,
            max_queued_bytes: MAX_QUEUED_BYTES,
            disabled: mechanism::DisabledMechanism::Nothing,
        }
    }

    /// Optimizes for servers with few slots that count every request that arrives, including shed ones.
    #[must_use]
    pub const fn scarce_slots() -> Self {
        Self {
            choice: ChoiceRule::ExpectedDelay,
            order: QueueOrder::ReachableTarget,
            sheds_cost_retries: true,
            abandons_unresponsive: false,
            buffers_small_responses: true,
            ..Self::fairness()
        }
    }

    /// Optimizes for latency and headroom.
    #[must_use]
    pub const fn latency() -> Self {
        Self {
            order: QueueOrder::EarliestDeadline,
            hedge_after: Some(HEDGE_AFTER),
            ..Self::fairness()
        }
    }
}
