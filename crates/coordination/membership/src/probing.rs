//! The keeper's failure detection.
//!
//! A member is suspected only if it answers neither a direct nor the following
//! indirect probe.

use std::net;

use marjoramwing_entity::incarnation;
use marjoramwing_entity::time;
use rand::seq::SliceRandom;

use crate::keeper;
use crate::message;
use crate::probe;

impl keeper::MembershipKeeper {
    /// Probes the next member of the current round.
    ///
    /// A round covers the members that are present when it starts, each once, in random order.
    pub(crate) fn probe_next(
        &mut self,
        now: time::Timestamp,
        rng: &mut impl rand::Rng,
        actions: &mut Vec<keeper::MembershipAction>,
    ) {
        if self.probe_order.is_empty() {
            self.probe_order = self.roster.present().map(|(incarnation, _)| incarnation).collect();
            self.probe_order.shuffle(rng);
        }
        while let Some(target) = self.probe_order.pop() {
            let Some(record) = self.roster.get(target) else { continue };
            if record.is_present() {
                let address = record.profile.peer_address;
                let deadline = now + self.settings.direct_timeout;
                let number = self.probes.add(target, probe::ProbeStage::Direct, deadline);
                self.ping(target, address, number, actions);
                return;
            }
        }
    }

    /// Moves each probe whose stage has timed out to its next stage.
    pub(crate) fn advance_probes(
        &mut self,
        now: time::Timestamp,
        rng: &mut impl rand::Rng,
        actions: &mut Vec<keeper::MembershipAction>,
    ) {
        for expired in self.probes.take_expired(now) {
            match expired.stage {
                probe::ProbeStage::Direct => self.probe_indirectly(expired, now, rng, actions),
                probe::ProbeStage::Indirect => self.suspect_member(expired.target, now, actions),
                // The requester has its own timeout for the probe.
                probe::ProbeStage::Relayed { .. } => {}
            }
        }
    }

    /// Pings the target again on a new link, and asks other members to ping it.
    fn probe_indirectly(
        &mut self,
        mut pending: probe::PendingProbe,
        now: time::Timestamp,
        rng: &mut impl rand::Rng,
        actions: &mut Vec<keeper::MembershipAction>,
    ) {
        let target = pending.target;
        let Some(record) = self.roster.get(target) else { return };
        let address = record.profile.peer_address;
        pending.stage = probe::ProbeStage::Indirect;
        pending.deadline = now + self.settings.indirect_timeout;
        self.probes.reinsert(pending);
        actions.push(keeper::MembershipAction::ResetLink { address });
        self.ping(target, address, pending.number, actions);
        for (relay, relay_address) in self.sample_alive(self.settings.indirect_probes, rng) {
            if relay != target {
                let number = pending.number;
                let body = message::MembershipBody::PingRequest { number, target, address };
                self.send(Some(relay), relay_address, body, actions);
            }
        }
    }

    /// Suspects a member and notifies it, so that it can refute the suspicion.
    fn suspect_member(
        &mut self,
        target: incarnation::Incarnation,
        now: time::Timestamp,
        actions: &mut Vec<keeper::MembershipAction>,
    ) {
        if !self.roster.suspect(target, now) {
            return;
        }
        self.view_changed = true;
        self.gossip.push(target);
        let Some(record) = self.roster.get(target) else { return };
        let address = record.profile.peer_address;
        self.send(Some(target), address, message::MembershipBody::UpdatesOnly, actions);
    }

    fn ping(
        &mut self,
        target: incarnation::Incarnation,
        address: net::SocketAddr,
        number: u64,
        actions: &mut Vec<keeper::MembershipAction>,
    ) {
        let body = message::MembershipBody::Ping { number, target: Some(target) };
        self.send(Some(target), address, body, actions);
    }
}
