//! What a deployment weighs more, as numbers that the decisions use.

use std::time as duration;

use marjoramwing_derives as derives;

use crate::mechanism;

/// How a backend server is chosen.
#[derives::value]
pub enum ChoiceRule {
    /// Any server that this instance does not fill alone.
    Random,
    /// The server with the fewest requests of this instance.
    LeastInFlight,
    /// The better of two random servers by reported load.
    TwoChoices,
    /// The soonest answer by latency, reported load and sheds, over all servers.
    SoonestAnswer,
    /// The soonest answer by distance, usual work and the slots that are taken.
    ExpectedDelay,
}

/// Which queued request goes next.
#[derives::value]
pub enum QueueOrder {
    /// The team that got least; within it the request that waits longest.
    LeastServedTeam,
    /// The team that got least; within it the request whose deadline is next.
    EarliestDeadline,
    /// The team that got least; within it those that can still meet their target,
    /// the earliest target first.
    ReachableTarget,
}

/// Numbers by which one instance dispatches.
#[derives::measure]
pub struct DispatchPolicy {
    /// How a backend server is chosen.
    pub choice: ChoiceRule,
    /// Which queued request goes next.
    pub order: QueueOrder,
    /// Wait before an idempotent request runs a second time beside the first.
    pub hedge_after: Option<duration::Duration>,
    /// Retries per request of a service.
    pub retry_share: f64,
    /// Retries that a quiet service may make at once.
    pub retry_reserve: f64,
    /// Whether an attempt after a shed one costs a retry, and one server each.
    pub counts_sheds: bool,
    /// Whether a silent backend server is left before the deadline.
    pub leaves_silent: bool,
    /// Whether a small answer is read to its end before any of it is passed on.
    pub reads_whole: bool,
    /// Requests that wait for one service.
    pub max_queued: usize,
    /// Bytes of bodies that wait for one service.
    pub max_queued_bytes: usize,
    /// Mechanism that a test switches off.
    pub disabled: mechanism::DisabledMechanism,
}

const MAX_QUEUED: usize = 1_024;
const MAX_QUEUED_BYTES: usize = 4 * 1024 * 1024;
const RETRY_SHARE: f64 = 0.1;
const RETRY_RESERVE: f64 = 10.0;
const HEDGE_AFTER: duration::Duration = duration::Duration::from_millis(500);

impl DispatchPolicy {
    /// Weighs the worst-served team and wrongful refusals more.
    #[must_use]
    pub const fn fairness() -> Self {
        Self {
            choice: ChoiceRule::SoonestAnswer,
            order: QueueOrder::LeastServedTeam,
            hedge_after: None,
            retry_share: RETRY_SHARE,
            retry_reserve: RETRY_RESERVE,
            counts_sheds: false,
            leaves_silent: true,
            reads_whole: false,
            max_queued: MAX_QUEUED,
            max_queued_bytes: MAX_QUEUED_BYTES,
            disabled: mechanism::DisabledMechanism::Nothing,
        }
    }

    /// For servers of few slots that count every arrival, sheds included.
    #[must_use]
    pub const fn scarce_slots() -> Self {
        Self {
            choice: ChoiceRule::ExpectedDelay,
            order: QueueOrder::ReachableTarget,
            counts_sheds: true,
            leaves_silent: false,
            reads_whole: true,
            ..Self::fairness()
        }
    }

    /// Weighs latency and headroom more.
    #[must_use]
    pub const fn latency() -> Self {
        Self {
            order: QueueOrder::EarliestDeadline,
            hedge_after: Some(HEDGE_AFTER),
            ..Self::fairness()
        }
    }
}
