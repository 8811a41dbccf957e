//! Claiming, holding and dropping limits, and the messages between holders and borrowers.
//!
//! A request is one that a caller sent; it is pending while it waits for tokens. A token
//! request is the message that asks a limit's holder for tokens; it is open until it is
//! answered or times out.

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
    /// Requests tokens from a limit's holder for all pending requests, unless a token request
    /// is open or this instance is the holder.
    ///
    /// If no holder is known, a leaving instance requests them from its successor; any other
    /// schedules a claim of the limit and asks members for the holder.
    pub(crate) fn request_tokens(
        &mut self,
        id: limit::LimitId,
        now: time::Timestamp,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        let known_holder = self.directory.current_entry(id).map(|entry| entry.holder);
        let Some(holder) = known_holder.or_else(|| self.successor_if_leaving()) else {
            self.directory.schedule_claim(id);
            self.step_directory(now, actions);
            self.find_holder(id, actions);
            return;
        };
        if holder == self.own.incarnation {
            return;
        }
        let number = self.next_number();
        let Some(state) = self.limits.get_mut(&id) else { return };
        if state.borrowed.open_token_request.is_some() {
            return;
        }
        let sent = borrowing::SentTokenRequest { number, holder, sent_at: now };
        let demand = state.demand.per_second(now);
        let request = state.borrowed.make_token_request(id, sent, demand);
        let message = message::LedgerMessage::TokenRequest(request);
        actions.push(action::LedgerAction::Send { to: holder, message });
    }

    /// Returns the successor if this instance is leaving, as the recipient of token requests
    /// for limits without a known holder.
    ///
    /// A leaving instance claims no limits. The token request makes the successor schedule a
    /// claim, which it carries out only while its lease is valid and it is not leaving itself.
    fn successor_if_leaving(&self) -> Option<incarnation::Incarnation> {
        self.choose_successor().filter(|_| self.is_leaving)
    }

    /// Handles a message from another instance, and sends the answer if there is one.
    pub(crate) fn receive(
        &mut self,
        from: incarnation::Incarnation,
        message: message::LedgerMessage,
        now: time::Timestamp,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        let answer = match message {
            message::LedgerMessage::TokenRequest(request) => {
                Some(self.answer_token_request(from, &request, now))
            }
            message::LedgerMessage::TokenAnswer(answer) => {
                self.handle_token_answer(from, &answer, now, actions);
                None
            }
            message::LedgerMessage::TokensSpent(spent) => {
                let state = self.limits.get_mut(&spent.limit);
                if let Some(held) = state.and_then(|state| state.held.as_mut()) {
                    held.handle_tokens_spent(from, spent, now);
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
                self.request_tokens_for_pending(now, actions);
                None
            }
        };
        if let Some(message) = answer {
            actions.push(action::LedgerAction::Send { to: from, message });
        }
    }

    /// Starts to hold the limits whose directory entries name this instance and the current
    /// term of its lease, and admits their pending requests.
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
            // The first holder (epoch 1) starts with a full bucket. A later one starts empty,
            // because its predecessors may have spent the burst.
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
    ///
    /// Drops the held limits if this instance's lease has ended. If this instance ended
    /// another's lease, schedules claims of the limits held under it.
    pub(crate) fn handle_lease_answer(
        &mut self,
        holder: incarnation::Incarnation,
        answer: &operation::StoreAnswer,
        now: time::Timestamp,
    ) {
        if holder == self.own.incarnation {
            let term = self.lease.term();
            match self.lease.handle_store_answer(answer, now) {
                lease::LeaseChange::Unchanged => {}
                lease::LeaseChange::Lost | lease::LeaseChange::Released => self.drop_held(term),
            }
            return;
        }
        if let Some(ended) = self.takeover.handle_store_answer(holder, answer, now) {
            self.directory.mark_ended(ended.holder, ended.term);
            if ended.was_ended_here {
                self.directory.schedule_claims_of_ended();
            }
        }
    }

    /// Releases this instance's lease if it is leaving and has no outstanding loans.
    pub(crate) fn release_if_drained(&mut self, now: time::Timestamp) {
        let states = self.limits.values();
        let has_loans = |held: &lending::HeldLimit| held.loan_count() > 0;
        let mut held = states.filter_map(|state| state.held.as_ref());
        if self.is_leaving && !held.any(has_loans) {
            self.lease.release(now);
        }
    }

    /// Starts the directory's reads and writes that are due; claims limits only while the
    /// lease is valid and this instance is not leaving.
    pub(crate) fn step_directory(
        &mut self,
        now: time::Timestamp,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        let may_claim = now < self.lease.valid_until() && !self.is_leaving;
        let claimant = may_claim.then(|| (self.own.incarnation, self.lease.term()));
        self.directory.step(claimant, now, actions);
    }

    /// Requests tokens for all limits with pending requests, a known holder and no open token
    /// request.
    pub(crate) fn request_tokens_for_pending(
        &mut self,
        now: time::Timestamp,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        let needs_tokens = |id: &&limit::LimitId| {
            let state = &self.limits[*id];
            state.borrowed.has_pending() && state.borrowed.open_token_request.is_none()
        };
        let ids: Vec<_> = self.active_limits.iter().filter(needs_tokens).copied().collect();
        for id in ids {
            if self.directory.current_entry(id).is_some() {
                self.request_tokens(id, now, actions);
            }
        }
    }

    /// Chooses the instance that this instance's lease should name as successor; the lease
    /// names it only after the store has accepted a renewal with it.
    ///
    /// Keeps the successor that the lease names while that is a member that is not leaving.
    /// Otherwise prefers, in this order, a member that is not leaving, one in another region
    /// and one in another failure domain. Falls back to any member, even a leaving one.
    pub(crate) fn choose_successor(&self) -> Option<incarnation::Incarnation> {
        let is_not_leaving =
            |successor: &incarnation::Incarnation| !self.leaving.contains(successor);
        let current =
            self.lease.successor().filter(|successor| self.members.contains_key(successor));
        let current = current.filter(is_not_leaving);
        if current.is_some() {
            return current;
        }
        let own = &self.own;
        let rank = |member: &&action::LedgerMember| {
            let is_same_region = member.region == own.region;
            let is_same_domain = member.failure_domain == own.failure_domain;
            let seed = member.incarnation.as_u64() ^ own.incarnation.as_u64();
            let is_leaving = !is_not_leaving(&member.incarnation);
            (is_leaving, is_same_region, is_same_domain, seed.wrapping_mul(SPREAD_FACTOR))
        };
        self.members.values().min_by_key(rank).map(|member| member.incarnation)
    }

    /// Answers a token request: with granted tokens and possibly a loan if this instance holds
    /// the limit, else with a referral if it knows another holder.
    fn answer_token_request(
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
                self.active_limits.insert(request.limit);
                message::AnswerResult::Held(held)
            }
            None => message::AnswerResult::NotHeld(self.referral_for(from, request.limit, now)),
        };
        let answer = message::TokenAnswer { limit: request.limit, number: request.number, result };
        message::LedgerMessage::TokenAnswer(answer)
    }

    /// Returns the limit's known holder for a requester, unless that is this instance.
    ///
    /// - If no holder is known, schedules a claim by this instance.
    /// - If there is no holder to return, schedules a read of the limit's object.
    /// - If the known holder is the requester itself, starts to watch its lease, and returns
    ///   the entry nevertheless.
    fn referral_for(
        &mut self,
        from: incarnation::Incarnation,
        id: limit::LimitId,
        now: time::Timestamp,
    ) -> Option<message::KnownHolder> {
        let known = self.directory.current_entry(id);
        if known.is_none() {
            self.directory.schedule_claim(id);
        }
        if known.is_some_and(|entry| entry.holder == from) {
            // A holder needs no tokens from others, so its lease may have ended. Only the
            // store can tell.
            self.takeover.watch_lease(from, now);
        }
        let other = known.filter(|entry| entry.holder != self.own.incarnation);
        if other.is_none() {
            self.directory.mark_stale(id);
        }
        other.map(|entry| message::KnownHolder { limit: id, entry })
    }

    /// Handles the answer to the open token request; ignores one that is late or answers
    /// another token request.
    ///
    /// Requests tokens again if requests are still pending, unless the sender does not hold the
    /// limit and no other holder is known.
    fn handle_token_answer(
        &mut self,
        from: incarnation::Incarnation,
        answer: &message::TokenAnswer,
        now: time::Timestamp,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        let Some(state) = self.limits.get_mut(&answer.limit) else { return };
        let is_open = |sent: &borrowing::SentTokenRequest| {
            sent.number == answer.number
                && sent.holder == from
                && now < sent.sent_at + borrowing::TOKEN_REQUEST_TIMEOUT
        };
        let Some(sent) = state.borrowed.open_token_request.filter(is_open) else { return };
        match &answer.result {
            message::AnswerResult::Held(held) => {
                self.takeover.unwatch_lease(from);
                state.borrowed.handle_held_answer(sent, held, state.limit, now, actions);
                if held.granted > 0 && state.limit.burst <= SMALL_BURST {
                    let spent = message::TokensSpent { limit: answer.limit, number: sent.number };
                    let message = message::LedgerMessage::TokensSpent(spent);
                    actions.push(action::LedgerAction::Send { to: from, message });
                }
            }
            message::AnswerResult::NotHeld(referral) => {
                state.borrowed.open_token_request = None;
                self.directory.mark_stale(answer.limit);
                if self
                    .directory
                    .current_entry(answer.limit)
                    .is_some_and(|entry| entry.holder == from)
                {
                    self.takeover.watch_lease(from, now);
                    self.takeover.step(now, actions);
                }
                referral.iter().for_each(|known| self.directory.merge(*known));
                self.step_directory(now, actions);
                let known = self.directory.current_entry(answer.limit);
                if known.is_none_or(|entry| entry.holder == from) {
                    return;
                }
            }
        }
        let borrowed = &self.limits[&answer.limit].borrowed;
        if borrowed.has_pending() && borrowed.open_token_request.is_none() {
            self.request_tokens(answer.limit, now, actions);
        }
    }

    /// Asks the members with the lowest incarnations for a limit's holder, unless the limit's
    /// object has been read from the store.
    fn find_holder(&self, id: limit::LimitId, actions: &mut Vec<action::LedgerAction>) {
        if self.directory.has_been_read(id) {
            return;
        }
        for member in self.members.keys().take(QUERIED_MEMBERS) {
            let message = message::LedgerMessage::FindHolders(vec![id]);
            actions.push(action::LedgerAction::Send { to: *member, message });
        }
    }

    /// Answers a search for holders with those that this instance knows.
    fn known_holders(&self, limits: &[limit::LimitId]) -> message::LedgerMessage {
        let known = limits.iter().filter_map(|id| {
            let entry = self.directory.current_entry(*id)?;
            Some(message::KnownHolder { limit: *id, entry })
        });
        message::LedgerMessage::KnownHolders(known.collect())
    }

    /// Drops all held limits after this instance's lease has ended; `ended_term` is the term
    /// in which they were held.
    fn drop_held(&mut self, ended_term: u32) {
        self.directory.mark_ended(self.own.incarnation, ended_term);
        for state in self.limits.values_mut() {
            state.held = None;
        }
    }
}

/// Largest burst, in tokens, for which a requester sends [`message::TokensSpent`] after each
/// grant.
///
/// It has then spent or discarded the granted tokens, and the holder stops counting them
/// against the burst. With a larger burst, the holder counts them until the requester's next
/// token request, at most for [`borrowing::TOKEN_REQUEST_TIMEOUT`].
const SMALL_BURST: u32 = 16;
/// Multiplier of Fibonacci hashing (2^64 over the golden ratio); spreads the choice of
/// successors over equally ranked members.
const SPREAD_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
/// Number of members that are asked for a holder until the limit's object has been read.
const QUERIED_MEMBERS: usize = 3;
