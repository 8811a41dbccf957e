//! The keeper's sending and handling of messages.
//!
//! An update describes a member by its phase, which the member itself announces, and by its
//! health, which is what other instances observe of it.

use std::collections;
use std::net;

use marjoramwing_entity::incarnation;
use marjoramwing_entity::time;

use crate::keeper;
use crate::member;
use crate::message;
use crate::probe;
use crate::record;
use crate::update;

/// Multiplier that spreads a member's sequence number and phase over all bits; SplitMix64's
/// increment.
const DIGEST_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

type ActionList = Vec<keeper::MembershipAction>;

impl keeper::MembershipKeeper {
    pub(crate) fn handle_message(
        &mut self,
        from: incarnation::Incarnation,
        address: net::SocketAddr,
        message: message::MembershipMessage,
        now: time::Timestamp,
        actions: &mut ActionList,
    ) {
        if from == self.incarnation || self.stopped {
            return;
        }
        let previous_sequence = self.sequence;
        let is_sync_answer = matches!(message.body, message::MembershipBody::SyncAnswer { .. });
        let was_present = self.roster.get(from).is_some_and(record::MemberRecord::is_present);
        self.apply_header(from, message.header, now);
        for update in &message.updates {
            self.apply_update(update, is_sync_answer, now);
        }
        let is_present = self.roster.get(from).is_some_and(record::MemberRecord::is_present);
        // Up to here, only a refutation raises the local instance's sequence number.
        let has_refuted = self.sequence != previous_sequence;
        self.handle_body(from, address, message.body, has_refuted, now, actions);
        if was_present && is_present {
            // The sender was in the roster already, so a sync is needed only if the rosters have
            // differed for some time.
            self.compare_digest(from, address, message.header.digest, now, actions);
        } else if now >= self.next_sync && !is_sync_answer {
            // The sender was not present before the message or is not present after it, so a sync
            // is requested without waiting. A sync answer already belongs to a sync.
            self.next_sync = now + self.settings.min_sync_interval;
            self.request_sync(Some(from), address, actions);
        }
    }

    /// Merges the sender's state, as alive: a message proves that its sender is running.
    fn apply_header(
        &mut self,
        from: incarnation::Incarnation,
        header: message::SenderHeader,
        now: time::Timestamp,
    ) {
        let update = update::MemberUpdate {
            incarnation: from,
            sequence: header.sequence,
            health: update::UpdateHealth::Alive,
            phase: header.phase,
            profile: None,
        };
        self.apply_update(&update, false, now);
    }

    fn apply_update(
        &mut self,
        update: &update::MemberUpdate,
        is_sync_answer: bool,
        now: time::Timestamp,
    ) {
        if update.incarnation == self.incarnation {
            self.refute_suspicion(update.health, update.sequence);
            return;
        }
        let profile = update.profile.as_ref();
        // An incarnation with the local instance's peer address ran there before and has ended.
        let is_replaced =
            profile.is_some_and(|profile| profile.peer_address == self.own_profile.peer_address);
        let is_known = self.roster.get(update.incarnation).is_some();
        let changed = match profile {
            Some(profile) if is_replaced => {
                self.roster.mark_replaced(update.incarnation, profile, now)
            }
            _ => self.roster.apply(update, now),
        };
        if changed {
            self.view_changed = true;
            // A sync answer may introduce many members at once; these are not gossiped further.
            if is_known || is_replaced || !is_sync_answer {
                self.gossip.push(update.incarnation);
            }
        }
    }

    /// Refutes a suspicion of the local instance with a higher sequence number.
    ///
    /// Does nothing if the update does not suspect it or if a newer sequence number has already
    /// refuted the suspicion.
    fn refute_suspicion(&mut self, health: update::UpdateHealth, sequence: u32) {
        let is_suspected = health == update::UpdateHealth::Suspect && sequence >= self.sequence;
        if is_suspected && self.settings.refutes_suspicion {
            self.sequence = sequence + 1;
            self.gossip.push(self.incarnation);
        }
    }

    fn handle_body(
        &mut self,
        from: incarnation::Incarnation,
        address: net::SocketAddr,
        body: message::MembershipBody,
        has_refuted: bool,
        now: time::Timestamp,
        actions: &mut ActionList,
    ) {
        match body {
            message::MembershipBody::Ping { number, target } => {
                self.handle_ping(from, address, number, target, now, actions);
            }
            message::MembershipBody::Ack { number, responder } => {
                self.handle_ack(number, responder, actions);
            }
            message::MembershipBody::PingRequest { number, target, address: target_address } => {
                let stage = probe::ProbeStage::Relayed { number, requester: address };
                let deadline = now + self.settings.indirect_timeout;
                let number = self.probes.add(target, stage, deadline);
                let body = message::MembershipBody::Ping { number, target: Some(target) };
                self.send(Some(target), target_address, body, actions);
            }
            message::MembershipBody::SyncRequest { entries } => {
                self.handle_sync_request(address, &entries, actions);
            }
            message::MembershipBody::SyncAnswer { wanted } if !wanted.is_empty() => {
                let updates = wanted
                    .iter()
                    .filter_map(|incarnation| self.full_update(*incarnation))
                    .collect();
                self.send_updates(address, message::MembershipBody::UpdatesOnly, updates, actions);
            }
            message::MembershipBody::SyncAnswer { .. } | message::MembershipBody::UpdatesOnly => {
                // The message needs no answer, but the refutation is sent to its sender at once.
                if has_refuted {
                    self.send(Some(from), address, message::MembershipBody::UpdatesOnly, actions);
                }
            }
        }
    }

    fn handle_ping(
        &mut self,
        from: incarnation::Incarnation,
        address: net::SocketAddr,
        number: u64,
        target: Option<incarnation::Incarnation>,
        now: time::Timestamp,
        actions: &mut ActionList,
    ) {
        let replaced_incarnation = target.filter(|target| *target != self.incarnation);
        if let Some(replaced_incarnation) = replaced_incarnation {
            let own_profile = std::sync::Arc::clone(&self.own_profile);
            self.view_changed |= self.roster.mark_replaced(replaced_incarnation, &own_profile, now);
            // Gossiped even if it is already marked, since the sender does not know it yet.
            self.gossip.push(replaced_incarnation);
        }
        let body = message::MembershipBody::Ack { number, responder: self.incarnation };
        self.send(Some(from), address, body, actions);
    }

    fn handle_ack(
        &mut self,
        number: u64,
        responder: incarnation::Incarnation,
        actions: &mut ActionList,
    ) {
        let Some(pending) = self.probes.take_acknowledged(number) else { return };
        if let probe::ProbeStage::Relayed { number, requester } = pending.stage {
            let body = message::MembershipBody::Ack { number, responder };
            self.send(None, requester, body, actions);
        }
    }

    /// Requests a sync from the sender if digests have differed for the mismatch timeout.
    ///
    /// The time since the first difference is tracked for all senders together.
    fn compare_digest(
        &mut self,
        from: incarnation::Incarnation,
        address: net::SocketAddr,
        digest: u64,
        now: time::Timestamp,
        actions: &mut ActionList,
    ) {
        if digest == self.digest() {
            self.digest_mismatch_since = None;
            return;
        }
        let since = *self.digest_mismatch_since.get_or_insert(now);
        if now.since(since) >= self.settings.digest_mismatch_timeout && now >= self.next_sync {
            // Gives this sync the whole timeout before the next one is requested.
            self.digest_mismatch_since = Some(now);
            self.next_sync = now + self.settings.min_sync_interval;
            self.request_sync(Some(from), address, actions);
        }
    }

    /// Requests a full sync; `receiver` is `None` if the incarnation at the address is not known.
    pub(crate) fn request_sync(
        &mut self,
        receiver: Option<incarnation::Incarnation>,
        address: net::SocketAddr,
        actions: &mut ActionList,
    ) {
        // The receiver sends its own records of the members that are left out, if they are present.
        let records = self.roster.iter().filter(|(_, record)| !is_dead_unconfirmed(record));
        let entries = records.map(|(incarnation, record)| message::SyncEntry {
            incarnation,
            sequence: record.sequence,
            health: record.gossip_health(),
        });
        let body = message::MembershipBody::SyncRequest { entries: entries.collect() };
        // The local instance's update carries its profile, which the receiver may not know.
        self.gossip.push(self.incarnation);
        self.send(receiver, address, body, actions);
    }

    fn handle_sync_request(
        &mut self,
        address: net::SocketAddr,
        entries: &[message::SyncEntry],
        actions: &mut ActionList,
    ) {
        let summaries: collections::BTreeMap<_, _> =
            entries.iter().map(|entry| (entry.incarnation, entry)).collect();
        if let Some(entry) = summaries.get(&self.incarnation) {
            self.refute_suspicion(entry.health, entry.sequence);
        }
        // What the requester lacks: unknown present members and records that are newer here.
        let missing =
            self.roster.iter().filter(|(incarnation, record)| match summaries.get(incarnation) {
                None => record.is_present(),
                Some(entry) => {
                    !is_dead_unconfirmed(record)
                        && precedence_of(record) > (entry.sequence, entry.health)
                }
            });
        let missing: Vec<_> =
            missing.map(|(incarnation, _)| incarnation).chain([self.incarnation]).collect();
        let updates =
            missing.into_iter().filter_map(|incarnation| self.full_update(incarnation)).collect();
        let wanted = entries.iter().filter(|entry| self.needs_update(entry));
        let wanted = wanted.map(|entry| entry.incarnation).collect();
        let body = message::MembershipBody::SyncAnswer { wanted };
        self.send_updates(address, body, updates, actions);
    }

    /// Returns true if an entry of a sync request is newer than the local record.
    ///
    /// Entries of unknown incarnations, or of members declared dead while isolated, are needed only
    /// if they are alive.
    fn needs_update(&self, entry: &message::SyncEntry) -> bool {
        if entry.incarnation == self.incarnation {
            return false;
        }
        match self.roster.get(entry.incarnation) {
            None => entry.health == update::UpdateHealth::Alive,
            Some(record) if is_dead_unconfirmed(record) => {
                entry.health == update::UpdateHealth::Alive
            }
            Some(record) => (entry.sequence, entry.health) > precedence_of(record),
        }
    }

    /// Creates an update that always includes the profile, for receivers that may not know
    /// the incarnation.
    fn full_update(&self, incarnation: incarnation::Incarnation) -> Option<update::MemberUpdate> {
        let mut update = self.update_of(incarnation)?;
        if let Some(record) = self.roster.get(incarnation) {
            update.profile = Some(std::sync::Arc::clone(&record.profile));
        }
        Some(update)
    }

    /// Sends a message with queued updates.
    ///
    /// `receiver` is `None` if the incarnation at the address is not known.
    pub(crate) fn send(
        &mut self,
        receiver: Option<incarnation::Incarnation>,
        address: net::SocketAddr,
        body: message::MembershipBody,
        actions: &mut ActionList,
    ) {
        let mut incarnations =
            self.gossip.next_batch(self.settings.updates_per_message, self.max_sends());
        // If the receiver is suspected or dead, both gossiped as a suspicion, its update goes first
        // so that it can refute.
        let known_receiver =
            receiver.and_then(|receiver| Some((receiver, self.roster.get(receiver)?)));
        if let Some((receiver, record)) = known_receiver
            && record.gossip_health() == update::UpdateHealth::Suspect
        {
            incarnations.retain(|incarnation| *incarnation != receiver);
            incarnations.insert(0, receiver);
        }
        let updates = incarnations
            .into_iter()
            .filter_map(|incarnation| self.update_of(incarnation))
            .collect();
        self.send_updates(address, body, updates, actions);
    }

    fn send_updates(
        &self,
        address: net::SocketAddr,
        body: message::MembershipBody,
        updates: Vec<update::MemberUpdate>,
        actions: &mut ActionList,
    ) {
        let header = message::SenderHeader {
            sequence: self.sequence,
            phase: self.phase,
            digest: self.digest(),
        };
        let message = message::MembershipMessage { header, body, updates };
        actions.push(keeper::MembershipAction::Send { address, message });
    }

    /// Returns how often each update is sent, which grows with the logarithm of the cluster's size.
    fn max_sends(&self) -> u32 {
        let count = self.roster.present().count() + 1;
        self.settings.sends_per_doubling * (count.ilog2() + 1)
    }

    /// Returns a digest of the sequence numbers and phases of the local instance and of all present
    /// members, in any order.
    ///
    /// It leaves out profiles, which are constant for one incarnation, and health: alive and
    /// suspected members count alike, dead and gone ones do not count.
    fn digest(&self) -> u64 {
        let own = hash_state(self.incarnation, self.sequence, self.phase);
        self.roster.present().fold(own, |digest, (incarnation, record)| {
            digest ^ hash_state(incarnation, record.sequence, record.phase)
        })
    }
}

/// Returns true if the record's member was declared dead while the local instance was isolated.
///
/// The local instance received no messages then, not even a refutation, so the member may well be
/// running. A sync therefore does not pass the verdict on, and a report that the member is alive
/// replaces it.
fn is_dead_unconfirmed(record: &record::MemberRecord) -> bool {
    matches!(record.health, record::RecordHealth::Dead { while_isolated: true, .. })
}

/// Returns the key by which two records of one incarnation are ordered; the greater is the newer.
fn precedence_of(record: &record::MemberRecord) -> (u32, update::UpdateHealth) {
    (record.sequence, record.gossip_health())
}

/// Hashes a member's state with the finalizer of SplitMix64.
///
/// The phase takes the two lowest bits of the state, which hold at most four phases.
fn hash_state(
    incarnation: incarnation::Incarnation,
    sequence: u32,
    phase: member::MemberPhase,
) -> u64 {
    let state = u64::from(sequence) << 2 | phase as u64;
    let mut mixed = incarnation.as_u64() ^ state.wrapping_mul(DIGEST_MULTIPLIER);
    mixed = (mixed ^ mixed >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ mixed >> 31
}
