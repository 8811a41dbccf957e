//! The decisions on membership.
//!
//! Invariants: no judgement follows from time that this process slept through,
//! work per tick and message does not grow with the fleet except for
//! comparisons, and every update that is passed on was won by [`roster`].

use std::net;
use std::sync::Arc;

use marjoramwing_derives as derives;
use marjoramwing_entity::incarnation;
use marjoramwing_entity::time;
use rand::RngExt;
use rand::seq::IteratorRandom;

use crate::dump;
use crate::gossip;
use crate::member;
use crate::message;
use crate::probe;
use crate::record;
use crate::roster;
use crate::settings;
use crate::update;
use crate::view;

/// Instances that are asked at once by one that knows no other.
const JOIN_CONTACTS: usize = 2;
/// Instances that are told at once of a change of the own phase.
const PHASE_TELLS: usize = 8;

/// What happened.
#[derive(Debug, Clone)]
pub enum MembershipEvent {
    /// Time has passed; due several times a second.
    Tick,
    /// The platform's list names these peer addresses.
    Listed(Vec<net::SocketAddr>),
    /// A proven peer sent a message.
    Received {
        /// Run of the sender.
        from: incarnation::Incarnation,
        /// Peer address of the sender.
        address: net::SocketAddr,
        /// What it sent.
        message: message::MembershipMessage,
    },
    /// This instance takes requests from now on.
    Serve,
    /// This instance takes no new requests from now on.
    Leave,
    /// This instance stops now.
    Stop,
}

/// What is to be done.
#[derives::record]
pub enum MembershipAction {
    /// Send a message to a peer address.
    Send {
        /// Peer address.
        address: net::SocketAddr,
        /// What to send.
        message: message::MembershipMessage,
    },
    /// Close the link to a peer address, which may have gone silent.
    ResetLink {
        /// Peer address.
        address: net::SocketAddr,
    },
    /// Tell those who wait that the view has changed.
    ViewChanged,
}

/// Keeps the members as one instance sees them.
#[derive(Debug)]
pub struct MembershipKeeper {
    pub(crate) settings: settings::MembershipSettings,
    pub(crate) own: Arc<member::MemberProfile>,
    pub(crate) incarnation: incarnation::Incarnation,
    pub(crate) sequence: u32,
    pub(crate) phase: member::MemberPhase,
    pub(crate) stopped: bool,
    pub(crate) roster: roster::MemberRoster,
    pub(crate) gossip: gossip::GossipQueue,
    pub(crate) probes: probe::ProbeTable,
    pub(crate) mismatch_since: Option<time::Timestamp>,
    pub(crate) next_sync: time::Timestamp,
    pub(crate) view_changed: bool,
    listed: Vec<net::SocketAddr>,
    pub(crate) round: Vec<incarnation::Incarnation>,
    next_probe: time::Timestamp,
    next_contact: time::Timestamp,
    last_heard: time::Timestamp,
    last_tick: time::Timestamp,
}

impl MembershipKeeper {
    /// Makes a keeper that knows only its own instance.
    #[must_use]
    pub fn new(
        own: member::MemberProfile,
        incarnation: incarnation::Incarnation,
        settings: settings::MembershipSettings,
        now: time::Timestamp,
    ) -> Self {
        let mut gossip = gossip::GossipQueue::default();
        gossip.push(incarnation);
        Self {
            settings,
            own: Arc::new(own),
            incarnation,
            sequence: 0,
            phase: member::MemberPhase::Starting,
            stopped: false,
            roster: roster::MemberRoster::default(),
            gossip,
            probes: probe::ProbeTable::default(),
            mismatch_since: None,
            next_sync: now,
            view_changed: true,
            listed: Vec::new(),
            round: Vec::new(),
            next_probe: now,
            next_contact: now,
            last_heard: now,
            last_tick: now,
        }
    }

    /// Takes an event in and appends what is to be done.
    pub fn handle(
        &mut self,
        event: MembershipEvent,
        now: time::Timestamp,
        rng: &mut impl rand::Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        match event {
            MembershipEvent::Tick => self.tick(now, rng, actions),
            MembershipEvent::Listed(addresses) => self.listed = addresses,
            MembershipEvent::Received { from, address, message } => {
                self.last_heard = now;
                self.receive(from, address, message, now, actions);
            }
            MembershipEvent::Serve => self.advance(member::MemberPhase::Serving, rng, actions),
            MembershipEvent::Leave => self.advance(member::MemberPhase::Leaving, rng, actions),
            MembershipEvent::Stop => self.stop(rng, actions),
        }
        if std::mem::take(&mut self.view_changed) {
            actions.push(MembershipAction::ViewChanged);
        }
    }

    /// Returns the members that are neither dead nor gone, with this one.
    #[must_use]
    pub fn view(&self) -> view::MemberView {
        let state = match self.phase {
            member::MemberPhase::Starting => member::MemberState::Starting,
            member::MemberPhase::Serving => member::MemberState::Live,
            member::MemberPhase::Leaving => member::MemberState::Leaving,
        };
        let mut members = vec![member::Member::new(&self.own, self.incarnation, state)];
        members.extend(self.roster.iter().filter_map(|(run, record)| record.to_member(run)));
        let dead = self.roster.iter().filter(|(_, record)| record.is_dead());
        let dead_regions = dead.map(|(_, record)| Arc::clone(&record.profile.region));
        view::MemberView::new(members).with_regions(dead_regions)
    }

    /// Returns the keeper's state for operators.
    #[must_use]
    pub fn dump(&self, now: time::Timestamp) -> dump::MembershipDump {
        let absent = self.roster.iter();
        let absent = absent.filter_map(|(run, record)| dump::AbsentMember::new(run, record, now));
        let mut absent: Vec<_> = absent.collect();
        let absent_count = absent.len();
        absent.truncate(dump::MAX_ABSENT);
        dump::MembershipDump {
            sequence: self.sequence,
            isolated: self.is_isolated(now),
            queued_updates: self.gossip.len(),
            unanswered_contacts: self.contacts().len(),
            absent_count,
            absent,
        }
    }

    /// Tells whether nothing is heard from anyone, though others are known.
    #[must_use]
    pub fn is_isolated(&self, now: time::Timestamp) -> bool {
        let silence = now.since(self.last_heard);
        silence > self.settings.isolation && self.roster.present().next().is_some()
    }

    fn tick(
        &mut self,
        now: time::Timestamp,
        rng: &mut impl rand::Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.forgive_pause(now);
        self.advance_probes(now, rng, actions);
        self.expire_suspicions(now);
        let settings = self.settings;
        self.roster.forget_old(settings.dead_memory, settings.gone_memory, now);
        if now >= self.next_probe {
            self.next_probe = now + jitter(self.settings.probe_period, rng);
            self.probe_next(now, rng, actions);
        }
        if now >= self.next_contact {
            self.try_contacts(now, rng, actions);
        }
    }

    fn forgive_pause(&mut self, now: time::Timestamp) {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        if gap > self.settings.pause_limit && self.settings.forgives_pause {
            self.probes.clear();
            self.roster.forgive_pause(gap);
            self.last_heard += gap;
        }
    }

    fn expire_suspicions(&mut self, now: time::Timestamp) {
        let alone = self.is_isolated(now);
        let factor = if alone { self.settings.isolation_factor } else { 1 };
        let suspicion = self.settings.suspicion * factor;
        self.view_changed |= self.roster.expire_suspicions(suspicion, alone, now);
    }

    fn try_contacts(
        &mut self,
        now: time::Timestamp,
        rng: &mut impl rand::Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        let knows_none = self.roster.present().next().is_none();
        let period =
            if knows_none { self.settings.probe_period } else { self.settings.contact_period };
        self.next_contact = now + jitter(period, rng);
        let contacts = self.contacts();
        if knows_none {
            for address in contacts.into_iter().sample(rng, JOIN_CONTACTS) {
                self.request_sync(None, address, actions);
            }
        } else if let Some(address) = contacts.into_iter().choose(rng) {
            let known = self.roster.iter().find(|(_, record)| record.profile.peers == address);
            let target = known.filter(|(_, record)| record.is_dead()).map(|(run, _)| run);
            let body = message::MembershipBody::Ping { number: 0, target };
            self.send(target, address, body, actions);
        }
    }

    /// Returns the addresses at which nobody present is known.
    fn contacts(&self) -> Vec<net::SocketAddr> {
        let dead = self.roster.iter().filter(|(_, record)| record.is_dead());
        let mut contacts = self.listed.clone();
        contacts.extend(dead.map(|(_, record)| record.profile.peers));
        contacts.retain(|address| *address != self.own.peers);
        contacts.sort_unstable();
        contacts.dedup();
        let present: std::collections::HashSet<_> =
            self.roster.present().map(|(_, record)| record.profile.peers).collect();
        contacts.retain(|address| !present.contains(address));
        contacts
    }

    /// Goes on to a later phase and tells it.
    fn advance(
        &mut self,
        phase: member::MemberPhase,
        rng: &mut impl rand::Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        if phase <= self.phase {
            return;
        }
        self.phase = phase;
        self.sequence += 1;
        self.gossip.push(self.incarnation);
        self.view_changed = true;
        self.tell_some(rng, actions);
    }

    fn stop(&mut self, rng: &mut impl rand::Rng, actions: &mut Vec<MembershipAction>) {
        self.phase = member::MemberPhase::Leaving;
        self.stopped = true;
        self.gossip.push(self.incarnation);
        self.tell_some(rng, actions);
    }

    fn tell_some(&mut self, rng: &mut impl rand::Rng, actions: &mut Vec<MembershipAction>) {
        for (run, address) in self.pick_present(PHASE_TELLS, rng) {
            self.send(Some(run), address, message::MembershipBody::Note, actions);
        }
    }

    pub(crate) fn pick_present(
        &self,
        most: usize,
        rng: &mut impl rand::Rng,
    ) -> Vec<(incarnation::Incarnation, net::SocketAddr)> {
        let present = self.roster.present();
        let alive = present.filter(|(_, record)| record.health == record::RecordHealth::Alive);
        alive.map(|(run, record)| (run, record.profile.peers)).sample(rng, most)
    }

    /// Returns what others are told of a run.
    pub(crate) fn update_of(&self, run: incarnation::Incarnation) -> Option<update::MemberUpdate> {
        if run != self.incarnation {
            return self.roster.get(run).map(|record| record.to_update(run));
        }
        let health =
            if self.stopped { update::UpdateHealth::Gone } else { update::UpdateHealth::Alive };
        Some(update::MemberUpdate {
            incarnation: run,
            sequence: self.sequence,
            health,
            phase: self.phase,
            profile: Some(Arc::clone(&self.own)),
        })
    }
}

/// Spreads a period by a quarter, so that instances do not act in step.
fn jitter(period: std::time::Duration, rng: &mut impl rand::Rng) -> std::time::Duration {
    period.mul_f64(rng.random_range(0.875..1.125))
}
