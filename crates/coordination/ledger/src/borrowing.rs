//! Requests for tokens to a limit's holder, and the loan received from it.
//!
//! A request is one that a caller sent; it is pending while it waits for tokens. A token
//! request is the message to the holder, for all pending requests; it is open until it is
//! answered or times out.
//!
//! Invariants: a granted token is spent within [`TOKEN_REQUEST_TIMEOUT`] of the token request
//! or never; a loan is used only while it is valid, and its validity counts from the time at
//! which the request was sent.

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

/// Maximum time that a caller's request stays pending, over several token requests.
pub const MAX_PENDING_TIME: duration::Duration = duration::Duration::from_secs(1);
/// Time to wait for a holder's answer to one token request.
pub const TOKEN_REQUEST_TIMEOUT: duration::Duration = duration::Duration::from_millis(250);
/// Time after a token request within which the first byte of a request that it admits must be
/// sent.
const SEND_TIMEOUT: duration::Duration = duration::Duration::from_secs(10);
/// Retry time of a request that waited too long, or found too many requests pending.
const NO_ANSWER_RETRY: duration::Duration = duration::Duration::from_millis(500);
/// Maximum number of pending requests per limit; further ones are refused.
const MAX_PENDING: usize = 256;
/// Age after which a loan is renewed.
const RENEW_AFTER: duration::Duration = duration::Duration::from_secs(3);
/// Age after which a loan is renewed when demand has dropped.
const RENEW_DROPPED_AFTER: duration::Duration = duration::Duration::from_millis(250);
/// Ratio to the last reported demand below which demand counts as dropped.
const DEMAND_DROP_RATIO: f64 = 0.75;
/// Loans above this percentage of their target share are reduced to the target.
const REDUCE_ABOVE_PERCENT: u64 = 125;

/// Pending requests under a limit that another instance holds, and the loan from the holder.
#[derive(Debug, Default)]
pub struct BorrowedLimit {
    /// Loan from the holder.
    pub loan: Option<BorrowedLoan>,
    /// Token request that has neither been answered nor timed out.
    pub open_token_request: Option<SentTokenRequest>,
    /// Number of consecutive unanswered token requests.
    pub unanswered: u32,
    /// Requests that wait for tokens, oldest first.
    pending: collections::VecDeque<PendingRequest>,
    /// Time until which no tokens are requested, since the holder would grant none.
    backoff_until: time::Timestamp,
}

/// A share borrowed from a holder.
#[derive(Debug, Clone)]
pub struct BorrowedLoan {
    /// Incarnation of the lender.
    pub holder: incarnation::Incarnation,
    /// Time until which the loan may be used.
    pub valid_until: time::Timestamp,
    /// Token bucket of the borrowed share.
    pub bucket: bucket::TokenBucket,
    id: u64,
    /// Total units lent, as last reported by the lender.
    lent: u64,
    /// Total units returned by this instance, reported with each token request.
    returned: u64,
    /// Tokens of the units returned since the last token request.
    returned_tokens: bucket::TokenNanos,
    /// Time of the last token request to the lender; zero if a renewal is due at once.
    renewed_at: time::Timestamp,
    /// Demand reported with that token request, in requests per second.
    reported_demand: f64,
}

/// A token request that was sent to a holder.
#[derives::value]
pub struct SentTokenRequest {
    /// Number of the token request.
    pub number: u64,
    /// Incarnation of the holder that it was sent to.
    pub holder: incarnation::Incarnation,
    /// Time at which it was sent.
    pub sent_at: time::Timestamp,
}

/// A caller's request that waits for tokens.
#[derive(Debug, Clone, Copy)]
struct PendingRequest {
    ticket: action::RequestTicket,
    amount: u32,
    queued_at: time::Timestamp,
}

impl BorrowedLimit {
    /// Takes tokens from a valid loan and returns the loan's expiry, or `None` if they
    /// don't suffice.
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

    /// Returns the retry time if no tokens can be requested now: too many requests are
    /// pending, or the holder has no tokens.
    #[must_use]
    pub fn backoff(&self, now: time::Timestamp) -> Option<duration::Duration> {
        if self.pending.len() >= MAX_PENDING {
            return Some(NO_ANSWER_RETRY);
        }
        (now < self.backoff_until).then(|| self.backoff_until.since(now))
    }

    /// Adds a pending request.
    pub fn enqueue(&mut self, ticket: action::RequestTicket, amount: u32, now: time::Timestamp) {
        self.pending.push_back(PendingRequest { ticket, amount, queued_at: now });
    }

    /// Returns true if any request is pending.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the number of tokens that the pending requests need.
    #[must_use]
    pub fn pending_amount(&self) -> u32 {
        self.pending.iter().fold(0, |sum, request| sum.saturating_add(request.amount))
    }

    /// Returns true if there are no pending requests, no open token request and no loan.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.open_token_request.is_none() && self.loan.is_none()
    }

    /// Creates the token request for all pending requests, and records it as open.
    pub fn make_token_request(
        &mut self,
        id: limit::LimitId,
        sent: SentTokenRequest,
        demand: f64,
    ) -> message::TokenRequest {
        self.open_token_request = Some(sent);
        let amount = self.pending.iter().map(|request| request.amount).sum();
        let loan = self.loan.as_mut().filter(|loan| loan.holder == sent.holder);
        let (loan, returned, tokens) = loan.map_or_else(Default::default, |loan| {
            loan.renewed_at = sent.sent_at;
            loan.reported_demand = demand;
            (loan.id, loan.returned, std::mem::take(&mut loan.returned_tokens))
        });
        message::TokenRequest {
            limit: id,
            number: sent.number,
            amount,
            demand_millis: (demand * 1000.0) as u64,
            loan,
            returned,
            tokens,
        }
    }

    /// Handles a holder's answer to the open token request; granted tokens that no pending
    /// request takes are discarded.
    pub fn handle_held_answer(
        &mut self,
        sent: SentTokenRequest,
        answer: &message::HeldAnswer,
        limit: team::RateLimit,
        now: time::Timestamp,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        self.open_token_request = None;
        self.unanswered = 0;
        self.update_loan(sent, answer, limit, now);
        self.admit_granted(sent, answer.granted, actions);
        if answer.retry_after > duration::Duration::ZERO {
            // A token request sent at this time arrives when a token is available.
            self.backoff_until = sent.sent_at + answer.retry_after;
        }
        if let Some(retry_after) = self.backoff(now) {
            self.refuse_pending(retry_after, actions);
        }
    }

    /// Reduces the loan to a share; the next token request returns the units. Returns true
    /// if the loan was above that share.
    pub fn reduce(&mut self, max_share: share::ShareUnits, now: time::Timestamp) -> bool {
        let Some(loan) = &mut self.loan else { return false };
        let units = loan.bucket.units().saturating_sub(max_share);
        if units == share::ShareUnits::NONE {
            return false;
        }
        loan.returned_tokens =
            bucket::TokenNanos(loan.returned_tokens.0 + loan.bucket.remove_share(units, now).0);
        loan.returned += u64::from(units.as_u32());
        // Makes the next token request due at once.
        loan.renewed_at = time::Timestamp::ZERO;
        true
    }

    /// Refuses the requests that have been pending for too long.
    pub fn expire_pending(
        &mut self,
        now: time::Timestamp,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        while let Some(oldest) = self.pending.front() {
            if now < oldest.queued_at + MAX_PENDING_TIME {
                return;
            }
            resolve(oldest.ticket, refused(NO_ANSWER_RETRY), actions);
            self.pending.pop_front();
        }
    }

    /// Drops a token request that timed out, and returns the holder that it was sent to.
    pub fn expire_token_request(
        &mut self,
        now: time::Timestamp,
    ) -> Option<incarnation::Incarnation> {
        let sent =
            self.open_token_request.filter(|sent| now >= sent.sent_at + TOKEN_REQUEST_TIMEOUT)?;
        self.open_token_request = None;
        self.unanswered += 1;
        Some(sent.holder)
    }

    /// Drops a loan that has expired.
    pub fn expire_loan(&mut self, mechanisms: mechanism::MechanismSet, now: time::Timestamp) {
        if !mechanisms.is_on(mechanism::LedgerMechanism::ExpireLoans) {
            return;
        }
        if self.loan.as_ref().is_some_and(|loan| loan.valid_until <= now) {
            self.loan = None;
        }
    }

    /// Returns true if the loan should be renewed.
    #[must_use]
    pub fn needs_renewal(&self, demand: f64, now: time::Timestamp) -> bool {
        let Some(loan) = self.loan.as_ref().filter(|_| self.open_token_request.is_none()) else {
            return false;
        };
        let has_dropped = demand < loan.reported_demand * DEMAND_DROP_RATIO
            && now >= loan.renewed_at + RENEW_DROPPED_AFTER;
        has_dropped || now >= loan.renewed_at + RENEW_AFTER
    }

    /// Admits pending requests from the bucket of a limit that this instance now holds.
    pub fn admit_pending(
        &mut self,
        bucket: &mut bucket::TokenBucket,
        valid_until: time::Timestamp,
        now: time::Timestamp,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        while let Some(oldest) = self.pending.front() {
            if !bucket.take(oldest.amount, now) {
                return;
            }
            resolve(oldest.ticket, action::TicketOutcome::Admitted { valid_until }, actions);
            self.pending.pop_front();
        }
    }

    /// Updates the loan from a holder's answer, and reduces it if it is far above its target
    /// share.
    fn update_loan(
        &mut self,
        sent: SentTokenRequest,
        answer: &message::HeldAnswer,
        limit: team::RateLimit,
        now: time::Timestamp,
    ) {
        if answer.loan == 0 || answer.lent == answer.returned {
            self.drop_empty_loan(sent.holder);
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
            returned_tokens: bucket::TokenNanos::default(),
            renewed_at: sent.sent_at,
            reported_demand: 0.0,
        });
        let added = answer.lent.saturating_sub(loan.lent);
        loan.lent = loan.lent.max(answer.lent);
        let added = share::ShareUnits::new(u32::try_from(added).unwrap_or(u32::MAX));
        loan.bucket.add_share(added, answer.tokens, now);
        loan.valid_until = loan.valid_until.max(valid_until);
        let max_units = u64::from(answer.target_share.as_u32()) * REDUCE_ABOVE_PERCENT / 100;
        let exceeds_target = u64::from(loan.bucket.units().as_u32()) > max_units;
        self.loan = Some(loan);
        if exceeds_target {
            self.reduce(answer.target_share, now);
        }
    }

    /// Drops a loan whose units have all been returned.
    fn drop_empty_loan(&mut self, holder: incarnation::Incarnation) {
        let is_empty = |loan: &BorrowedLoan| loan.bucket.units() == share::ShareUnits::NONE;
        if self.loan.as_ref().is_some_and(|loan| loan.holder == holder && is_empty(loan)) {
            self.loan = None;
        }
    }

    /// Admits pending requests with granted tokens, oldest first.
    fn admit_granted(
        &mut self,
        sent: SentTokenRequest,
        granted: u32,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        let valid_until = sent.sent_at + SEND_TIMEOUT;
        let mut remaining = granted;
        while let Some(oldest) = self.pending.front() {
            if oldest.amount > remaining {
                return;
            }
            remaining -= oldest.amount;
            resolve(oldest.ticket, action::TicketOutcome::Admitted { valid_until }, actions);
            self.pending.pop_front();
        }
    }

    fn refuse_pending(
        &mut self,
        retry_after: duration::Duration,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        for request in self.pending.drain(..) {
            resolve(request.ticket, refused(retry_after), actions);
        }
    }
}

const fn refused(retry_after: duration::Duration) -> action::TicketOutcome {
    action::TicketOutcome::Refused { retry_after }
}

fn resolve(
    ticket: action::RequestTicket,
    outcome: action::TicketOutcome,
    actions: &mut Vec<action::LedgerAction>,
) {
    actions.push(action::LedgerAction::Resolve { ticket, outcome });
}
