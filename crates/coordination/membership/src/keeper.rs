//! The membership protocol's state machine.
//!
//! Invariants:
//!
//! - A pause of the local process longer than the pause threshold counts
//!   neither as silence of others nor towards a suspicion timeout.
//! - Neither the number of messages per event nor their size grows with the
//!   fleet, except for full syncs.
//! - Gossip about another instance always carries the state that the
//!   [`roster`] holds after merging.

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

/// Number of addresses that an instance without known members contacts at a time.
const JOIN_CONTACTS: usize = 2;
/// Number of members that are notified directly of a change of the local instance's phase.
const PHASE_CHANGE_FANOUT: usize = 8;

/// Input of the keeper.
#[derive(Debug, Clone)]
pub enum MembershipEvent {
    /// Time has passed; must be sent several times a second.
    Tick,
    /// The platform's instance list contains these peer addresses.
    Listed(Vec<net::SocketAddr>),
    /// An authenticated peer sent a message.
    Received {
        /// Incarnation of the sender.
        from: incarnation::Incarnation,
        /// Peer address of the sender.
        address: net::SocketAddr,
        /// The received message.
        message: message::MembershipMessage,
    },
    /// The local instance accepts requests from now on.
    Serve,
    /// The local instance accepts no new requests from now on.
    Leave,
    /// The local instance stops now.
    Stop,
}

/// Action that the caller executes for the keeper.
#[derives::record]
pub enum MembershipAction {
    /// Send a message to a peer address.
    Send {
        /// Peer address of the receiver.
        address: net::SocketAddr,
        /// Message to send.
        message: message::MembershipMessage,
    },
    /// Close the link to a peer address, since it may be broken.
    ResetLink {
        /// Peer address whose link is closed.
        address: net::SocketAddr,
    },
    /// Publish the new view.
    ViewChanged,
}

/// Maintains the local instance's view of all members.
#[derive(Debug)]
pub struct MembershipKeeper {
    pub(crate) settings: settings::MembershipSettings,
    pub(crate) own_profile: Arc<member::MemberProfile>,
    /// Incarnation of the local instance.
    pub(crate) incarnation: incarnation::Incarnation,
    /// Sequence number of the local instance, raised by each new phase and each refutation.
    pub(crate) sequence: u32,
    /// Lifecycle phase of the local instance.
    pub(crate) phase: member::MemberPhase,
    /// Whether the local instance is gossiped as gone and ignores messages; its phase stays
    /// `Leaving`.
    pub(crate) stopped: bool,
    pub(crate) roster: roster::MemberRoster,
    pub(crate) gossip: gossip::GossipQueue,
    pub(crate) probes: probe::ProbeTable,
    /// Start of the time for which received digests have differed from the local one, without an
    /// equal one in between.
    pub(crate) digest_mismatch_since: Option<time::Timestamp>,
    /// Earliest time at which a received message may cause another sync request.
    pub(crate) next_sync: time::Timestamp,
    /// Whether the view has changed since the last [`MembershipAction::ViewChanged`].
    pub(crate) view_changed: bool,
    listed_addresses: Vec<net::SocketAddr>,
    /// Members that are still to be probed in this round, in random order.
    pub(crate) probe_order: Vec<incarnation::Incarnation>,
    next_probe: time::Timestamp,
    next_contact: time::Timestamp,
    last_received: time::Timestamp,
    last_tick: time::Timestamp,
}

impl MembershipKeeper {
    /// Creates a keeper that knows only its own instance.
    #[must_use]
    pub fn new(
        own_profile: member::MemberProfile,
        incarnation: incarnation::Incarnation,
        settings: settings::MembershipSettings,
        now: time::Timestamp,
    ) -> Self {
        let mut gossip = gossip::GossipQueue::default();
        gossip.push(incarnation);
        Self {
            settings,
            own_profile: Arc::new(own_profile),
            incarnation,
            sequence: 0,
            phase: member::MemberPhase::Starting,
            stopped: false,
            roster: roster::MemberRoster::default(),
            gossip,
            probes: probe::ProbeTable::default(),
            digest_mismatch_since: None,
            next_sync: now,
            view_changed: true,
            listed_addresses: Vec::new(),
            probe_order: Vec::new(),
            next_probe: now,
            next_contact: now,
            last_received: now,
            last_tick: now,
        }
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(
        &mut self,
        event: MembershipEvent,
        now: time::Timestamp,
        rng: &mut impl rand::Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        match event {
            MembershipEvent::Tick => self.tick(now, rng, actions),
            MembershipEvent::Listed(addresses) => self.listed_addresses = addresses,
            MembershipEvent::Received { from, address, message } => {
                self.last_received = now;
                self.handle_message(from, address, message, now, actions);
            }
            MembershipEvent::Serve => self.advance_to(member::MemberPhase::Serving, rng, actions),
            MembershipEvent::Leave => self.advance_to(member::MemberPhase::Leaving, rng, actions),
            MembershipEvent::Stop => self.stop(rng, actions),
        }
        if std::mem::take(&mut self.view_changed) {
            actions.push(MembershipAction::ViewChanged);
        }
    }

    /// Returns the members that are neither dead nor gone, including the local instance.
    #[must_use]
    pub fn view(&self) -> view::MemberView {
        let state = match self.phase {
            member::MemberPhase::Starting => member::MemberState::Starting,
            member::MemberPhase::Serving => member::MemberState::Live,
            member::MemberPhase::Leaving => member::MemberState::Leaving,
        };
        let mut members = vec![member::Member::new(&self.own_profile, self.incarnation, state)];
        members.extend(
            self.roster.iter().filter_map(|(incarnation, record)| record.to_member(incarnation)),
        );
        let dead = self.roster.iter().filter(|(_, record)| record.is_dead());
        let dead_regions = dead.map(|(_, record)| Arc::clone(&record.profile.region));
        view::MemberView::new(members).with_regions(dead_regions)
    }

    /// Returns diagnostic state for operators.
    #[must_use]
    pub fn dump(&self, now: time::Timestamp) -> dump::MembershipDump {
        let absent = self.roster.iter();
        let absent = absent
            .filter_map(|(incarnation, record)| dump::AbsentMember::new(incarnation, record, now));
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

    /// Returns true if no message has arrived for longer than the isolation timeout although
    /// other members are known.
    #[must_use]
    pub fn is_isolated(&self, now: time::Timestamp) -> bool {
        let silence = now.since(self.last_received);
        silence > self.settings.isolation_timeout && self.roster.present().next().is_some()
    }

    fn tick(
        &mut self,
        now: time::Timestamp,
        rng: &mut impl rand::Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.compensate_pause(now);
        self.advance_probes(now, rng, actions);
        self.expire_suspicions(now);
        let settings = self.settings;
        self.roster.remove_expired(settings.dead_retention, settings.gone_retention, now);
        if now >= self.next_probe {
            self.next_probe = now + jitter(self.settings.probe_period, rng);
            self.probe_next(now, rng, actions);
        }
        if now >= self.next_contact {
            self.try_contacts(now, rng, actions);
        }
    }

    /// If ticks stopped for longer than the pause threshold, drops all probes and excludes that
    /// time from the suspicion and isolation timeouts.
    fn compensate_pause(&mut self, now: time::Timestamp) {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        if gap > self.settings.pause_threshold && self.settings.compensates_pause {
            self.probes.clear();
            self.roster.extend_suspicions(gap);
            self.last_received += gap;
        }
    }

    /// Declares dead the members whose suspicion has timed out; the timeout is longer while the
    /// local instance is isolated, since it could not receive a refutation.
    fn expire_suspicions(&mut self, now: time::Timestamp) {
        let is_isolated = self.is_isolated(now);
        let factor = if is_isolated { self.settings.isolation_factor } else { 1 };
        let suspicion_timeout = self.settings.suspicion_timeout * factor;
        self.view_changed |= self.roster.expire_suspicions(suspicion_timeout, is_isolated, now);
    }

    /// Sends a message to addresses at which no present member is known.
    ///
    /// An instance without known members requests a sync from a few of them; any other instance
    /// pings one.
    fn try_contacts(
        &mut self,
        now: time::Timestamp,
        rng: &mut impl rand::Rng,
        actions: &mut Vec<MembershipAction>,
    ) {
        let has_no_members = self.roster.present().next().is_none();
        let period =
            if has_no_members { self.settings.probe_period } else { self.settings.contact_period };
        self.next_contact = now + jitter(period, rng);
        let contacts = self.contacts();
        if has_no_members {
            for address in contacts.into_iter().sample(rng, JOIN_CONTACTS) {
                self.request_sync(None, address, actions);
            }
        } else if let Some(address) = contacts.into_iter().choose(rng) {
            let known =
                self.roster.iter().find(|(_, record)| record.profile.peer_address == address);
            let target =
                known.filter(|(_, record)| record.is_dead()).map(|(incarnation, _)| incarnation);
            // Probes are numbered from 1, so the acknowledgement of number 0 completes no probe;
            // its header alone shows that the instance runs.
            let body = message::MembershipBody::Ping { number: 0, target };
            self.send(target, address, body, actions);
        }
    }

    /// Returns the listed addresses and those of dead members at which no present member is
    /// known.
    fn contacts(&self) -> Vec<net::SocketAddr> {
        let dead = self.roster.iter().filter(|(_, record)| record.is_dead());
        let mut contacts = self.listed_addresses.clone();
        contacts.extend(dead.map(|(_, record)| record.profile.peer_address));
        contacts.retain(|address| *address != self.own_profile.peer_address);
        contacts.sort_unstable();
        contacts.dedup();
        let present: std::collections::HashSet<_> =
            self.roster.present().map(|(_, record)| record.profile.peer_address).collect();
        contacts.retain(|address| !present.contains(address));
        contacts
    }

    /// Advances to a later phase and notifies other members.
    fn advance_to(
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
        self.notify_sample(rng, actions);
    }

    fn stop(&mut self, rng: &mut impl rand::Rng, actions: &mut Vec<MembershipAction>) {
        // The sequence number stays, since gone overrides any other health at any number.
        self.phase = member::MemberPhase::Leaving;
        self.stopped = true;
        self.gossip.push(self.incarnation);
        self.notify_sample(rng, actions);
    }

    /// Sends queued updates to a random sample of alive members.
    fn notify_sample(&mut self, rng: &mut impl rand::Rng, actions: &mut Vec<MembershipAction>) {
        for (incarnation, address) in self.sample_alive(PHASE_CHANGE_FANOUT, rng) {
            self.send(Some(incarnation), address, message::MembershipBody::UpdatesOnly, actions);
        }
    }

    /// Returns up to `limit` random members that are alive, with their peer addresses.
    pub(crate) fn sample_alive(
        &self,
        limit: usize,
        rng: &mut impl rand::Rng,
    ) -> Vec<(incarnation::Incarnation, net::SocketAddr)> {
        let present = self.roster.present();
        let alive = present.filter(|(_, record)| record.health == record::RecordHealth::Alive);
        alive
            .map(|(incarnation, record)| (incarnation, record.profile.peer_address))
            .sample(rng, limit)
    }

    /// Returns the update that is gossiped about an incarnation, or `None` if it is not known.
    pub(crate) fn update_of(
        &self,
        incarnation: incarnation::Incarnation,
    ) -> Option<update::MemberUpdate> {
        if incarnation != self.incarnation {
            return self.roster.get(incarnation).map(|record| record.to_update(incarnation));
        }
        let health =
            if self.stopped { update::UpdateHealth::Gone } else { update::UpdateHealth::Alive };
        Some(update::MemberUpdate {
            incarnation,
            sequence: self.sequence,
            health,
            phase: self.phase,
            profile: Some(Arc::clone(&self.own_profile)),
        })
    }
}

/// Varies a period by up to an eighth either way, so that instances do not act in lockstep.
fn jitter(period: std::time::Duration, rng: &mut impl rand::Rng) -> std::time::Duration {
    period.mul_f64(rng.random_range(0.875..1.125))
}
