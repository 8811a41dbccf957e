//! Acquiring and giving up limits, and the messages between holders and borrowers.

use marjoramwing_entity::incarnation;
use marjoramwing_entity::time;
use marjoramwing_objects::operation;

use crate::action;
use crate::borrowing;
use crate::bucket;
use crate::lease;
use crate::ledger;
use crate::lending;
use crate::limit;
use crate::mechanism;
use crate::message;
use crate::share;

impl ledger::ShareLedger {
    /// Requests tokens from a limit's holder for all pending requests, or looks for a holder.
    pub(crate) fn request_tokens(
        &mut self,
        id: limit::LimitId,
        now: time::Timestamp,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        let known = self.directory.holder(id).map(|known| known.holder);
        let Some(holder) = known.or_else(|| self.fallback_target()) else {
            self.directory.request_claim(id);
            self.step_directory(now, actions);
            self.query_peers(id, actions);
            return;
        };
        if holder == self.own.incarnation {
            return;
        }
        let number = self.next_number();
        let Some(state) = self.limits.get_mut(&id) else { return };
        if state.borrowed.open_request.is_some() {
            return;
        }
        let sent = borrowing::SentRequest { number, holder, sent_at: now };
        let demand = state.demand.per_second(now);
        let request = state.borrowed.make_request(id, sent, demand);
        let message = message::LedgerMessage::TokenRequest(request);
        actions.push(action::LedgerAction::Send { to: holder, message });
    }

    /// Returns the instance to request tokens from when a limit has no known holder.
    ///
    /// A leaving instance claims no limits; its successor claims the limit on the request.
    fn fallback_target(&self) -> Option<incarnation::Incarnation> {
        self.choose_successor().filter(|_| self.is_leaving)
    }

    /// Handles a peer's message.
    pub(crate) fn receive(
        &mut self,
        from: incarnation::Incarnation,
        message: message::LedgerMessage,
        now: time::Timestamp,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        let answer = match message {
            message::LedgerMessage::TokenRequest(request) => {
                Some(self.answer_request(from, &request, now))
            }
            message::LedgerMessage::TokenAnswer(answer) => {
                self.handle_answer(from, &answer, now, actions);
                None
            }
            message::LedgerMessage::TokensSpent(notice) => {
                let state = self.limits.get_mut(&notice.limit);
                if let Some(held) = state.and_then(|state| state.held.as_mut()) {
                    held.handle_spent(from, notice, now);
                }
                None
            }
            message::LedgerMessage::PromiseRequest(promise) => {
                self.takeover.promise(from, promise, now)
            }
            message::LedgerMessage::Promise(promise) => {
                self.lease.handle_promise(from, promise);
                None
            }
            message::LedgerMessage::FindHolders(limits) => Some(self.known_holders(&limits)),
            message::LedgerMessage::KnownHolders(holders) => {
                holders.into_iter().for_each(|known| self.directory.merge(known));
                self.request_pending(now, actions);
                None
            }
        };
        if let Some(message) = answer {
            actions.push(action::LedgerAction::Send { to: from, message });
        }
    }

    /// Starts to hold the limits that the directory assigns to this instance's current term.
    pub(crate) fn adopt_held(
        &mut self,
        now: time::Timestamp,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        let own = self.own.incarnation;
        let term = self.lease.term();
        let valid_until = self.lease.valid_until();
        let entries = self.directory.held_by(own).filter(|(_, entry)| entry.term == term);
        let entries: Vec<_> = entries.collect();
        for (id, entry) in entries {
            let Some(state) = self.limits.get_mut(&id) else { continue };
            if state.held_epoch >= entry.epoch {
                continue;
            }
            let is_full =
                entry.epoch == 1 || !self.mechanisms.is_on(mechanism::LedgerMechanism::StartEmpty);
            let make = if is_full { bucket::TokenBucket::full } else { bucket::TokenBucket::empty };
            let mut bucket = make(state.limit, share::ShareUnits::WHOLE, now);
            state.held_epoch = entry.epoch;
            state.borrowed.admit_pending(&mut bucket, valid_until, now, actions);
            state.held = Some(lending::HeldLimit::new(bucket, self.mechanisms));
        }
    }

    /// Handles the store's answer on a lease, this instance's or another's.
    pub(crate) fn handle_lease_answer(
        &mut self,
        holder: incarnation::Incarnation,
        answer: &operation::StoreAnswer,
        now: time::Timestamp,
    ) {
        if holder == self.own.incarnation {
            let term = self.lease.term();
            match self.lease.handle_answer(answer, now) {
                lease::LeaseChange::Unchanged => {}
                lease::LeaseChange::Lost | lease::LeaseChange::Released => self.drop_held(term),
            }
            return;
        }
        if let Some(ended) = self.takeover.handle_answer(holder, answer, now) {
            self.directory.mark_ended(ended.holder, ended.term);
            if ended.was_ended_here {
                self.directory.claim_ended();
            }
        }
    }

    /// Releases the lease of a leaving instance once no loans are outstanding.
    pub(crate) fn release_if_drained(&mut self, now: time::Timestamp) {
        let states = self.limits.values();
        let has_loans = |held: &lending::HeldLimit| held.loan_count() > 0;
        let mut held = states.filter_map(|state| state.held.as_ref());
        if self.is_leaving && !held.any(has_loans) {
            self.lease.release(now);
        }
    }

    /// Steps the directory; claims limits only while the lease is valid and the instance is
    /// not leaving.
    pub(crate) fn step_directory(
        &mut self,
        now: time::Timestamp,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        let may_claim = now < self.lease.valid_until() && !self.is_leaving;
        let claimant = may_claim.then(|| (self.own.incarnation, self.lease.term()));
        self.directory.step(claimant, now, actions);
    }

    /// Requests tokens for all limits with pending requests and a known holder.
    pub(crate) fn request_pending(
        &mut self,
        now: time::Timestamp,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        let is_pending = |id: &&limit::LimitId| {
            let state = &self.limits[*id];
            state.borrowed.has_pending() && state.borrowed.open_request.is_none()
        };
        let pending: Vec<_> = self.active.iter().filter(is_pending).copied().collect();
        for id in pending {
            if self.directory.holder(id).is_some() {
                self.request_tokens(id, now, actions);
            }
        }
    }

    /// Chooses the successor: a member in another region if possible, else in another
    /// failure domain.
    ///
    /// The current successor is kept while it is a member that is not leaving.
    pub(crate) fn choose_successor(&self) -> Option<incarnation::Incarnation> {
        let stays = |successor: &incarnation::Incarnation| !self.leaving.contains(successor);
        let current =
            self.lease.successor().filter(|successor| self.members.contains_key(successor));
        let current = current.filter(stays);
        if current.is_some() {
            return current;
        }
        let own = &self.own;
        let rank = |member: &&action::LedgerMember| {
            let is_same_region = member.region == own.region;
            let is_same_domain = member.failure_domain == own.failure_domain;
            let seed = member.incarnation.as_u64() ^ own.incarnation.as_u64();
            let is_leaving = !stays(&member.incarnation);
            (is_leaving, is_same_region, is_same_domain, seed.wrapping_mul(SPREAD_FACTOR))
        };
        self.members.values().min_by_key(rank).map(|member| member.incarnation)
    }

    fn answer_request(
        &mut self,
        from: incarnation::Incarnation,
        request: &message::TokenRequest,
        now: time::Timestamp,
    ) -> message::LedgerMessage {
        let holds_lease = self.holds_lease(now);
        let next_loan = self.next_number();
        let may_lend = self.mechanisms.is_on(mechanism::LedgerMechanism::LendShares);
        let may_lend = may_lend && !self.is_leaving;
        let lease_valid_until = self.lease.valid_until();
        let state = self.limits.get_mut(&request.limit);
        let held = state.and_then(|state| {
            let (limit, demand) = (state.limit, state.demand);
            let held = state.held.as_mut().filter(|_| holds_lease)?;
            let context =
                lending::AnswerContext { limit, demand, next_loan, lease_valid_until, may_lend };
            Some(held.answer(from, request, &context, now))
        });
        let result = match held {
            Some(held) => {
                self.active.insert(request.limit);
                message::AnswerResult::Held(held)
            }
            None => message::AnswerResult::NotHeld(self.referral_for(from, request.limit, now)),
        };
        let answer = message::TokenAnswer { limit: request.limit, number: request.number, result };
        message::LedgerMessage::TokenAnswer(answer)
    }

    /// Returns another instance that holds the limit, or schedules a read of its object.
    fn referral_for(
        &mut self,
        from: incarnation::Incarnation,
        id: limit::LimitId,
        now: time::Timestamp,
    ) -> Option<message::KnownHolder> {
        let known = self.directory.holder(id);
        if known.is_none() {
            self.directory.request_claim(id);
        }
        if known.is_some_and(|holder| holder.holder == from) {
            // A holder that requests tokens of its own limit has lost its lease.
            self.takeover.suspect(from, now);
        }
        let other = known.filter(|holder| holder.holder != self.own.incarnation);
        if other.is_none() {
            self.directory.mark_stale(id);
        }
        other.map(|holder| message::KnownHolder { limit: id, holder })
    }

    fn handle_answer(
        &mut self,
        from: incarnation::Incarnation,
        answer: &message::TokenAnswer,
        now: time::Timestamp,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        let Some(state) = self.limits.get_mut(&answer.limit) else { return };
        let is_open = |sent: &borrowing::SentRequest| {
            sent.number == answer.number
                && sent.holder == from
                && now < sent.sent_at + borrowing::TOKEN_REQUEST_TIMEOUT
        };
        let Some(sent) = state.borrowed.open_request.filter(is_open) else { return };
        match &answer.result {
            message::AnswerResult::Held(held) => {
                self.takeover.clear(from);
                state.borrowed.handle_answer(sent, held, state.limit, now, actions);
                if held.granted > 0 && state.limit.burst <= SMALL_BURST {
                    let notice = message::SpentNotice { limit: answer.limit, number: sent.number };
                    let message = message::LedgerMessage::TokensSpent(notice);
                    actions.push(action::LedgerAction::Send { to: from, message });
                }
            }
            message::AnswerResult::NotHeld(referral) => {
                state.borrowed.open_request = None;
                self.directory.mark_stale(answer.limit);
                if self.directory.holder(answer.limit).is_some_and(|known| known.holder == from) {
                    self.takeover.suspect(from, now);
                    self.takeover.step(now, actions);
                }
                referral.iter().for_each(|known| self.directory.merge(*known));
                self.step_directory(now, actions);
                let holder = self.directory.holder(answer.limit);
                if holder.is_none_or(|holder| holder.holder == from) {
                    return;
                }
            }
        }
        let borrowed = &self.limits[&answer.limit].borrowed;
        if borrowed.has_pending() && borrowed.open_request.is_none() {
            self.request_tokens(answer.limit, now, actions);
        }
    }

    /// Asks a few peers for the holder if the store has not answered yet.
    fn query_peers(&self, id: limit::LimitId, actions: &mut Vec<action::LedgerAction>) {
        if self.directory.is_read(id) {
            return;
        }
        for peer in self.members.keys().take(QUERIED_PEERS) {
            let message = message::LedgerMessage::FindHolders(vec![id]);
            actions.push(action::LedgerAction::Send { to: *peer, message });
        }
    }

    fn known_holders(&self, limits: &[limit::LimitId]) -> message::LedgerMessage {
        let known = limits.iter().filter_map(|id| {
            let holder = self.directory.holder(*id)?;
            Some(message::KnownHolder { limit: *id, holder })
        });
        message::LedgerMessage::KnownHolders(known.collect())
    }

    /// Drops all limits held under a lease that has ended.
    fn drop_held(&mut self, term: u32) {
        self.directory.mark_ended(self.own.incarnation, term);
        for state in self.limits.values_mut() {
            state.held = None;
        }
    }
}

/// Largest burst, in tokens, for which requesters report spent tokens at once.
const SMALL_BURST: u32 = 16;
/// Multiplier that spreads the choice of successors over equally ranked members.
const SPREAD_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
/// Number of peers that are asked for a holder while the store does not answer.
const QUERIED_PEERS: usize = 3;
