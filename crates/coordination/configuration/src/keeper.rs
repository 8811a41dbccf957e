//! The decisions on configuration.
//!
//! Invariants: what is applied comes from [`selector`] alone, every wait is
//! bounded, and no call to the store is made per change by an instance that
//! does not watch.

use std::net;
use std::sync::Arc;
use std::time;

use marjoramwing_entity::incarnation;
use marjoramwing_entity::time as entity_time;
use marjoramwing_membership::view;
use marjoramwing_objects::operation;
use marjoramwing_tables::snapshot;
use rand::RngExt;

use crate::candidate;
use crate::configuration;
use crate::dump;
use crate::fetch;
use crate::fleet;
use crate::group;
use crate::message;
use crate::selector;
use crate::settings;
use crate::sight;
use crate::status;
use crate::store;
use crate::trust;

/// What happened.
#[derive(Debug, Clone)]
pub enum ConfigurationEvent {
    /// Time has passed; due several times a second.
    Tick,
    /// The members have changed.
    Members(Arc<view::MemberView>),
    /// The store answered a watch, or did not.
    Watched(Option<operation::WatchAnswer>),
    /// The store answered the read of an object.
    Read {
        /// Object that was read.
        object: candidate::TableObject,
        /// What the store said.
        answer: operation::StoreAnswer,
    },
    /// The store answered an operation on a status object.
    Status {
        /// Object that the status is about.
        object: candidate::TableObject,
        /// What the store said.
        answer: operation::StoreAnswer,
    },
    /// A proven peer sent a message.
    Received {
        /// Peer address of the sender.
        address: net::SocketAddr,
        /// What it sent.
        message: message::ConfigurationMessage,
    },
}

/// What is to be done.
#[derive(Debug, Clone)]
pub enum ConfigurationAction {
    /// Send a message to a peer address.
    Send {
        /// Peer address.
        address: net::SocketAddr,
        /// What to send.
        message: message::ConfigurationMessage,
    },
    /// Wait for changes; the answer comes back as `Watched`.
    Watch {
        /// Revision up to which changes are known.
        after: u64,
        /// Longest wait.
        wait: time::Duration,
    },
    /// Read an object; the answer comes back as `Read`.
    Read(candidate::TableObject),
    /// Read or write a status object; the answer comes back as `Status`.
    Status {
        /// Object that the status is about.
        object: candidate::TableObject,
        /// What to do.
        operation: operation::StoreOperation,
    },
    /// Put tables in force.
    Apply(configuration::AppliedTables),
    /// Tell operators that an object is faulty or does not fit.
    Refused(candidate::TableObject),
    /// Believe the keys or no longer.
    Trust(trust::KeyTrust),
}

/// Keeps the configuration as one instance knows it.
#[derive(Debug)]
pub struct ConfigurationKeeper {
    pub(crate) settings: settings::ConfigurationSettings,
    pub(crate) selector: selector::VersionSelector,
    pub(crate) fleet: fleet::FleetPlaces,
    pub(crate) sight: sight::StoreSight,
    pub(crate) witnesses: trust::WitnessTable,
    pub(crate) fetches: fetch::FetchTable,
    pub(crate) calls: store::StoreCalls,
    /// Newest versions that the store or a peer is known to have.
    pub(crate) wanted: snapshot::TableVersions,
    pub(crate) asks: Vec<PendingAsk>,
    pub(crate) last_ask: u64,
    pub(crate) uploads: usize,
    next_ask: entity_time::Timestamp,
    reports: [status::StatusReport; candidate::TableObject::ALL.len()],
    refused: snapshot::TableVersions,
    trust: trust::KeyTrust,
}

/// One version of an object, with its text.
#[derive(Debug)]
pub(crate) struct ToldObject {
    pub(crate) object: candidate::TableObject,
    pub(crate) version: u64,
    pub(crate) text: bytes::Bytes,
}

/// A digest that waits for its answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingAsk {
    pub(crate) number: u64,
    pub(crate) sent_at: entity_time::Timestamp,
}

impl ConfigurationKeeper {
    /// Makes a keeper that knows no object.
    pub fn new(
        own: incarnation::Incarnation,
        region: Arc<str>,
        settings: settings::ConfigurationSettings,
        now: entity_time::Timestamp,
        rng: &mut impl rand::Rng,
    ) -> Self {
        let first_call = now + settings.start_spread.mul_f64(rng.random_range(0.0..1.0));
        let rules =
            selector::SelectorRules { one_source: settings.one_source, ..Default::default() };
        Self {
            settings,
            selector: selector::VersionSelector::new(rules),
            fleet: fleet::FleetPlaces::new(own, region),
            sight: sight::StoreSight::default(),
            witnesses: trust::WitnessTable::default(),
            fetches: fetch::FetchTable::default(),
            calls: store::StoreCalls::new(first_call),
            wanted: snapshot::TableVersions::default(),
            asks: Vec::new(),
            last_ask: 0,
            uploads: 0,
            next_ask: now,
            reports: Default::default(),
            refused: snapshot::TableVersions::default(),
            trust: trust::KeyTrust::Refused,
        }
    }

    /// Takes an event in and appends what is to be done.
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
            ConfigurationEvent::Watched(answer) => self.take_watch(answer, now, rng, actions),
            ConfigurationEvent::Read { object, answer } => {
                self.take_read(object, answer, now, rng, actions);
            }
            ConfigurationEvent::Status { object, answer } => {
                self.take_status(object, &answer, now, actions);
            }
            ConfigurationEvent::Received { address, message } => {
                self.receive(address, message, now, rng, actions);
            }
        }
    }

    /// Returns the versions in force.
    #[must_use]
    pub fn applied(&self) -> snapshot::TableVersions {
        self.selector.applied()
    }

    /// Returns whether the keys may be believed.
    #[must_use]
    pub const fn trust(&self) -> trust::KeyTrust {
        self.trust
    }

    /// Returns the time since the store confirmed what is known here.
    #[must_use]
    pub fn age(&self, now: entity_time::Timestamp) -> Option<time::Duration> {
        self.sight.age(now)
    }

    /// Returns the keeper's state for operators.
    #[must_use]
    pub fn dump(&self, now: entity_time::Timestamp) -> dump::ConfigurationDump {
        let held = candidate::TableObject::ALL.into_iter().filter(|object| !self.in_force(*object));
        let held = held.map(|object| dump::HeldObject {
            object,
            version: group::version_of(&self.selector.newest(), object),
            faults: self.selector.faults(object).faults.iter().map(ToString::to_string).collect(),
        });
        dump::ConfigurationDump {
            applied: self.selector.applied(),
            newest: self.selector.newest(),
            watcher: self.is_watcher(),
            revision: self.calls.revision(),
            age_ms: self.sight.age(now).map(to_millis),
            failing_ms: self.sight.failing(now).map(to_millis),
            keys: self.trust,
            held: held.collect(),
        }
    }

    pub(crate) fn is_watcher(&self) -> bool {
        self.fleet.is_watcher(self.settings.watchers_per_region)
    }

    /// Tells whether the tables are older than a part of their greatest age.
    pub(crate) fn is_ageing(&self, now: entity_time::Timestamp) -> bool {
        self.sight.age(now).is_none_or(|age| age > self.settings.max_age / 2)
    }

    /// Takes in an object as read from the store or a peer.
    pub(crate) fn offer(
        &mut self,
        object: candidate::TableObject,
        version: u64,
        text: bytes::Bytes,
        rng: &mut impl rand::Rng,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        self.offer_all(vec![ToldObject { object, version, text }], rng, actions);
    }

    /// Takes in objects that were read together, and chooses among them once.
    pub(crate) fn offer_all(
        &mut self,
        told: Vec<ToldObject>,
        rng: &mut impl rand::Rng,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        let mut is_new = false;
        for ToldObject { object, version, text } in told {
            self.fetches.finish(object, version);
            if self.selector.offer(object, version, text) {
                is_new = true;
                let wanted = group::version_mut(&mut self.wanted, object);
                *wanted = version.max(*wanted);
            }
        }
        if !is_new {
            return;
        }
        actions.extend(self.selector.select().map(ConfigurationAction::Apply));
        if self.settings.notices {
            self.announce(rng, actions);
        }
    }

    fn tick(
        &mut self,
        now: entity_time::Timestamp,
        rng: &mut impl rand::Rng,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        self.uploads = 0;
        self.call_store(now, actions);
        self.advance_fetches(now, actions);
        if now >= self.next_ask && self.settings.repairs {
            self.next_ask = now + self.settings.ask.mul_f64(rng.random_range(0.875..1.125));
            self.ask(now, rng, actions);
        }
        self.report_faults(now, rng, actions);
        self.judge_trust(now, actions);
    }

    fn report_faults(
        &mut self,
        now: entity_time::Timestamp,
        rng: &mut impl rand::Rng,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        let newest = self.selector.newest();
        for object in candidate::TableObject::ALL {
            let version = group::version_of(&newest, object);
            let is_held = !self.in_force(object);
            if is_held && group::version_of(&self.refused, object) < version {
                *group::version_mut(&mut self.refused, object) = version;
                actions.push(ConfigurationAction::Refused(object));
            }
            if self.is_watcher() {
                let delay = self.settings.status_delay.mul_f64(rng.random_range(1.0..2.5));
                let facts = facts_of(&self.selector, object);
                let report = &mut self.reports[object as usize];
                let operation = report.advance(facts, delay, now);
                let operation =
                    operation.map(|operation| ConfigurationAction::Status { object, operation });
                actions.extend(operation);
            }
        }
    }

    fn take_status(
        &mut self,
        object: candidate::TableObject,
        answer: &operation::StoreAnswer,
        now: entity_time::Timestamp,
        actions: &mut Vec<ConfigurationAction>,
    ) {
        let facts = facts_of(&self.selector, object);
        let operation = self.reports[object as usize].take_answer(facts, answer, now);
        actions
            .extend(operation.map(|operation| ConfigurationAction::Status { object, operation }));
    }

    fn in_force(&self, object: candidate::TableObject) -> bool {
        facts_of(&self.selector, object).in_force
    }

    fn judge_trust(&mut self, now: entity_time::Timestamp, actions: &mut Vec<ConfigurationAction>) {
        let trust = self.trust_at(now);
        if trust != self.trust {
            self.trust = trust;
            actions.push(ConfigurationAction::Trust(trust));
        }
    }

    fn trust_at(&self, now: entity_time::Timestamp) -> trust::KeyTrust {
        if self.sight.age(now).is_some_and(|age| age <= self.settings.max_age) {
            return trust::KeyTrust::Fresh;
        }
        let lacks_nothing = group::covers(&self.selector.newest(), &self.wanted);
        let is_failing = self.sight.failing(now).is_some();
        if lacks_nothing && is_failing && self.witnesses_agree(now) {
            return trust::KeyTrust::Outage;
        }
        match self.settings.undecided {
            settings::UndecidedKeys::Refuse => trust::KeyTrust::Refused,
            settings::UndecidedKeys::Serve => trust::KeyTrust::Served,
        }
    }

    fn witnesses_agree(&self, now: entity_time::Timestamp) -> bool {
        let (regions, own) = (self.fleet.regions(), self.fleet.region());
        let memory = self.settings.witness_memory;
        !self.settings.witnesses || self.witnesses.agree_on_outage(regions, own, memory, now)
    }
}

fn facts_of(
    selector: &selector::VersionSelector,
    object: candidate::TableObject,
) -> status::StatusFacts<'_> {
    let newest = group::version_of(&selector.newest(), object);
    let in_force = group::version_of(&selector.applied(), object) == newest;
    status::StatusFacts { object, newest, in_force, faults: selector.faults(object) }
}

fn to_millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
