//! Admission of requests under limits, and handling of events.
//!
//! Invariant: in every window of time, all instances together admit at most a limit's burst
//! plus its rate times the window's length. The modules `share`, `bucket`, `lending`,
//! `borrowing` and `lease` each state the part of it that they guarantee.

use std::collections;
use std::time as duration;

use marjoramwing_entity::incarnation;
use marjoramwing_entity::meter;
use marjoramwing_entity::time;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;
use marjoramwing_tables::team;

use crate::action;
use crate::borrowing;
use crate::bucket;
use crate::directory;
use crate::lease;
use crate::lending;
use crate::limit;
use crate::mechanism;
use crate::share;
use crate::takeover;

/// Period at which the driver sends [`action::LedgerEvent::Tick`].
pub const TICK_PERIOD: duration::Duration = duration::Duration::from_millis(50);
/// Longest wait for the next token for which a holder keeps a request pending instead of
/// refusing it. A bucket that starts empty, as after a takeover, otherwise refuses requests
/// that its team's rate covers.
const MAX_TOKEN_WAIT: duration::Duration = TICK_PERIOD;
/// Retry time of a refusal when no better estimate is known.
const DEFAULT_RETRY: duration::Duration = duration::Duration::from_secs(1);
/// Consecutive unanswered token requests after which the holder's lease is watched.
const WATCH_AFTER: u32 = 3;

/// Admits requests under limits that hold over all instances.
#[derive(Debug)]
pub struct ShareLedger {
    pub(crate) own: action::LedgerMember,
    pub(crate) limits: collections::BTreeMap<limit::LimitId, LimitState>,
    /// Limits that need ticks, since they have pending requests, an open token request or a
    /// loan in either direction; see [`LimitState::is_idle`].
    pub(crate) active_limits: collections::BTreeSet<limit::LimitId>,
    /// Other instances that membership reports as alive, leaving ones included.
    pub(crate) members: collections::BTreeMap<incarnation::Incarnation, action::LedgerMember>,
    /// Members that began their planned stop.
    pub(crate) leaving: collections::BTreeSet<incarnation::Incarnation>,
    pub(crate) directory: directory::HolderDirectory,
    /// This instance's own lease.
    pub(crate) lease: lease::LeaseKeeper,
    /// Leases of other instances that may have to be ended.
    pub(crate) takeover: takeover::TakeoverKeeper,
    /// Mechanisms that are on: all, except in tests.
    pub(crate) mechanisms: mechanism::MechanismSet,
    /// Whether this instance has begun its planned stop.
    pub(crate) is_leaving: bool,
    last_number: u64,
}

/// The state of one limit at this instance.
#[derive(Debug)]
pub(crate) struct LimitState {
    /// Rate and burst of the limit.
    pub(crate) limit: team::RateLimit,
    /// Whether the limit is configured; the state of a removed limit is kept.
    pub(crate) is_configured: bool,
    /// What this instance holds of the limit and has lent, if it is the holder.
    pub(crate) held: Option<lending::HeldLimit>,
    /// Epoch of the last directory entry under which this instance held the limit; zero if
    /// it never did. It keeps an entry from being adopted twice, which would add tokens.
    pub(crate) held_epoch: u64,
    /// Pending requests, and what this instance has borrowed of the limit.
    pub(crate) borrowed: borrowing::BorrowedLimit,
    pub(crate) demand: meter::RateMeter,
}

impl ShareLedger {
    /// Creates the ledger of one incarnation of an instance.
    #[must_use]
    pub fn new(own: action::LedgerMember, mechanisms: mechanism::MechanismSet) -> Self {
        let incarnation = own.incarnation;
        Self {
            own,
            limits: collections::BTreeMap::new(),
            active_limits: collections::BTreeSet::new(),
            members: collections::BTreeMap::new(),
            leaving: collections::BTreeSet::new(),
            directory: directory::HolderDirectory::new(),
            lease: lease::LeaseKeeper::new(incarnation),
            takeover: takeover::TakeoverKeeper::new(incarnation, mechanisms),
            mechanisms,
            is_leaving: false,
            last_number: 0,
        }
    }

    /// Adds or edits a limit; an edit adds no tokens.
    pub fn set_limit(&mut self, id: limit::LimitId, limit: team::RateLimit, now: time::Timestamp) {
        self.directory.prefetch(id);
        let state = self.limits.entry(id).or_insert_with(|| LimitState::new(limit));
        state.is_configured = true;
        if state.limit != limit {
            let keeps_tokens = self.mechanisms.is_on(mechanism::LedgerMechanism::KeepTokensOnEdit);
            state.edit(limit, keeps_tokens, now);
        }
        // The store may already name this instance as the limit's holder.
        self.adopt_held(now, &mut Vec::new());
    }

    /// Removes a limit; its shares are kept in case it is added again.
    pub fn remove_limit(&mut self, id: limit::LimitId) {
        if let Some(state) = self.limits.get_mut(&id) {
            state.is_configured = false;
        }
    }

    /// Iterates over the configured limits.
    pub fn limit_ids(&self) -> impl Iterator<Item = limit::LimitId> + '_ {
        self.limits.iter().filter(|(_, state)| state.is_configured).map(|(id, _)| *id)
    }

    /// Admits or refuses one request, or requests tokens from a holder.
    pub fn admit(
        &mut self,
        id: limit::LimitId,
        now: time::Timestamp,
        actions: &mut Vec<action::LedgerAction>,
    ) -> action::AdmitOutcome {
        self.spend(id, 1, now, actions)
    }

    /// Spends `amount` tokens of a limit, all or none; a limit that is not configured admits
    /// everything.
    pub fn spend(
        &mut self,
        id: limit::LimitId,
        amount: u32,
        now: time::Timestamp,
        actions: &mut Vec<action::LedgerAction>,
    ) -> action::AdmitOutcome {
        let holds_lease = self.holds_lease(now);
        let Some(state) = self.limits.get_mut(&id).filter(|state| state.is_configured) else {
            return action::AdmitOutcome::Admitted { valid_until: time::Timestamp::NEVER };
        };
        state.demand.add(amount, now);
        if let Some(held) = state.held.as_mut().filter(|_| holds_lease) {
            let valid_until = self.lease.valid_until();
            state.borrowed.admit_pending(&mut held.bucket, valid_until, now, actions);
            let pending = state.borrowed.pending_amount();
            if pending == 0 && held.bucket.take(amount, now) {
                return action::AdmitOutcome::Admitted { valid_until };
            }
            let retry_after = held.bucket.time_until(pending.saturating_add(amount));
            let waits = self.mechanisms.is_on(mechanism::LedgerMechanism::AwaitDueToken);
            if retry_after > MAX_TOKEN_WAIT || !waits {
                return action::AdmitOutcome::Refused { retry_after };
            }
            return self.enqueue(id, amount, now, actions);
        }
        if let Some(valid_until) = state.borrowed.take(amount, self.mechanisms, now) {
            return action::AdmitOutcome::Admitted { valid_until };
        }
        if amount > state.limit.burst
            || !self.mechanisms.is_on(mechanism::LedgerMechanism::RequestTokens)
        {
            return action::AdmitOutcome::Refused { retry_after: DEFAULT_RETRY };
        }
        let backs_off = self.mechanisms.is_on(mechanism::LedgerMechanism::BackOff);
        if let Some(retry_after) = state.borrowed.backoff(now).filter(|_| backs_off) {
            return action::AdmitOutcome::Refused { retry_after };
        }
        self.enqueue(id, amount, now, actions)
    }

    /// Handles an event.
    pub fn handle(
        &mut self,
        event: action::LedgerEvent,
        now: time::Timestamp,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        match event {
            action::LedgerEvent::Tick => self.tick(now, actions),
            action::LedgerEvent::MemberUp(member) => self.handle_member_up(member),
            action::LedgerEvent::MemberLeaving(member) => {
                self.leaving.insert(member);
            }
            action::LedgerEvent::MemberDown(member) | action::LedgerEvent::MemberLeft(member) => {
                self.handle_member_down(member, now);
            }
            action::LedgerEvent::Received { from, message } => {
                self.receive(from, message, now, actions);
            }
            action::LedgerEvent::StoreAnswered { name, answer } => {
                self.handle_store_answer(&name, &answer, now, actions);
            }
            action::LedgerEvent::Leave => self.is_leaving = true,
        }
    }

    /// Returns the time until which this instance may spend from the limits that it holds.
    #[must_use]
    pub const fn lease_valid_until(&self) -> time::Timestamp {
        self.lease.valid_until()
    }

    /// Returns true if the planned stop has handed over every limit, so that the process may exit.
    #[must_use]
    pub fn has_left(&self) -> bool {
        self.is_leaving && self.lease.is_released()
    }

    /// Returns true if this instance's lease is valid.
    pub(crate) fn holds_lease(&self, now: time::Timestamp) -> bool {
        let checks = self.mechanisms.is_on(mechanism::LedgerMechanism::CheckLease);
        now < self.lease.valid_until() || !checks
    }

    /// Returns a number that is unique within this incarnation, for a token request, a loan
    /// or a ticket.
    pub(crate) const fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Adds a pending request, and requests tokens for it.
    fn enqueue(
        &mut self,
        id: limit::LimitId,
        amount: u32,
        now: time::Timestamp,
        actions: &mut Vec<action::LedgerAction>,
    ) -> action::AdmitOutcome {
        let ticket = action::RequestTicket(self.next_number());
        if let Some(state) = self.limits.get_mut(&id) {
            state.borrowed.enqueue(ticket, amount, now);
        }
        self.active_limits.insert(id);
        self.request_tokens(id, now, actions);
        action::AdmitOutcome::Pending { ticket }
    }

    fn tick(&mut self, now: time::Timestamp, actions: &mut Vec<action::LedgerAction>) {
        let successor = self.choose_successor();
        self.release_if_drained(now);
        self.lease.step(successor, now, actions);
        self.takeover.step(now, actions);
        let active: Vec<_> = self.active_limits.iter().copied().collect();
        for id in active {
            self.tick_limit(id, now, actions);
        }
        self.step_directory(now, actions);
    }

    /// Expires and reclaims what is due under one limit, and requests tokens if requests are
    /// pending or the loan needs renewal.
    fn tick_limit(
        &mut self,
        id: limit::LimitId,
        now: time::Timestamp,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        let holds_lease = self.holds_lease(now);
        let valid_until = self.lease.valid_until();
        let Some(state) = self.limits.get_mut(&id) else { return };
        let demand = state.demand.per_second(now);
        let borrowed = &mut state.borrowed;
        borrowed.expire_pending(now, actions);
        borrowed.expire_loan(self.mechanisms, now);
        if self.is_leaving {
            // Returns the whole loan with the next token request.
            borrowed.reduce(share::ShareUnits::NONE, now);
        }
        if let Some(held) = &mut state.held {
            held.reclaim(now);
            if holds_lease {
                borrowed.admit_pending(&mut held.bucket, valid_until, now, actions);
            }
        }
        let timed_out_holder = borrowed.expire_token_request(now);
        let is_unresponsive = borrowed.unanswered >= WATCH_AFTER;
        let should_request = borrowed.open_token_request.is_none()
            && (borrowed.has_pending() || borrowed.needs_renewal(demand, now));
        if state.is_idle() {
            self.active_limits.remove(&id);
        }
        if let Some(holder) = timed_out_holder {
            self.directory.mark_stale(id);
            if is_unresponsive || !self.members.contains_key(&holder) {
                self.takeover.watch_lease(holder, now);
            }
        }
        if should_request {
            self.request_tokens(id, now, actions);
        }
    }

    fn handle_member_up(&mut self, member: action::LedgerMember) {
        self.takeover.unwatch_lease(member.incarnation);
        self.members.insert(member.incarnation, member);
    }

    fn handle_member_down(&mut self, member: incarnation::Incarnation, now: time::Timestamp) {
        self.members.remove(&member);
        self.leaving.remove(&member);
        let holds = self.directory.held_by(member).next().is_some();
        if holds || self.takeover.has_promised(member) {
            self.takeover.watch_lease(member, now);
        }
    }

    fn handle_store_answer(
        &mut self,
        name: &object::ObjectName,
        answer: &operation::StoreAnswer,
        now: time::Timestamp,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        if self.directory.handle_store_answer(name, answer, now) {
            self.adopt_held(now, actions);
        } else if let Some(holder) = lease::holder_of_lease(name) {
            self.handle_lease_answer(holder, answer, now);
        }
        self.step_directory(now, actions);
        self.request_tokens_for_pending(now, actions);
    }
}

impl LimitState {
    fn new(limit: team::RateLimit) -> Self {
        Self {
            limit,
            is_configured: true,
            held: None,
            held_epoch: 0,
            borrowed: borrowing::BorrowedLimit::default(),
            demand: meter::RateMeter::default(),
        }
    }

    /// Returns true if the limit needs no ticks.
    pub(crate) fn is_idle(&self) -> bool {
        let has_loans = self.held.as_ref().is_some_and(|held| held.loan_count() > 0);
        self.borrowed.is_idle() && !has_loans
    }

    fn edit(&mut self, limit: team::RateLimit, keeps_tokens: bool, now: time::Timestamp) {
        self.limit = limit;
        let held = self.held.as_mut().map(|held| &mut held.bucket);
        let loan = self.borrowed.loan.as_mut().map(|loan| &mut loan.bucket);
        for bucket in held.into_iter().chain(loan) {
            bucket.set_limit(limit, now);
            if !keeps_tokens {
                *bucket = bucket::TokenBucket::full(limit, bucket.units(), now);
            }
        }
    }
}
