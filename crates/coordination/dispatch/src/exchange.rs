//! State of the attempts at one request, and which step may follow.
//!
//! An exchange is one request with all its attempts, at whichever servers.
//!
//! Invariants: a non-idempotent request is retried only while every earlier attempt is
//! known not to have run; a refusal says `not-run` only if that holds for all
//! attempts, including abandoned ones.

use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::entity_key;
use marjoramwing_entity::primary;
use marjoramwing_entity::time;

use crate::mechanism;

entity_key! {
    /// Key of an attempt within its exchange.
    pub struct AttemptKey, "attempt"
}

/// How far an attempt at one backend server has progressed.
#[derives::value]
pub enum AttemptState {
    /// No byte of the request was passed to a socket.
    NotSent,
    /// The backend server may have run the request.
    PossiblySent,
    /// The backend server reported that it did not run the request.
    Shed,
    /// The head of the response arrived.
    Answered,
}

/// An event in the course of an attempt.
#[derives::value]
pub enum AttemptEvent {
    /// The first byte is about to be passed to the socket.
    FirstByte,
    /// The head of a response arrived that reports "not run".
    ShedHead,
    /// The head of any other response arrived.
    Head,
    /// The connection was closed by either side.
    Ended,
}

/// What a refusal may state about the request.
#[derives::value]
#[derive(derive_more::Display)]
pub enum RequestOutcome {
    /// No attempt ran.
    #[display("not-run")]
    NotRun,
    /// An attempt may have run.
    #[display("unknown")]
    Unknown,
}

/// Next step for a request and its attempts.
#[derives::value]
pub enum ExchangeStep {
    /// Start an attempt.
    Start,
    /// Wait for an open attempt to end, at most until this time.
    Wait(time::Timestamp),
    /// Close this attempt's connection; another attempt follows.
    Abandon(AttemptKey),
    /// Close all connections and refuse the request.
    Refuse,
}

/// Limits on the attempts at one request.
#[derives::record]
pub struct ExchangeRules {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time by which the request must be answered.
    pub deadline: time::Timestamp,
    /// Maximum number of attempts, not counting shed ones.
    pub max_attempts: u32,
    /// Whether an attempt that follows a shed one also costs a retry.
    pub sheds_cost_retries: bool,
    /// Maximum wait for the head of a response before another server is tried; applies only
    /// while the request is idempotent and another attempt is allowed.
    pub head_timeout: duration::Duration,
    /// Delay before a second, concurrent attempt is started; `None` disables hedging.
    pub hedge_after: Option<duration::Duration>,
    /// Mechanism that a test disables.
    pub disabled: mechanism::DisabledMechanism,
}

/// Maximum number of attempts at one request, including shed ones.
const MAX_STARTS: usize = 64;

/// The attempts at one request.
#[derive(Debug)]
pub struct RequestExchange {
    rules: ExchangeRules,
    attempts: primary::PrimaryMap<AttemptKey, Attempt>,
}

#[derive(Debug)]
struct Attempt {
    state: AttemptState,
    started_at: time::Timestamp,
    open: bool,
    abandoned: bool,
}

impl AttemptState {
    /// Returns the state after an event.
    #[must_use]
    pub const fn after(self, event: AttemptEvent) -> Self {
        match (self, event) {
            (Self::NotSent, AttemptEvent::FirstByte) => Self::PossiblySent,
            (Self::PossiblySent, AttemptEvent::ShedHead) => Self::Shed,
            (Self::PossiblySent, AttemptEvent::Head) => Self::Answered,
            // A response that precedes the request belongs to another request.
            (state, _) => state,
        }
    }

    /// Returns true if the request is known not to have run.
    #[must_use]
    pub const fn is_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Shed)
    }
}

impl RequestExchange {
    /// Creates the state of a request without attempts.
    #[must_use]
    pub const fn new(rules: ExchangeRules) -> Self {
        Self { rules, attempts: primary::PrimaryMap::new() }
    }

    /// Returns the limits on the attempts.
    #[must_use]
    pub const fn rules(&self) -> &ExchangeRules {
        &self.rules
    }

    /// Returns the number of attempts so far, including shed ones.
    #[must_use]
    pub fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Returns true if the next attempt costs a token of the retry budget.
    ///
    /// An attempt that follows a shed one can be exempt, since the server that shed it
    /// did no work.
    #[must_use]
    pub fn costs_retry(&self) -> bool {
        let last = self.attempts.values().next_back();
        let costs = |attempt: &Attempt| {
            self.rules.sheds_cost_retries || attempt.state != AttemptState::Shed
        };
        last.is_some_and(costs)
    }

    /// Disables hedging for this request.
    pub const fn skip_hedge(&mut self) {
        self.rules.hedge_after = None;
    }

    /// Records the start of an attempt.
    pub fn start_attempt(&mut self, now: time::Timestamp) -> AttemptKey {
        let state = AttemptState::NotSent;
        self.attempts.push(Attempt { state, started_at: now, open: true, abandoned: false })
    }

    /// Records that an attempt ended, and the state that it reached.
    pub fn end_attempt(&mut self, key: AttemptKey, state: AttemptState) {
        self.attempts[key].state = state;
        self.attempts[key].open = false;
    }

    /// Records that an attempt was abandoned, and the state that it had reached.
    pub fn abandon_attempt(&mut self, key: AttemptKey, state: AttemptState) {
        self.end_attempt(key, state);
        self.attempts[key].abandoned = true;
    }

    /// Returns the next step; `can_replay` is whether the body can be sent again.
    #[must_use]
    pub fn next_step(&self, now: time::Timestamp, can_replay: bool) -> ExchangeStep {
        if now >= self.rules.deadline {
            return ExchangeStep::Refuse;
        }
        let may_start = self.may_start(can_replay);
        let Some((key, oldest)) = self.attempts.iter().find(|(_, attempt)| attempt.open) else {
            return if may_start { ExchangeStep::Start } else { ExchangeStep::Refuse };
        };
        // A non-idempotent request has at most one open attempt, which may run until the deadline.
        if !may_start || !self.rules.idempotent {
            return ExchangeStep::Wait(self.rules.deadline);
        }
        self.next_step_with_open(key, oldest, now)
    }

    /// Returns what a refusal may state about the request.
    ///
    /// Attempts that are still open count as possibly run.
    #[must_use]
    pub fn outcome(&self) -> RequestOutcome {
        if self.is_not_run() { RequestOutcome::NotRun } else { RequestOutcome::Unknown }
    }

    /// Returns the next step while attempts are open and another one is allowed.
    fn next_step_with_open(
        &self,
        key: AttemptKey,
        oldest: &Attempt,
        now: time::Timestamp,
    ) -> ExchangeStep {
        let timeout_at = oldest.started_at + self.rules.head_timeout;
        if now >= timeout_at {
            return ExchangeStep::Abandon(key);
        }
        let hedged = self.attempts.values().filter(|attempt| attempt.open).count() > 1;
        let hedge_at = match self.rules.hedge_after {
            Some(delay) if !hedged => oldest.started_at + delay,
            _ => time::Timestamp::NEVER,
        };
        if now >= hedge_at {
            return ExchangeStep::Start;
        }
        ExchangeStep::Wait(self.rules.deadline.min(timeout_at).min(hedge_at))
    }

    fn may_start(&self, can_replay: bool) -> bool {
        let count = self.attempts.len();
        let unshed = self.attempts.values().filter(|attempt| attempt.state != AttemptState::Shed);
        let unshed = unshed.count();
        let is_guarded = self.rules.disabled != mechanism::DisabledMechanism::RepeatGuard;
        let may_retry = self.rules.idempotent || !is_guarded || self.is_not_run();
        let is_below_limits = unshed < self.rules.max_attempts as usize && count < MAX_STARTS;
        count == 0 || (can_replay && may_retry && is_below_limits)
    }

    fn is_not_run(&self) -> bool {
        let ignores_abandoned =
            self.rules.disabled == mechanism::DisabledMechanism::AbandonedAttempts;
        let mut counted =
            self.attempts.values().filter(|attempt| !(ignores_abandoned && attempt.abandoned));
        counted.all(|attempt| !attempt.open && attempt.state.is_not_run())
    }
}
