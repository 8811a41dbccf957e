//! The state machine of one instance's configuration.
//!
//! It performs no I/O: it receives events and returns actions. Invariants: only
//! tables chosen by [`selector`] are applied, every wait is bounded, and an
//! instance that does not watch the store makes no store call per change.

use std::net;
use std::sync::Arc;
use std::time;

use marjoramwing_entity::incarnation;
use marjoramwing_entity::time as entity_time;
use marjoramwing_membership::view;
use marjoramwing_objects::operation;
use marjoramwing_objects::position;
use marjoramwing_tables::fault;
use marjoramwing_tables::snapshot;
use rand::RngExt;

use crate::assembly;
use crate::candidate;
use crate::configuration;
use crate::dump;
use crate::fetch;
use crate::fleet;
use crate::freshness;
use crate::group;
use crate::message;
use crate::selector;
use crate::settings;
use crate::status;
use crate::store;
use crate::trust;

/// An input of the state machine.
#[derive(Debug, Clone)]
pub enum ConfigurationEvent {
    /// Time has passed; expected several times per second.
    Tick,
    /// The member view has changed.
    Members(Arc<view::MemberView>),
    /// The watch has ended; `None` if the call failed.
    Watched(Option<operation::WatchAnswer>),
    /// The read of a table object has ended.
    Read {
        /// Object that was read.
        object: candidate::TableObject,
        /// Answer of the store.
        answer: operation::StoreAnswer,
    },
    /// An operation on a status object has ended.
    Status {
        /// Table object that the status describes.
        object: candidate::TableObject,
        /// Answer of the store.
        answer: operation::StoreAnswer,
    },
    /// An authenticated peer sent a message.
    Received {
        /// Peer address of the sender.
        address: net::SocketAddr,
        /// Received message.
        message: message::ConfigurationMessage,
    },
}

/// An output of the state machine, to be executed by the caller.
#[derive(Debug, Clone)]
pub enum ConfigurationAction {
    /// Send a message to a peer address.
    Send {
        /// Peer address of the receiver.
        address: net::SocketAddr,
        /// Message to send.
        message: message::ConfigurationMessage,
    },
    /// Watch the store for changes; the answer is returned as [`ConfigurationEvent::Watched`].
    Watch {
        /// Position of the store up to which all changes are known.
        after: position::StorePosition,
        /// Longest time that the store may hold the watch open.
        wait: time::Duration,
    },
    /// Read a table object; the answer is returned as [`ConfigurationEvent::Read`].
    Read(candidate::TableObject),
    /// Read or write a status object; the answer is returned as [`ConfigurationEvent::Status`].
    Status {
        /// Table object that the status describes.
        object: candidate::TableObject,
        /// Operation to perform.
        operation: operation::StoreOperation,
    },
    /// Replace the applied tables.
    Apply(configuration::AppliedTables),
    /// Report to operators that the newest version of an object that was read is not applied.
    Refused(candidate::TableObject),
    /// Change whether the keys are trusted.
    Trust(trust::KeyTrust),
}

/// Configuration state of one instance.
#[derive(Debug)]
pub struct ConfigurationKeeper {
    pub(crate) settings: settings::ConfigurationSettings,
    pub(crate) selector: selector::VersionSelector,
    pub(crate) fleet: fleet::FleetMembers,
    pub(crate) freshness: freshness::StoreFreshness,
    pub(crate) peer_reports: trust::PeerReportTable,
    pub(crate) fetches: fetch::FetchTable,
    pub(crate) assembly: assembly::TextAssembly,
    pub(crate) calls: store::StoreCalls,
    /// Newest versions known to exist in the store or at a peer, which may not have been read yet.
    pub(crate) latest_known: snapshot::TableVersions,
    /// Faults of the store's value of each object if that has no readable version.
    pub(crate) unversioned: [fault::FaultList; candidate::TableObject::ALL.len()],
    pub(crate) pending_digests: Vec<PendingDigest>,
    /// Number of the last digest request that was sent.
    pub(crate) last_digest_number: u64,
    pub(crate) uploads_since_tick: usize,
    next_digest_at: entity_time::Timestamp,
    pub(crate) status_reports: [status::StatusReport; candidate::TableObject::ALL.len()],
    /// Versions last reported with [`ConfigurationAction::Refused`].
    last_refused: snapshot::TableVersions,
    trust: trust::KeyTrust,
}

/// The text of one version of an object, received from the store or a peer.
#[derive(Debug)]
pub(crate) struct ReceivedObject {
    pub(crate) object: candidate::TableObject,
    pub(crate) version: u128,
    pub(crate) text: bytes::Bytes,
}

/// A digest request that has not been answered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingDigest {
    pub(crate) number: u64,
    pub(crate) sent_at: entity_time::Timestamp,
}

impl ConfigurationKeeper {
    /// Creates a keeper that knows no table object.
    pub fn new(
        incarnation: incarnation::Incarnation,
        region: Arc<str>,
        settings: settings::ConfigurationSettings,
        now: entity_time::Timestamp,
        rng: &mut impl rand::Rng,
    ) -> Self {
        let first_call_at = now + settings.max_start_delay.mul_f64(rng.random_range(0.0..1.0));
        let rules =
            selector::SelectorRules { single_object: settings.single_object, ..Default::default() };
        Self {
            settings,
            selector: selector::VersionSelector::new(rules),
            fleet: fleet::FleetMembers::new(incarnation, region),
            freshness: freshness::StoreFreshness::default(),
            peer_reports: trust::PeerReportTable::default(),
            fetches: fetch::FetchTable::default(),
            assembly: assembly::TextAssembly::default(),
            calls: store::StoreCalls::new(first_call_at),
            latest_known: snapshot::TableVersions::default(),
            unversioned: Default::default(),
            pending_digests: Vec::new(),
            last_digest_number: 0,
            uploads_since_tick: 0,
            next_digest_at: now,
            status_reports: Default::default(),
            last_refused: snapshot::TableVersions::default(),
            trust: trust::KeyTrust::Refused,
        }
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(
        &mut self,
        event: ConfigurationEvent,
        now: entity_time::Timestamp,
        rng: &mut impl rand::Rng,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        match event {
            ConfigurationEvent::Tick => self.tick(now, rng, actions),
            ConfigurationEvent::Members(view) => self.fleet.set_view(view),
            ConfigurationEvent::Watched(answer) => self.handle_watch(answer, now, rng, actions),
            ConfigurationEvent::Read { object, answer } => {
                self.handle_read(object, answer, now, rng, actions);
            }
            ConfigurationEvent::Status { object, answer } => {
                self.handle_status(object, &answer, now, actions);
            }
            ConfigurationEvent::Received { address, message } => {
                self.handle_message(address, message, now, rng, actions);
            }
        }
    }

    /// Returns the applied versions, 0 for objects without one.
    #[must_use]
    pub fn applied(&self) -> snapshot::TableVersions {
        self.selector.applied()
    }

    /// Returns whether the keys may be trusted, and why.
    #[must_use]
    pub const fn trust(&self) -> trust::KeyTrust {
        self.trust
    }

    /// Returns the time since the local tables were last confirmed, or `None` if they never were.
    #[must_use]
    pub fn age(&self, now: entity_time::Timestamp) -> Option<time::Duration> {
        self.freshness.age(now)
    }

    /// Returns the keeper's state, as shown to operators.
    #[must_use]
    pub fn dump(&self, now: entity_time::Timestamp) -> dump::ConfigurationDump {
        let states = candidate::TableObject::ALL.into_iter().map(|object| self.state(object));
        let held = states.filter(|state| !state.is_applied).map(|state| dump::HeldObject {
            object: state.object,
            version: if state.is_unversioned { 0 } else { state.newest },
            faults: state.faults.faults.iter().map(ToString::to_string).collect(),
        });
        dump::ConfigurationDump {
            applied: self.selector.applied(),
            newest: self.selector.newest_read(),
            watcher: self.is_watcher(),
            position: self.calls.position(),
            age_ms: self.freshness.age(now).map(to_millis),
            failing_ms: self.freshness.failing_for(now).map(to_millis),
            keys: self.trust,
            held: held.collect(),
            confined: self.selector.confined().faults.iter().map(ToString::to_string).collect(),
        }
    }

    pub(crate) fn is_watcher(&self) -> bool {
        self.fleet.is_watcher(self.settings.watchers_per_region)
    }

    /// Returns true if the tables are older than half their maximum age, or were never confirmed.
    pub(crate) fn is_ageing(&self, now: entity_time::Timestamp) -> bool {
        self.freshness.age(now).is_none_or(|age| age > self.settings.max_age / 2)
    }

    /// Passes objects to the selector and, if it accepts any, selects once after the last.
    pub(crate) fn offer_all(
        &mut self,
        received: Vec<ReceivedObject>,
        source: selector::ObjectSource,
        rng: &mut impl rand::Rng,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        let mut has_new = false;
        for ReceivedObject { object, version, text } in received {
            let is_accepted = self.selector.offer_from(source, object, version, text);
            // A fetch goes on, from another peer, if the text that arrived is of no use.
            if group::version_of(&self.selector.newest_read(), object) >= version {
                self.fetches.finish(object, version);
            }
            if is_accepted {
                has_new = true;
                self.unversioned[object as usize] = fault::FaultList::default();
                let latest_known = group::version_mut(&mut self.latest_known, object);
                *latest_known = version.max(*latest_known);
            }
        }
        if !has_new {
            return;
        }
        actions.extend(self.selector.select().map(ConfigurationAction::Apply));
        if self.settings.sends_notices {
            self.announce(rng, actions);
        }
    }

    fn tick(
        &mut self,
        now: entity_time::Timestamp,
        rng: &mut impl rand::Rng,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        self.uploads_since_tick = 0;
        self.start_due_calls(now, actions);
        self.retry_expired_fetches(now, actions);
        if now >= self.next_digest_at && self.settings.anti_entropy {
            self.next_digest_at =
                now + self.settings.digest_interval.mul_f64(rng.random_range(0.875..1.125));
            self.send_digests(now, rng, actions);
        }
        self.report_faults(now, rng, actions);
        self.update_trust(now, actions);
    }

    /// Reports each newest version that is not applied to operators, once. On watchers, also
    /// advances the reports in status objects.
    fn report_faults(
        &mut self,
        now: entity_time::Timestamp,
        rng: &mut impl rand::Rng,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        let newest = self.selector.newest_read();
        for object in candidate::TableObject::ALL {
            let version = group::version_of(&newest, object);
            let is_held = group::version_of(&self.selector.applied(), object) != version;
            if is_held && group::version_of(&self.last_refused, object) < version {
                *group::version_mut(&mut self.last_refused, object) = version;
                actions.push(ConfigurationAction::Refused(object));
            }
            if self.is_watcher() {
                let delay = self.settings.status_delay.mul_f64(rng.random_range(1.0..2.5));
                let state = object_state(&self.selector, &self.unversioned, object);
                let report = &mut self.status_reports[object as usize];
                let operation = report.advance(state, delay, now);
                let operation =
                    operation.map(|operation| ConfigurationAction::Status { object, operation });
                actions.extend(operation);
            }
        }
    }

    fn handle_status(
        &mut self,
        object: candidate::TableObject,
        answer: &operation::StoreAnswer,
        now: entity_time::Timestamp,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        let state = object_state(&self.selector, &self.unversioned, object);
        let operation = self.status_reports[object as usize].handle_answer(state, answer, now);
        actions
            .extend(operation.map(|operation| ConfigurationAction::Status { object, operation }));
    }

    fn state(&self, object: candidate::TableObject) -> status::ObjectState<'_> {
        object_state(&self.selector, &self.unversioned, object)
    }

    fn update_trust(
        &mut self,
        now: entity_time::Timestamp,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        let trust = self.evaluate_trust(now);
        if trust != self.trust {
            self.trust = trust;
            actions.push(ConfigurationAction::Trust(trust));
        }
    }

    /// Evaluates whether the keys may be trusted; an outage counts as such only if no version is
    /// known to be newer than those that were read.
    fn evaluate_trust(&self, now: entity_time::Timestamp) -> trust::KeyTrust {
        if self.freshness.age(now).is_some_and(|age| age <= self.settings.max_age) {
            return trust::KeyTrust::Fresh;
        }
        let is_current = group::covers(&self.selector.newest_read(), &self.latest_known);
        let is_failing = self.freshness.failing_for(now).is_some();
        if is_current && is_failing && self.peers_confirm_outage(now) {
            return trust::KeyTrust::Outage;
        }
        match self.settings.undecided {
            settings::UndecidedKeys::Refuse => trust::KeyTrust::Refused,
            settings::UndecidedKeys::Serve => trust::KeyTrust::Served,
        }
    }

    fn peers_confirm_outage(&self, now: entity_time::Timestamp) -> bool {
        let (regions, own_region) = (self.fleet.regions(), self.fleet.region());
        let ttl = self.settings.peer_report_ttl;
        !self.settings.requires_peer_reports
            || self.peer_reports.confirms_outage(regions, own_region, ttl, now)
    }
}

fn object_state<'a>(
    selector: &'a selector::VersionSelector,
    unversioned: &'a [fault::FaultList; candidate::TableObject::ALL.len()],
    object: candidate::TableObject,
) -> status::ObjectState<'a> {
    let newest = group::version_of(&selector.newest_read(), object);
    let unversioned = &unversioned[object as usize];
    let is_unversioned = !unversioned.is_empty();
    let is_applied = !is_unversioned && group::version_of(&selector.applied(), object) == newest;
    let faults = if is_unversioned { unversioned } else { selector.faults(object) };
    status::ObjectState { object, newest, is_unversioned, is_applied, faults }
}

fn to_millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
