//! How far the attempts at one request came, and what may follow.
//!
//! Invariants: a request that may not be run again is tried again only while
//! every earlier attempt is known not to have run; a refusal says `not-run`
//! only when that holds for all attempts, abandoned ones included.

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

/// How far an attempt at one backend server came.
#[derives::value]
pub enum AttemptState {
    /// No byte of the request was handed to a socket.
    NotSent,
    /// The backend server may have run the request.
    PossiblySent,
    /// The backend server said that it did not run the request.
    Shed,
    /// The head of the answer arrived.
    Answered,
}

/// What happens to an attempt.
#[derives::value]
pub enum AttemptEvent {
    /// The first byte is about to be handed to the socket.
    FirstByte,
    /// The head of an answer arrived that says "not run".
    ShedHead,
    /// The head of any other answer arrived.
    Head,
    /// The connection ended or was closed.
    Ended,
}

/// What a refusal may say of the request.
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

/// What is to be done for a request next.
#[derives::value]
pub enum ExchangeStep {
    /// Start an attempt.
    Start,
    /// Wait for an open attempt, at most until this time.
    Wait(time::Timestamp),
    /// Close this attempt's connection; another attempt follows.
    Abandon(AttemptKey),
    /// Close all connections and refuse the request.
    Refuse,
}

/// Bounds within which one request is tried.
#[derives::record]
pub struct ExchangeRules {
    /// Whether the request may be run again.
    pub idempotent: bool,
    /// Time at which the request must be answered.
    pub deadline: time::Timestamp,
    /// Attempts that are not shed.
    pub max_attempts: u32,
    /// Whether an attempt after a shed one costs a retry too.
    pub counts_sheds: bool,
    /// Longest wait for the head of an answer before another server is tried.
    pub silence: duration::Duration,
    /// Wait before a second attempt runs beside the first.
    pub hedge_after: Option<duration::Duration>,
    /// Mechanism that a test switches off.
    pub disabled: mechanism::DisabledMechanism,
}

/// Attempts at one request, shed ones included.
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
    begun_at: time::Timestamp,
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
            // An answer that precedes the request belongs to another one.
            (state, _) => state,
        }
    }

    /// Tells whether the request is known not to have run.
    #[must_use]
    pub const fn is_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Shed)
    }
}

impl RequestExchange {
    /// Starts a request of which no attempt was made.
    #[must_use]
    pub const fn new(rules: ExchangeRules) -> Self {
        Self { rules, attempts: primary::PrimaryMap::new() }
    }

    /// Returns the bounds of the request.
    #[must_use]
    pub const fn rules(&self) -> &ExchangeRules {
        &self.rules
    }

    /// Returns the number of attempts so far.
    #[must_use]
    pub fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// Tells whether the next attempt costs a token of the retry budget.
    ///
    /// An attempt after a shed one may not: its server did no work.
    #[must_use]
    pub fn costs_retry(&self) -> bool {
        let last = self.attempts.values().next_back();
        let costs =
            |attempt: &Attempt| self.rules.counts_sheds || attempt.state != AttemptState::Shed;
        last.is_some_and(costs)
    }

    /// Gives up the second attempt beside the first.
    pub const fn skip_hedge(&mut self) {
        self.rules.hedge_after = None;
    }

    /// Records the start of an attempt.
    pub fn begin(&mut self, now: time::Timestamp) -> AttemptKey {
        let state = AttemptState::NotSent;
        self.attempts.push(Attempt { state, begun_at: now, open: true, abandoned: false })
    }

    /// Records that an attempt ended and how far it came.
    pub fn end(&mut self, key: AttemptKey, state: AttemptState) {
        self.attempts[key].state = state;
        self.attempts[key].open = false;
    }

    /// Records that an attempt was given up and how far it had come.
    pub fn abandon(&mut self, key: AttemptKey, state: AttemptState) {
        self.end(key, state);
        self.attempts[key].abandoned = true;
    }

    /// Decides what to do next; `can_replay` tells whether the body is at hand.
    #[must_use]
    pub fn next_step(&self, now: time::Timestamp, can_replay: bool) -> ExchangeStep {
        if now >= self.rules.deadline {
            return ExchangeStep::Refuse;
        }
        let may_start = self.may_start(can_replay);
        let Some((key, oldest)) = self.attempts.iter().find(|(_, attempt)| attempt.open) else {
            return if may_start { ExchangeStep::Start } else { ExchangeStep::Refuse };
        };
        if !may_start || !self.rules.idempotent {
            return ExchangeStep::Wait(self.rules.deadline);
        }
        self.step_beside(key, oldest, now)
    }

    /// Returns what a refusal may say of the request.
    ///
    /// Attempts that are still open count as possibly run.
    #[must_use]
    pub fn outcome(&self) -> RequestOutcome {
        if self.is_not_run() { RequestOutcome::NotRun } else { RequestOutcome::Unknown }
    }

    fn step_beside(&self, key: AttemptKey, oldest: &Attempt, now: time::Timestamp) -> ExchangeStep {
        let silent_at = oldest.begun_at + self.rules.silence;
        if now >= silent_at {
            return ExchangeStep::Abandon(key);
        }
        let hedged = self.attempts.values().filter(|attempt| attempt.open).count() > 1;
        let hedge_at = match self.rules.hedge_after {
            Some(delay) if !hedged => oldest.begun_at + delay,
            _ => time::Timestamp::NEVER,
        };
        if now >= hedge_at {
            return ExchangeStep::Start;
        }
        ExchangeStep::Wait(self.rules.deadline.min(silent_at).min(hedge_at))
    }

    fn may_start(&self, can_replay: bool) -> bool {
        let count = self.attempts.len();
        let unshed = self.attempts.values().filter(|attempt| attempt.state != AttemptState::Shed);
        let unshed = unshed.count();
        let guarded = self.rules.disabled != mechanism::DisabledMechanism::RepeatGuard;
        let repeatable = self.rules.idempotent || !guarded || self.is_not_run();
        let bounded = unshed < self.rules.max_attempts as usize && count < MAX_STARTS;
        count == 0 || (can_replay && repeatable && bounded)
    }

    fn is_not_run(&self) -> bool {
        let forgets = self.rules.disabled == mechanism::DisabledMechanism::AbandonedAttempts;
        let mut counted = self.attempts.values().filter(|attempt| !(forgets && attempt.abandoned));
        counted.all(|attempt| !attempt.open && attempt.state.is_not_run())
    }
}
