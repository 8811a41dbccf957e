//! Answers of a limit's holder, and the loans that it gives.
//!
//! Invariant: the holder's own share, and what it has lent and not yet got
//! back, sum to the whole. A loan counts as out from before it is sent until
//! it came back, or until its borrower has stopped using it by its own clock.

use std::collections;
use std::time as duration;

use marjoramwing_entity::incarnation;
use marjoramwing_entity::time;
use marjoramwing_tables::team;

use crate::asking;
use crate::bucket;
use crate::demand;
use crate::mechanism;
use crate::message;
use crate::share;

/// Validity of a loan.
pub const LOAN: duration::Duration = duration::Duration::from_secs(10);
/// Wait beyond a loan before the lender takes it back.
pub const LOAN_MARGIN: duration::Duration = duration::Duration::from_secs(2);
/// Part of a limit that stays with its holder to answer asks.
const RESERVE: f64 = 0.33;
/// Smallest burst of a loan, in tokens.
const MIN_LOAN_TOKENS: f64 = 12.0;
/// A loan below this part of its target is raised.
const RAISE_BELOW: f64 = 0.8;
/// Longest time for which an asker is sent away.
const MAX_EMPTY: duration::Duration = duration::Duration::from_secs(1);

/// A limit that this instance holds.
#[derive(Debug)]
pub struct HeldLimit {
    /// Bucket of the holder's own share.
    pub bucket: bucket::TokenBucket,
    loans: collections::BTreeMap<incarnation::Incarnation, LentLoan>,
    turned_away: collections::BTreeSet<incarnation::Incarnation>,
    mechanisms: mechanism::MechanismSet,
}

#[derive(Debug, Clone, Copy)]
struct LentLoan {
    id: u64,
    lent: u64,
    returned: u64,
    ends: time::Timestamp,
    demand: f64,
}

/// What a holder needs to know to answer an ask.
#[derive(Debug, Clone, Copy)]
pub struct AskContext {
    /// Limit that is in force.
    pub limit: team::RateLimit,
    /// Requests that arrive at the holder itself.
    pub demand: demand::DemandMeter,
    /// Number for a new loan, never used twice by one incarnation.
    pub next_loan: u64,
    /// Time until which the holder's lease is valid.
    pub lease_until: time::Timestamp,
    /// Tells whether loans may be given.
    pub lends: bool,
}

impl HeldLimit {
    /// Makes a held limit of which nothing is lent.
    #[must_use]
    pub const fn new(bucket: bucket::TokenBucket, mechanisms: mechanism::MechanismSet) -> Self {
        Self {
            bucket,
            loans: collections::BTreeMap::new(),
            turned_away: collections::BTreeSet::new(),
            mechanisms,
        }
    }

    /// Returns the number of loans that are out.
    #[must_use]
    pub fn loan_count(&self) -> usize {
        self.loans.len()
    }

    /// Answers an ask.
    pub fn answer(
        &mut self,
        from: incarnation::Incarnation,
        ask: &message::TokenAsk,
        context: &AskContext,
        now: time::Timestamp,
    ) -> message::HeldAnswer {
        self.take_returned(from, ask, now);
        let to = bucket::GrantRecipient { asker: from, number: ask.number };
        let granted = self.grant(ask.amount, to, now);
        let empty_for = self.turn_away(from, ask.amount, granted);
        let (target, tokens) = self.lend(from, ask, context, now);
        let valid_for = LOAN.min(context.lease_until.since(now));
        let loan = self.loans.get_mut(&from);
        let (loan, lent, returned) = loan.map_or((0, 0, 0), |loan| {
            loan.ends = loan.ends.max(now + valid_for + LOAN_MARGIN);
            (loan.id, loan.lent, loan.returned)
        });
        message::HeldAnswer { granted, empty_for, loan, lent, returned, tokens, target, valid_for }
    }

    /// Notes that an asker has spent what it was granted.
    pub fn note_spent(
        &mut self,
        from: incarnation::Incarnation,
        notice: message::SpentNotice,
        now: time::Timestamp,
    ) {
        let next = bucket::GrantRecipient { asker: from, number: notice.number + 1 };
        self.bucket.release(next, now);
    }

    /// Takes back the loans that have ended.
    pub fn reclaim(&mut self, now: time::Timestamp) {
        let ended = self.loans.extract_if(.., |_, loan| loan.ends <= now || loan.units() == 0);
        let units: u64 = ended.map(|(_, loan)| loan.units()).sum();
        self.join(units, bucket::TokenNanos::default(), now);
    }

    fn take_returned(
        &mut self,
        from: incarnation::Incarnation,
        ask: &message::TokenAsk,
        now: time::Timestamp,
    ) {
        let Some(loan) = self.loans.get_mut(&from) else { return };
        let returned = ask.returned.min(loan.lent);
        if ask.loan != loan.id || returned <= loan.returned {
            return;
        }
        let units = returned - loan.returned;
        loan.returned = returned;
        self.join(units, ask.tokens, now);
    }

    fn join(&mut self, units: u64, tokens: bucket::TokenNanos, now: time::Timestamp) {
        if units == 0 || !self.mechanisms.is_on(mechanism::LedgerMechanism::LowerFirst) {
            return;
        }
        self.bucket.join(to_units(units), tokens, now);
    }

    fn grant(&mut self, amount: u32, to: bucket::GrantRecipient, now: time::Timestamp) -> u32 {
        let granted = self.bucket.grant(amount, to, now + asking::ASK_WAIT, now);
        if !self.mechanisms.is_on(mechanism::LedgerMechanism::HoldGranted) {
            self.bucket.forget_granted();
        }
        granted
    }

    /// Sends each asker that got too little away until another token's time.
    fn turn_away(
        &mut self,
        from: incarnation::Incarnation,
        amount: u32,
        granted: u32,
    ) -> duration::Duration {
        if granted == amount {
            if amount > 0 {
                self.turned_away.clear();
            }
            return duration::Duration::ZERO;
        }
        self.turned_away.insert(from);
        let askers = u32::try_from(self.turned_away.len()).unwrap_or(u32::MAX);
        self.bucket.time_until(askers).min(MAX_EMPTY)
    }

    fn lend(
        &mut self,
        from: incarnation::Incarnation,
        ask: &message::TokenAsk,
        context: &AskContext,
        now: time::Timestamp,
    ) -> (share::ShareUnits, bucket::TokenNanos) {
        let demand = ask.demand_millis as f64 / 1000.0;
        if let Some(loan) = self.loans.get_mut(&from) {
            loan.demand = demand;
        }
        let target = self.target(from, demand, context, now);
        let current = self.loans.get(&from).map_or(0, LentLoan::units);
        let lacking = u64::from(target.as_u32()).saturating_sub(current);
        let is_low = (current as f64) < f64::from(target.as_u32()) * RAISE_BELOW;
        let reserve = share::ShareUnits::of_fraction(RESERVE);
        let free = self.bucket.movable().min(self.bucket.units().without(reserve));
        let units = to_units(lacking).min(free);
        if !is_low || units == share::ShareUnits::NONE {
            return (target, bucket::TokenNanos::default());
        }
        let tokens = self.move_out(units, now);
        let loan = self.loans.entry(from).or_insert(LentLoan {
            id: context.next_loan,
            lent: 0,
            returned: 0,
            ends: now,
            demand,
        });
        loan.lent += u64::from(units.as_u32());
        (target, tokens)
    }

    fn move_out(&mut self, units: share::ShareUnits, now: time::Timestamp) -> bucket::TokenNanos {
        if self.mechanisms.is_on(mechanism::LedgerMechanism::LowerFirst) {
            return self.bucket.split(units, now);
        }
        self.bucket.clone().split(units, now)
    }

    /// Returns the share that demand gives a borrower, if that is worth a loan.
    fn target(
        &self,
        from: incarnation::Incarnation,
        demand: f64,
        context: &AskContext,
        now: time::Timestamp,
    ) -> share::ShareUnits {
        let others = self.loans.iter().filter(|(borrower, _)| **borrower != from);
        let others: f64 = others.map(|(_, loan)| loan.demand).sum();
        let all = demand + others + context.demand.per_second(now);
        let fraction = (1.0 - RESERVE) * demand / all.max(f64::MIN_POSITIVE);
        let tokens = fraction * f64::from(context.limit.burst);
        if !context.lends || tokens < MIN_LOAN_TOKENS {
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
