//! A holder's answers to token requests, and the loans that it gives.
//!
//! Invariant: the holder's own share and the outstanding loans sum to the whole. A loan is
//! outstanding from before it is sent until it is returned, or until its borrower has
//! stopped using it by its own clock.

use std::collections;
use std::time as duration;

use marjoramwing_entity::incarnation;
use marjoramwing_entity::meter;
use marjoramwing_entity::time;
use marjoramwing_tables::team;

use crate::borrowing;
use crate::bucket;
use crate::mechanism;
use crate::message;
use crate::share;

/// Validity of a loan.
pub const LOAN_DURATION: duration::Duration = duration::Duration::from_secs(10);
/// Margin after the expiry of a loan before the lender reclaims it.
pub const LOAN_MARGIN: duration::Duration = duration::Duration::from_secs(2);
/// Fraction of a limit that its holder keeps to answer token requests.
const RESERVE: f64 = 0.33;
/// Minimum burst of a loan, in tokens.
const MIN_LOAN_TOKENS: f64 = 12.0;
/// Loans below this fraction of their target share are increased.
const INCREASE_BELOW: f64 = 0.8;
/// Maximum time for which a requester is told not to request tokens.
const MAX_RETRY: duration::Duration = duration::Duration::from_secs(1);

/// A limit that this instance holds.
#[derive(Debug)]
pub struct HeldLimit {
    /// Token bucket of the share that is not lent.
    pub bucket: bucket::TokenBucket,
    loans: collections::BTreeMap<incarnation::Incarnation, LentLoan>,
    /// Requesters that got too few tokens since a token request was last granted in full.
    underserved: collections::BTreeSet<incarnation::Incarnation>,
    mechanisms: mechanism::MechanismSet,
}

/// A loan as its lender records it.
#[derive(Debug, Clone, Copy)]
struct LentLoan {
    id: u64,
    /// Total units lent so far.
    lent: u64,
    /// Total units returned so far.
    returned: u64,
    /// Time at which the lender reclaims the loan.
    expires_at: time::Timestamp,
    /// Demand that the borrower last reported, in requests per second.
    demand: f64,
}

/// State of the holder that its answer to a token request depends on.
#[derive(Debug, Clone, Copy)]
pub struct AnswerContext {
    /// Rate and burst of the limit.
    pub limit: team::RateLimit,
    /// Demand at the holder itself.
    pub demand: meter::RateMeter,
    /// Identifier for a new loan, unique within one incarnation.
    pub next_loan: u64,
    /// Expiry of the holder's lease.
    pub lease_valid_until: time::Timestamp,
    /// Whether loans may be given.
    pub may_lend: bool,
}

impl HeldLimit {
    /// Creates a held limit without loans.
    #[must_use]
    pub const fn new(bucket: bucket::TokenBucket, mechanisms: mechanism::MechanismSet) -> Self {
        Self {
            bucket,
            loans: collections::BTreeMap::new(),
            underserved: collections::BTreeSet::new(),
            mechanisms,
        }
    }

    /// Returns the number of outstanding loans.
    #[must_use]
    pub fn loan_count(&self) -> usize {
        self.loans.len()
    }

    /// Answers a token request.
    pub fn answer(
        &mut self,
        from: incarnation::Incarnation,
        request: &message::TokenRequest,
        context: &AnswerContext,
        now: time::Timestamp,
    ) -> message::HeldAnswer {
        self.accept_returned(from, request, now);
        let to = bucket::GrantRecipient { requester: from, number: request.number };
        let granted = self.grant(request.amount, to, now);
        let retry_after = self.backoff(from, request.amount, granted);
        let (target_share, tokens) = self.lend(from, request, context, now);
        let valid_for = LOAN_DURATION.min(context.lease_valid_until.since(now));
        let loan = self.loans.get_mut(&from);
        let (loan, lent, returned) = loan.map_or((0, 0, 0), |loan| {
            loan.expires_at = loan.expires_at.max(now + valid_for + LOAN_MARGIN);
            (loan.id, loan.lent, loan.returned)
        });
        message::HeldAnswer {
            granted,
            retry_after,
            loan,
            lent,
            returned,
            tokens,
            target_share,
            valid_for,
        }
    }

    /// Stops counting the granted tokens that a requester has spent or discarded against the
    /// burst.
    pub fn handle_tokens_spent(
        &mut self,
        from: incarnation::Incarnation,
        spent: message::TokensSpent,
        now: time::Timestamp,
    ) {
        let next = bucket::GrantRecipient { requester: from, number: spent.number + 1 };
        self.bucket.release_grants(next, now);
    }

    /// Reclaims expired loans and removes those fully returned.
    pub fn reclaim(&mut self, now: time::Timestamp) {
        let ended =
            self.loans.extract_if(.., |_, loan| loan.expires_at <= now || loan.units() == 0);
        let units: u64 = ended.map(|(_, loan)| loan.units()).sum();
        self.add_units(units, bucket::TokenNanos::default(), now);
    }

    /// Takes back the units that a token request returns, unless an earlier one has already
    /// returned them.
    fn accept_returned(
        &mut self,
        from: incarnation::Incarnation,
        request: &message::TokenRequest,
        now: time::Timestamp,
    ) {
        let Some(loan) = self.loans.get_mut(&from) else { return };
        let returned = request.returned.min(loan.lent);
        if request.loan != loan.id || returned <= loan.returned {
            return;
        }
        let units = returned - loan.returned;
        loan.returned = returned;
        self.add_units(units, request.tokens, now);
    }

    fn add_units(&mut self, units: u64, tokens: bucket::TokenNanos, now: time::Timestamp) {
        if units == 0 || !self.mechanisms.is_on(mechanism::LedgerMechanism::DebitLender) {
            return;
        }
        self.bucket.add_share(to_units(units), tokens, now);
    }

    fn grant(&mut self, amount: u32, to: bucket::GrantRecipient, now: time::Timestamp) -> u32 {
        let granted = self.bucket.grant(amount, to, now + borrowing::TOKEN_REQUEST_TIMEOUT, now);
        if !self.mechanisms.is_on(mechanism::LedgerMechanism::CountGranted) {
            self.bucket.clear_grants();
        }
        granted
    }

    /// Returns the retry time of a requester: zero if it got all tokens, else the time until
    /// there is one token for each requester that got too few.
    fn backoff(
        &mut self,
        from: incarnation::Incarnation,
        amount: u32,
        granted: u32,
    ) -> duration::Duration {
        if granted == amount {
            if amount > 0 {
                self.underserved.clear();
            }
            return duration::Duration::ZERO;
        }
        self.underserved.insert(from);
        let requesters = u32::try_from(self.underserved.len()).unwrap_or(u32::MAX);
        self.bucket.time_until(requesters).min(MAX_RETRY)
    }

    /// Lends units towards the borrower's target share, if it has much less; returns the
    /// target share and the tokens that come with the lent units.
    fn lend(
        &mut self,
        from: incarnation::Incarnation,
        request: &message::TokenRequest,
        context: &AnswerContext,
        now: time::Timestamp,
    ) -> (share::ShareUnits, bucket::TokenNanos) {
        let demand = request.demand_millis as f64 / 1000.0;
        if let Some(loan) = self.loans.get_mut(&from) {
            loan.demand = demand;
        }
        let target_share = self.target_share(from, demand, context, now);
        let current = self.loans.get(&from).map_or(0, LentLoan::units);
        let missing = u64::from(target_share.as_u32()).saturating_sub(current);
        let is_below_target = (current as f64) < f64::from(target_share.as_u32()) * INCREASE_BELOW;
        let reserve = share::ShareUnits::of_fraction(RESERVE);
        let free = self.bucket.max_removable().min(self.bucket.units().saturating_sub(reserve));
        let units = to_units(missing).min(free);
        if !is_below_target || units == share::ShareUnits::NONE {
            return (target_share, bucket::TokenNanos::default());
        }
        let tokens = self.remove_share(units, now);
        let loan = self.loans.entry(from).or_insert(LentLoan {
            id: context.next_loan,
            lent: 0,
            returned: 0,
            expires_at: now,
            demand,
        });
        loan.lent += u64::from(units.as_u32());
        (target_share, tokens)
    }

    fn remove_share(
        &mut self,
        units: share::ShareUnits,
        now: time::Timestamp,
    ) -> bucket::TokenNanos {
        if self.mechanisms.is_on(mechanism::LedgerMechanism::DebitLender) {
            return self.bucket.remove_share(units, now);
        }
        self.bucket.clone().remove_share(units, now)
    }

    /// Returns a borrower's target share by demand, or [`share::ShareUnits::NONE`] if it is too
    /// small for a loan.
    fn target_share(
        &self,
        from: incarnation::Incarnation,
        demand: f64,
        context: &AnswerContext,
        now: time::Timestamp,
    ) -> share::ShareUnits {
        let others = self.loans.iter().filter(|(borrower, _)| **borrower != from);
        let others: f64 = others.map(|(_, loan)| loan.demand).sum();
        let total = demand + others + context.demand.per_second(now);
        let fraction = (1.0 - RESERVE) * demand / total.max(f64::MIN_POSITIVE);
        let tokens = fraction * f64::from(context.limit.burst);
        if !context.may_lend || tokens < MIN_LOAN_TOKENS {
            return share::ShareUnits::NONE;
        }
        share::ShareUnits::of_fraction(fraction)
    }
}

impl LentLoan {
    const fn units(&self) -> u64 {
        self.lent - self.returned
    }
}

fn to_units(units: u64) -> share::ShareUnits {
    share::ShareUnits::new(u32::try_from(units).unwrap_or(u32::MAX))
}
