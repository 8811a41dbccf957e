//! How the keeper makes and answers messages.

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

/// Seed of the digest's mixing function.
const DIGEST_SEED: u64 = 0x9e37_79b9_7f4a_7c15;

type ActionList = Vec<keeper::MembershipAction>;

impl keeper::MembershipKeeper {
    pub(crate) fn receive(
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
        let own_sequence = self.sequence;
        let is_synced = matches!(message.body, message::MembershipBody::SyncAnswer { .. });
        let was_present = self.roster.get(from).is_some_and(record::MemberRecord::is_present);
        self.take_header(from, message.header, now);
        for update in &message.updates {
            self.take_update(update, is_synced, now);
        }
        let is_present = self.roster.get(from).is_some_and(record::MemberRecord::is_present);
        let has_refuted = self.sequence != own_sequence;
        self.answer(from, address, message.body, has_refuted, now, actions);
        if was_present && is_present {
            self.compare_digest(from, address, message.header.digest, now, actions);
        } else if now >= self.next_sync && !is_synced {
            self.next_sync = now + self.settings.sync_gap;
            self.request_sync(Some(from), address, actions);
        }
    }

    fn take_header(
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
        self.take_update(&update, false, now);
    }

    fn take_update(&mut self, update: &update::MemberUpdate, synced: bool, now: time::Timestamp) {
        if update.incarnation == self.incarnation {
            self.refute(update.health, update.sequence);
            return;
        }
        let profile = update.profile.as_ref();
        let is_replaced = profile.is_some_and(|profile| profile.peers == self.own.peers);
        let is_known = self.roster.get(update.incarnation).is_some();
        let changed = match profile {
            Some(profile) if is_replaced => self.roster.bury(update.incarnation, profile, now),
            _ => self.roster.apply(update, now),
        };
        if changed {
            self.view_changed = true;
            if is_known || is_replaced || !synced {
                self.gossip.push(update.incarnation);
            }
        }
    }

    fn refute(&mut self, health: update::UpdateHealth, sequence: u32) {
        let is_doubted = health == update::UpdateHealth::Suspect && sequence >= self.sequence;
        if is_doubted && self.settings.refutes {
            self.sequence = sequence + 1;
            self.gossip.push(self.incarnation);
        }
    }

    fn answer(
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
                self.answer_ping(from, address, number, target, now, actions);
            }
            message::MembershipBody::Ack { number, subject } => {
                self.take_ack(number, subject, actions);
            }
            message::MembershipBody::PingRequest { number, target, address: target_address } => {
                let stage = probe::ProbeStage::Relayed { number, asker: address };
                let deadline = now + self.settings.indirect_timeout;
                let number = self.probes.add(target, stage, deadline);
                let body = message::MembershipBody::Ping { number, target: Some(target) };
                self.send(Some(target), target_address, body, actions);
            }
            message::MembershipBody::SyncRequest { entries } => {
                self.answer_sync(address, &entries, actions);
            }
            message::MembershipBody::SyncAnswer { wanted } if !wanted.is_empty() => {
                let updates = wanted.iter().filter_map(|run| self.whole_update(*run)).collect();
                self.send_updates(address, message::MembershipBody::Note, updates, actions);
            }
            message::MembershipBody::SyncAnswer { .. } | message::MembershipBody::Note => {
                if has_refuted {
                    self.send(Some(from), address, message::MembershipBody::Note, actions);
                }
            }
        }
    }

    fn answer_ping(
        &mut self,
        from: incarnation::Incarnation,
        address: net::SocketAddr,
        number: u64,
        target: Option<incarnation::Incarnation>,
        now: time::Timestamp,
        actions: &mut ActionList,
    ) {
        let replaced = target.filter(|target| *target != self.incarnation);
        if let Some(replaced) = replaced {
            let own = std::sync::Arc::clone(&self.own);
            self.view_changed |= self.roster.bury(replaced, &own, now);
            self.gossip.push(replaced);
        }
        let body = message::MembershipBody::Ack { number, subject: self.incarnation };
        self.send(Some(from), address, body, actions);
    }

    fn take_ack(
        &mut self,
        number: u64,
        subject: incarnation::Incarnation,
        actions: &mut ActionList,
    ) {
        let Some(pending) = self.probes.answer(number) else { return };
        if let probe::ProbeStage::Relayed { number, asker } = pending.stage {
            let body = message::MembershipBody::Ack { number, subject };
            self.send(None, asker, body, actions);
        }
    }

    fn compare_digest(
        &mut self,
        from: incarnation::Incarnation,
        address: net::SocketAddr,
        digest: u64,
        now: time::Timestamp,
        actions: &mut ActionList,
    ) {
        if digest == self.digest() {
            self.mismatch_since = None;
            return;
        }
        let since = *self.mismatch_since.get_or_insert(now);
        if now.since(since) >= self.settings.sync_patience && now >= self.next_sync {
            self.mismatch_since = Some(now);
            self.next_sync = now + self.settings.sync_gap;
            self.request_sync(Some(from), address, actions);
        }
    }

    pub(crate) fn request_sync(
        &mut self,
        to: Option<incarnation::Incarnation>,
        address: net::SocketAddr,
        actions: &mut ActionList,
    ) {
        let judged = self.roster.iter().filter(|(_, record)| !is_weak(record));
        let entries = judged.map(|(run, record)| message::SyncEntry {
            incarnation: run,
            sequence: record.sequence,
            health: record.told_health(),
        });
        let body = message::MembershipBody::SyncRequest { entries: entries.collect() };
        self.gossip.push(self.incarnation);
        self.send(to, address, body, actions);
    }

    fn answer_sync(
        &mut self,
        address: net::SocketAddr,
        entries: &[message::SyncEntry],
        actions: &mut ActionList,
    ) {
        let theirs: collections::BTreeMap<_, _> =
            entries.iter().map(|entry| (entry.incarnation, entry)).collect();
        if let Some(entry) = theirs.get(&self.incarnation) {
            self.refute(entry.health, entry.sequence);
        }
        let lacking = self.roster.iter().filter(|(run, record)| match theirs.get(run) {
            None => record.is_present(),
            Some(entry) => !is_weak(record) && rank_of(record) > (entry.sequence, entry.health),
        });
        let lacking: Vec<_> = lacking.map(|(run, _)| run).chain([self.incarnation]).collect();
        let updates = lacking.into_iter().filter_map(|run| self.whole_update(run)).collect();
        let wanted = entries.iter().filter(|entry| self.lacks(entry));
        let wanted = wanted.map(|entry| entry.incarnation).collect();
        let body = message::MembershipBody::SyncAnswer { wanted };
        self.send_updates(address, body, updates, actions);
    }

    fn lacks(&self, entry: &message::SyncEntry) -> bool {
        if entry.incarnation == self.incarnation {
            return false;
        }
        match self.roster.get(entry.incarnation) {
            None => entry.health == update::UpdateHealth::Alive,
            Some(record) if is_weak(record) => entry.health == update::UpdateHealth::Alive,
            Some(record) => (entry.sequence, entry.health) > rank_of(record),
        }
    }

    /// Makes an update with the profile, for those who may not know the run.
    fn whole_update(&self, run: incarnation::Incarnation) -> Option<update::MemberUpdate> {
        let mut update = self.update_of(run)?;
        if let Some(record) = self.roster.get(run) {
            update.profile = Some(std::sync::Arc::clone(&record.profile));
        }
        Some(update)
    }

    pub(crate) fn send(
        &mut self,
        to: Option<incarnation::Incarnation>,
        address: net::SocketAddr,
        body: message::MembershipBody,
        actions: &mut ActionList,
    ) {
        let mut runs = self.gossip.take(self.settings.updates_per_message, self.max_sends());
        // A doubted receiver is told first, so that it can refute.
        let doubted = to.and_then(|to| Some((to, self.roster.get(to)?)));
        if let Some((to, record)) = doubted
            && record.told_health() == update::UpdateHealth::Suspect
        {
            runs.retain(|run| *run != to);
            runs.insert(0, to);
        }
        let updates = runs.into_iter().filter_map(|run| self.update_of(run)).collect();
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

    fn max_sends(&self) -> u32 {
        let known = self.roster.present().count() + 1;
        self.settings.sends_per_doubling * (known.ilog2() + 1)
    }

    fn digest(&self) -> u64 {
        let own = mix(self.incarnation, self.sequence, self.phase);
        self.roster
            .present()
            .fold(own, |digest, (run, record)| digest ^ mix(run, record.sequence, record.phase))
    }
}

/// Tells whether a death was concluded while this instance heard from nobody.
fn is_weak(record: &record::MemberRecord) -> bool {
    matches!(record.health, record::RecordHealth::Dead { alone: true, .. })
}

fn rank_of(record: &record::MemberRecord) -> (u32, update::UpdateHealth) {
    (record.sequence, record.told_health())
}

fn mix(run: incarnation::Incarnation, sequence: u32, phase: member::MemberPhase) -> u64 {
    let state = u64::from(sequence) << 2 | phase as u64;
    let mut mixed = run.as_u64() ^ state.wrapping_mul(DIGEST_SEED);
    mixed = (mixed ^ mixed >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ mixed >> 31
}
