//! What a backend server says of itself in its answers.
//!
//! Invariant: a statement belongs to one run of a server; that of another run, which had the same
//! address or identifier before, changes nothing.

use std::sync::Arc;
use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::time;

use crate::share;
use crate::shared_rate;

/// Lowest rate that is kept. A server that never got a request could not say that its limit has
/// ended.
const MIN_RATE_MILLI: u64 = 100;
/// Highest rate that is kept; any higher one bounds nothing.
const MAX_RATE_MILLI: u64 = 1_000_000_000;
/// Time after an answer with a limit for which answers without one may be older.
const LIMIT_END_DELAY: duration::Duration = duration::Duration::from_millis(500);
/// Time for which a server that did not register itself counts as leaving. Nothing else would tell
/// that another process has taken its place.
const UNREGISTERED_LEAVE: duration::Duration = duration::Duration::from_secs(30);
/// Longest time for which a server may ask to be left alone.
const MAX_PAUSE: duration::Duration = duration::Duration::from_secs(300);
/// Interval at which one instance reports a limit again that its answers still name.
const REFRESH_INTERVAL: duration::Duration = duration::Duration::from_secs(2);

/// Why a value is not a rate.
#[derives::value]
#[derive(derive_more::Display, derive_more::Error)]
#[display("not a rate; send requests per second as a decimal number that is not negative")]
pub struct RateFault;

/// Rate of requests, in thousandths of a request per second.
#[derives::value]
pub struct RequestRate {
    milli: u64,
}

impl RequestRate {
    /// Creates a rate; one outside the bounds is replaced by the nearest bound.
    #[must_use]
    pub const fn from_milli(milli: u64) -> Self {
        let milli = if milli < MIN_RATE_MILLI { MIN_RATE_MILLI } else { milli };
        Self { milli: if milli > MAX_RATE_MILLI { MAX_RATE_MILLI } else { milli } }
    }

    /// Returns the rate in thousandths of a request per second.
    #[must_use]
    pub const fn milli(self) -> u64 {
        self.milli
    }
}

impl TryFrom<&str> for RequestRate {
    type Error = RateFault;

    /// Parses requests per second as a decimal number.
    fn try_from(text: &str) -> Result<Self, RateFault> {
        let per_second: f64 = text.trim().parse().map_err(|_| RateFault)?;
        if !per_second.is_finite() || per_second.is_sign_negative() {
            return Err(RateFault);
        }
        Ok(Self::from_milli((per_second * 1_000.0) as u64))
    }
}

/// One run of a backend server that registered itself.
#[derives::name]
pub struct ServerRun {
    /// Identifier under which the server registered.
    pub id: Arc<str>,
    /// Start of the run in Unix milliseconds; 0 if the server did not report it.
    pub started_ms: u64,
}

/// What an answer says about the rate that its server takes.
#[derives::value]
#[derive(Default)]
pub enum LimitStatement {
    /// The answer names no limit.
    #[default]
    Absent,
    /// The answer names a limit that cannot be read.
    Unreadable,
    /// The server takes this rate from all instances together.
    Named(RequestRate),
}

/// What one answer says about its server.
#[derives::value]
#[derive(Default)]
pub struct AnswerStatement {
    /// Whether the server leaves.
    pub is_leaving: bool,
    /// Rate that the server takes.
    pub limit: LimitStatement,
    /// Time for which the server wants no requests from this instance.
    pub pause: Option<duration::Duration>,
}

/// A change of what is known of a server by its own statements.
#[derives::value]
pub enum StatementChange {
    /// The server leaves and gets nothing new.
    Leaving,
    /// The server wants no requests from this instance for this time.
    Paused(duration::Duration),
    /// The server takes a limited rate.
    Limited(RequestRate),
    /// The server takes any rate again.
    Unlimited,
}

/// What an instance reports to the others about the limit of a server.
#[derives::record]
pub struct LimitReport {
    /// The server that named the limit.
    pub run: ServerRun,
    /// The limit; `None` if it has ended.
    pub limit: Option<RequestRate>,
    /// Time since the server first named a limit.
    pub named_age: duration::Duration,
    /// Time since the answer by which that is known.
    pub answer_age: duration::Duration,
}

/// What is known of one server by its own statements.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServerStatements {
    /// Time until which the server counts as leaving.
    leaving_until: Option<time::Timestamp>,
    /// Time until which the server wants no requests from this instance.
    paused_until: time::Timestamp,
    /// Whether no answer has shown since that the server takes requests again.
    is_returning: bool,
    limit: Option<shared_rate::SharedRate>,
    /// Time of the answer by which the limit, or its end, is known.
    answered_at: time::Timestamp,
    /// Whether the other instances were not told yet of what the last answers said.
    is_unreported: bool,
    reported_at: time::Timestamp,
}

impl ServerStatements {
    /// Records an answer of the server; returns what it changes.
    pub(crate) fn record_answer(
        &mut self,
        statement: AnswerStatement,
        is_registered: bool,
        now: time::Timestamp,
    ) -> Vec<StatementChange> {
        let mut changes = Vec::new();
        if statement.is_leaving {
            let until =
                if is_registered { time::Timestamp::NEVER } else { now + UNREGISTERED_LEAVE };
            if self.leaving_until.replace(until).is_none() {
                changes.push(StatementChange::Leaving);
            }
        }
        changes.extend(self.record_pause(statement.pause, now));
        changes.extend(self.record_limit(statement.limit, now));
        changes
    }

    /// The latest end counts: another answer may be older.
    fn record_pause(
        &mut self,
        pause: Option<duration::Duration>,
        now: time::Timestamp,
    ) -> Option<StatementChange> {
        let Some(pause) = pause.map(|pause| pause.min(MAX_PAUSE)) else {
            self.is_returning &= now < self.paused_until;
            return None;
        };
        let was_paused = now < self.paused_until;
        self.paused_until = self.paused_until.max(now + pause);
        self.is_returning = true;
        (!was_paused).then_some(StatementChange::Paused(pause))
    }

    fn record_limit(
        &mut self,
        limit: LimitStatement,
        now: time::Timestamp,
    ) -> Option<StatementChange> {
        match limit {
            LimitStatement::Named(rate) => {
                self.answered_at = now;
                self.limit_to(rate, now)
            }
            LimitStatement::Absent if now.since(self.answered_at) >= LIMIT_END_DELAY => {
                self.limit.take().map(|_| {
                    self.answered_at = now;
                    self.is_unreported = true;
                    StatementChange::Unlimited
                })
            }
            LimitStatement::Absent | LimitStatement::Unreadable => None,
        }
    }

    fn limit_to(&mut self, rate: RequestRate, now: time::Timestamp) -> Option<StatementChange> {
        let is_changed = match &mut self.limit {
            Some(limit) => limit.set_rate(rate),
            limit @ None => {
                *limit = Some(shared_rate::SharedRate::new(rate, now));
                true
            }
        };
        self.is_unreported |= is_changed;
        is_changed.then_some(StatementChange::Limited(rate))
    }

    /// Records what another instance reports; one that is older than what is known changes nothing.
    pub(crate) fn record_report(
        &mut self,
        report: &LimitReport,
        now: time::Timestamp,
    ) -> Option<StatementChange> {
        let answered_at = now - report.answer_age;
        let named_at = now - report.named_age;
        if let (Some(limit), Some(_)) = (&mut self.limit, report.limit) {
            limit.adopt_start(named_at);
        }
        if answered_at <= self.answered_at {
            return None;
        }
        self.answered_at = answered_at;
        match (&mut self.limit, report.limit) {
            (Some(_), None) => {
                self.limit = None;
                Some(StatementChange::Unlimited)
            }
            (Some(limit), Some(rate)) => {
                limit.set_rate(rate).then_some(StatementChange::Limited(rate))
            }
            (None, Some(rate)) => {
                self.limit = Some(shared_rate::SharedRate::new(rate, named_at));
                Some(StatementChange::Limited(rate))
            }
            (None, None) => None,
        }
    }

    /// Returns what to report to the other instances: a change at once, and a limit that still
    /// holds from time to time, by the instance whose turn it is first.
    pub(crate) fn take_report(
        &mut self,
        run: &ServerRun,
        now: time::Timestamp,
    ) -> Option<LimitReport> {
        let is_refresh_due = self.answered_at > self.reported_at
            && now.since(self.reported_at) >= REFRESH_INTERVAL
            && self.limit.as_ref().is_some_and(shared_rate::SharedRate::is_first);
        if !self.is_unreported && !is_refresh_due {
            return None;
        }
        self.is_unreported = false;
        self.reported_at = now;
        let named_age = self
            .limit
            .as_ref()
            .map_or(duration::Duration::ZERO, |limit| now.since(limit.named_at()));
        Some(LimitReport {
            run: run.clone(),
            limit: self.limit.as_ref().map(shared_rate::SharedRate::rate),
            named_age,
            answer_age: now.since(self.answered_at),
        })
    }

    /// Returns true if nothing is known.
    pub(crate) const fn is_empty(&self) -> bool {
        self.limit.is_none() && self.leaving_until.is_none() && !self.is_returning
    }

    /// Returns true if the server has said that it leaves.
    pub(crate) const fn is_leaving(&self) -> bool {
        self.leaving_until.is_some()
    }

    /// Forgets what no longer holds.
    pub(crate) fn expire(&mut self, now: time::Timestamp) {
        self.leaving_until = self.leaving_until.filter(|until| now < *until);
    }

    /// Divides the limit among the instances of a fleet.
    pub(crate) fn divide(&mut self, key: u64, fleet: &share::ShareFleet, now: time::Timestamp) {
        if let Some(limit) = &mut self.limit {
            limit.divide(key, fleet, now);
        }
    }

    /// Divides the limit again if its turn has ended or it has changed.
    pub(crate) fn divide_if_due(
        &mut self,
        key: u64,
        fleet: &share::ShareFleet,
        now: time::Timestamp,
    ) {
        if self.limit.as_ref().is_some_and(|limit| limit.is_division_due(now)) {
            self.divide(key, fleet, now);
        }
    }

    /// Returns true if the server may be sent a request now, while this instance has `open` others
    /// at it.
    ///
    /// After a pause one request at a time is sent until the server takes one.
    pub(crate) fn allows(&self, open: u32, now: time::Timestamp) -> bool {
        !self.is_paused(now)
            && (!self.is_returning || open == 0)
            && self.limit.as_ref().is_none_or(|limit| limit.allows(now))
    }

    /// Returns true if the server wants no requests from this instance now.
    pub(crate) fn is_paused(&self, now: time::Timestamp) -> bool {
        now < self.paused_until
    }

    /// Returns when the server may be sent a request again, if it may not now.
    pub(crate) fn next_at(&self) -> time::Timestamp {
        let limited = self.limit.as_ref().map(shared_rate::SharedRate::next_at);
        limited.unwrap_or(time::Timestamp::ZERO).max(self.paused_until)
    }

    /// Returns the rate at which this instance may send to the server, in thousandths of a request
    /// per second; `None` if it is not limited.
    pub(crate) fn rate_milli(&self) -> Option<u64> {
        self.limit.as_ref().map(shared_rate::SharedRate::share_milli)
    }

    /// Records a request that is sent now.
    pub(crate) fn record_request(&mut self, now: time::Timestamp) {
        if let Some(limit) = &mut self.limit {
            limit.record_request(now);
        }
    }
}
