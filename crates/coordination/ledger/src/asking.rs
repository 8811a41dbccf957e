//! Asking a limit's holder for tokens, and the loan that it gives.
//!
//! Invariants: a token that a holder granted is spent within [`ASK_WAIT`] of
//! the ask or never; a loan is used only within its validity, which counts
//! from the time at which the ask was sent.

use std::collections;
use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::incarnation;
use marjoramwing_entity::time;
use marjoramwing_tables::team;

use crate::action;
use crate::bucket;
use crate::limit;
use crate::mechanism;
use crate::message;
use crate::share;

/// Longest time for which a request waits, over several asks.
pub const REQUEST_WAIT: duration::Duration = duration::Duration::from_secs(1);
/// Longest wait for a holder's answer to one ask.
pub const ASK_WAIT: duration::Duration = duration::Duration::from_millis(250);
/// Time within which a request that a holder admitted must be sent.
const SEND_WAIT: duration::Duration = duration::Duration::from_secs(10);
/// Time after which a request that got no answer may come again.
const NO_ANSWER_RETRY: duration::Duration = duration::Duration::from_millis(500);
/// Requests that wait for one limit's holder.
const MAX_WAITING: usize = 256;
/// Time after which a loan is renewed.
const RENEW_AFTER: duration::Duration = duration::Duration::from_secs(3);
/// Time after which a loan is renewed when demand has fallen.
const RENEW_FALLEN_AFTER: duration::Duration = duration::Duration::from_millis(250);
/// Demand below this part of what was told last has fallen.
const FALLEN_BELOW: f64 = 0.75;
/// A loan above this part of its target is lowered, in percent.
const LOWER_ABOVE_PERCENT: u64 = 125;

/// Requests that wait for a limit's holder, and the loan from it.
#[derive(Debug, Default)]
pub struct BorrowedLimit {
    /// Loan from the holder.
    pub loan: Option<BorrowedLoan>,
    /// Ask that has no answer yet.
    pub asked: Option<SentAsk>,
    /// Asks in a row that got no answer.
    pub unanswered: u32,
    waiting: collections::VecDeque<WaitingRequest>,
    empty_until: time::Timestamp,
}

/// A share that a holder lent.
#[derive(Debug, Clone)]
pub struct BorrowedLoan {
    /// Who lent it.
    pub holder: incarnation::Incarnation,
    /// Time until which it may be used.
    pub valid_until: time::Timestamp,
    /// Bucket of the share.
    pub bucket: bucket::TokenBucket,
    id: u64,
    lent: u64,
    returned: u64,
    tokens: bucket::TokenNanos,
    renewed_at: time::Timestamp,
    demand: f64,
}

/// An ask that has no answer yet.
#[derives::value]
pub struct SentAsk {
    /// Number of the ask.
    pub number: u64,
    /// Who was asked.
    pub holder: incarnation::Incarnation,
    /// When it was sent.
    pub sent_at: time::Timestamp,
}

#[derive(Debug, Clone, Copy)]
struct WaitingRequest {
    ticket: action::RequestTicket,
    amount: u32,
    since: time::Timestamp,
}

impl BorrowedLimit {
    /// Takes tokens of the loan, if it is valid and has them.
    pub fn take(
        &mut self,
        amount: u32,
        mechanisms: mechanism::MechanismSet,
        now: time::Timestamp,
    ) -> Option<time::Timestamp> {
        let loan = self.loan.as_mut()?;
        let expires = mechanisms.is_on(mechanism::LedgerMechanism::ExpireLoans);
        let is_valid = now < loan.valid_until || !expires;
        (is_valid && loan.bucket.take(amount, now)).then_some(loan.valid_until)
    }

    /// Returns the time for which asking is useless.
    #[must_use]
    pub fn empty_for(&self, now: time::Timestamp) -> Option<duration::Duration> {
        if self.waiting.len() >= MAX_WAITING {
            return Some(NO_ANSWER_RETRY);
        }
        (now < self.empty_until).then(|| self.empty_until.since(now))
    }

    /// Lets a request wait for an answer.
    pub fn wait(&mut self, ticket: action::RequestTicket, amount: u32, now: time::Timestamp) {
        self.waiting.push_back(WaitingRequest { ticket, amount, since: now });
    }

    /// Tells whether a request waits.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Tells whether nothing is left to do for this limit.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.asked.is_none() && self.loan.is_none()
    }

    /// Makes the ask for all that wait.
    pub fn make_ask(
        &mut self,
        id: limit::LimitId,
        sent: SentAsk,
        demand: f64,
    ) -> message::TokenAsk {
        self.asked = Some(sent);
        let amount = self.waiting.iter().map(|request| request.amount).sum();
        let loan = self.loan.as_mut().filter(|loan| loan.holder == sent.holder);
        let (loan, returned, tokens) = loan.map_or_else(Default::default, |loan| {
            loan.renewed_at = sent.sent_at;
            loan.demand = demand;
            (loan.id, loan.returned, std::mem::take(&mut loan.tokens))
        });
        message::TokenAsk {
            limit: id,
            number: sent.number,
            amount,
            demand_millis: (demand * 1000.0) as u64,
            loan,
            returned,
            tokens,
        }
    }

    /// Takes in a holder's answer to the ask that is open.
    pub fn take_answer(
        &mut self,
        sent: SentAsk,
        answer: &message::HeldAnswer,
        limit: team::RateLimit,
        now: time::Timestamp,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        self.asked = None;
        self.unanswered = 0;
        self.take_loan(sent, answer, limit, now);
        self.spend_granted(sent, answer.granted, actions);
        if answer.empty_for > duration::Duration::ZERO {
            // An ask sent at this time reaches the holder when a token is there.
            self.empty_until = sent.sent_at + answer.empty_for;
        }
        if let Some(retry_after) = self.empty_for(now) {
            self.refuse_all(retry_after, actions);
        }
    }

    /// Lowers the loan to a share; the units go back with the next ask.
    pub fn lower(&mut self, target: share::ShareUnits, now: time::Timestamp) -> bool {
        let Some(loan) = &mut self.loan else { return false };
        let units = loan.bucket.units().without(target);
        if units == share::ShareUnits::NONE {
            return false;
        }
        loan.tokens = bucket::TokenNanos(loan.tokens.0 + loan.bucket.split(units, now).0);
        loan.returned += u64::from(units.as_u32());
        loan.renewed_at = time::Timestamp::ZERO;
        true
    }

    /// Refuses the requests that waited too long.
    pub fn expire(&mut self, now: time::Timestamp, actions: &mut Vec<action::LedgerAction>) {
        while let Some(oldest) = self.waiting.front() {
            if now < oldest.since + REQUEST_WAIT {
                return;
            }
            settle(oldest.ticket, refused(NO_ANSWER_RETRY), actions);
            self.waiting.pop_front();
        }
    }

    /// Forgets an ask that got no answer in time, and tells who was asked.
    pub fn expire_ask(&mut self, now: time::Timestamp) -> Option<incarnation::Incarnation> {
        let sent = self.asked.filter(|sent| now >= sent.sent_at + ASK_WAIT)?;
        self.asked = None;
        self.unanswered += 1;
        Some(sent.holder)
    }

    /// Forgets a loan that has ended or is empty.
    pub fn expire_loan(&mut self, mechanisms: mechanism::MechanismSet, now: time::Timestamp) {
        if !mechanisms.is_on(mechanism::LedgerMechanism::ExpireLoans) {
            return;
        }
        if self.loan.as_ref().is_some_and(|loan| loan.valid_until <= now) {
            self.loan = None;
        }
    }

    /// Tells whether the loan should be renewed.
    #[must_use]
    pub fn needs_renewal(&self, demand: f64, now: time::Timestamp) -> bool {
        let Some(loan) = self.loan.as_ref().filter(|_| self.asked.is_none()) else { return false };
        let fell =
            demand < loan.demand * FALLEN_BELOW && now >= loan.renewed_at + RENEW_FALLEN_AFTER;
        fell || now >= loan.renewed_at + RENEW_AFTER
    }

    /// Admits what waits for a limit that this instance now holds, as tokens come.
    pub fn settle_held(
        &mut self,
        bucket: &mut bucket::TokenBucket,
        valid_until: time::Timestamp,
        now: time::Timestamp,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        while let Some(oldest) = self.waiting.front() {
            if !bucket.take(oldest.amount, now) {
                return;
            }
            settle(oldest.ticket, action::TicketOutcome::Admitted { valid_until }, actions);
            self.waiting.pop_front();
        }
    }

    fn take_loan(
        &mut self,
        sent: SentAsk,
        answer: &message::HeldAnswer,
        limit: team::RateLimit,
        now: time::Timestamp,
    ) {
        if answer.loan == 0 || answer.lent == answer.returned {
            self.forget_empty_loan(sent.holder);
            return;
        }
        let valid_until = sent.sent_at + answer.valid_for;
        let known = self.loan.take();
        let is_same = |loan: &BorrowedLoan| loan.holder == sent.holder && loan.id == answer.loan;
        let mut loan = known.filter(is_same).unwrap_or_else(|| BorrowedLoan {
            holder: sent.holder,
            valid_until,
            bucket: bucket::TokenBucket::empty(limit, share::ShareUnits::NONE, now),
            id: answer.loan,
            lent: answer.returned,
            returned: answer.returned,
            tokens: bucket::TokenNanos::default(),
            renewed_at: sent.sent_at,
            demand: 0.0,
        });
        let added = answer.lent.saturating_sub(loan.lent);
        loan.lent = loan.lent.max(answer.lent);
        let added = share::ShareUnits::new(u32::try_from(added).unwrap_or(u32::MAX));
        loan.bucket.join(added, answer.tokens, now);
        loan.valid_until = loan.valid_until.max(valid_until);
        let kept = u64::from(answer.target.as_u32()) * LOWER_ABOVE_PERCENT / 100;
        let is_high = u64::from(loan.bucket.units().as_u32()) > kept;
        self.loan = Some(loan);
        if is_high {
            self.lower(answer.target, now);
        }
    }

    fn forget_empty_loan(&mut self, holder: incarnation::Incarnation) {
        let is_empty = |loan: &BorrowedLoan| loan.bucket.units() == share::ShareUnits::NONE;
        if self.loan.as_ref().is_some_and(|loan| loan.holder == holder && is_empty(loan)) {
            self.loan = None;
        }
    }

    fn spend_granted(
        &mut self,
        sent: SentAsk,
        granted: u32,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        let valid_until = sent.sent_at + SEND_WAIT;
        let mut left = granted;
        while let Some(oldest) = self.waiting.front() {
            if oldest.amount > left {
                return;
            }
            left -= oldest.amount;
            settle(oldest.ticket, action::TicketOutcome::Admitted { valid_until }, actions);
            self.waiting.pop_front();
        }
    }

    fn refuse_all(
        &mut self,
        retry_after: duration::Duration,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        for request in self.waiting.drain(..) {
            settle(request.ticket, refused(retry_after), actions);
        }
    }
}

const fn refused(retry_after: duration::Duration) -> action::TicketOutcome {
    action::TicketOutcome::Refused { retry_after }
}

fn settle(
    ticket: action::RequestTicket,
    outcome: action::TicketOutcome,
    actions: &mut Vec<action::LedgerAction>,
) {
    actions.push(action::LedgerAction::Settle { ticket, outcome });
}
