//! How the keeper deals with peers.

use std::net;

use marjoramwing_entity::time;
use marjoramwing_tables::snapshot;
use rand::RngExt;

use crate::candidate;
use crate::group;
use crate::keeper;
use crate::message;

/// Share of digests that go to the own region.
const NEAR_SHARE: f64 = 0.75;
/// Digests that wait for an answer at once.
const MAX_ASKS: usize = 32;

type ActionList = Vec<keeper::ConfigurationAction>;

impl keeper::ConfigurationKeeper {
    pub(crate) fn receive(
        &mut self,
        address: net::SocketAddr,
        message: message::ConfigurationMessage,
        now: time::Timestamp,
        rng: &mut impl rand::Rng,
        actions: &mut ActionList,
    ) {
        match message {
            message::ConfigurationMessage::Ask { number, versions } => {
                self.answer(address, number, now, actions);
                self.consider(address, &versions, now, actions);
            }
            message::ConfigurationMessage::Answer { number, versions, age, failing } => {
                self.consider(address, &versions, now, actions);
                self.take_answer(address, number, &versions, age, failing, now);
                if !group::covers(&versions, &self.selector.newest()) {
                    self.notify(address, actions);
                }
            }
            message::ConfigurationMessage::Notice { versions } => {
                self.consider(address, &versions, now, actions);
            }
            message::ConfigurationMessage::Fetch { object, above } => {
                self.upload(address, object, above, actions);
            }
            message::ConfigurationMessage::Object { object, version, text } => {
                self.offer(object, version, text, rng, actions);
            }
        }
    }

    /// Tells some peers of a new object.
    pub(crate) fn announce(&mut self, rng: &mut impl rand::Rng, actions: &mut ActionList) {
        let mut told = self.fleet.pick_near(self.settings.near_notices, rng);
        told.extend(self.fleet.pick_far(self.settings.far_notices, rng));
        for address in told {
            self.notify(address, actions);
        }
    }

    /// Exchanges digests with a random peer, or one of each region if in doubt.
    pub(crate) fn ask(
        &mut self,
        now: time::Timestamp,
        rng: &mut impl rand::Rng,
        actions: &mut ActionList,
    ) {
        let timeout = self.settings.ask_timeout;
        self.asks.retain(|ask| now.since(ask.sent_at) < timeout);
        let targets = if self.is_ageing(now) {
            let regions = self.fleet.regions().iter();
            regions.filter_map(|region| self.fleet.pick_in(region, rng)).collect()
        } else {
            self.pick_one(rng)
        };
        for address in targets {
            if self.asks.len() < MAX_ASKS {
                self.last_ask += 1;
                let number = self.last_ask;
                self.asks.push(keeper::PendingAsk { number, sent_at: now });
                let versions = self.selector.newest();
                let message = message::ConfigurationMessage::Ask { number, versions };
                actions.push(keeper::ConfigurationAction::Send { address, message });
            }
        }
    }

    pub(crate) fn advance_fetches(&mut self, now: time::Timestamp, actions: &mut ActionList) {
        let deadline = now + self.settings.fetch_timeout;
        for (object, address) in self.fetches.take_expired(now, deadline) {
            self.fetch(address, object, actions);
        }
    }

    fn pick_one(&self, rng: &mut impl rand::Rng) -> Vec<net::SocketAddr> {
        let near = self.fleet.pick_near(1, rng);
        let far = self.fleet.pick_far(1, rng);
        let prefers_near = rng.random_bool(NEAR_SHARE);
        if far.is_empty() || (prefers_near && !near.is_empty()) { near } else { far }
    }

    fn answer(
        &self,
        address: net::SocketAddr,
        number: u64,
        now: time::Timestamp,
        actions: &mut ActionList,
    ) {
        let message = message::ConfigurationMessage::Answer {
            number,
            versions: self.selector.newest(),
            age: self.sight.age(now),
            failing: self.sight.failing(now),
        };
        actions.push(keeper::ConfigurationAction::Send { address, message });
    }

    /// Asks a peer for what it has and this instance lacks.
    fn consider(
        &mut self,
        address: net::SocketAddr,
        versions: &snapshot::TableVersions,
        now: time::Timestamp,
        actions: &mut ActionList,
    ) {
        let newest = self.selector.newest();
        let deadline = now + self.settings.fetch_timeout;
        for object in candidate::TableObject::ALL {
            let theirs = group::version_of(versions, object);
            if theirs <= group::version_of(&newest, object) {
                continue;
            }
            let wanted = group::version_mut(&mut self.wanted, object);
            *wanted = theirs.max(*wanted);
            if self.fetches.add_source(object, theirs, address, deadline) {
                self.fetch(address, object, actions);
            }
        }
    }

    fn take_answer(
        &mut self,
        address: net::SocketAddr,
        number: u64,
        versions: &snapshot::TableVersions,
        age: Option<std::time::Duration>,
        failing: Option<std::time::Duration>,
        now: time::Timestamp,
    ) {
        let Some(index) = self.asks.iter().position(|ask| ask.number == number) else { return };
        let ask = self.asks.swap_remove(index);
        if let Some(region) = self.fleet.region_at(address) {
            let region = std::sync::Arc::clone(region);
            self.witnesses.note(&region, failing, now);
        }
        // The peer's age speaks only for what the peer knows.
        if let Some(age) = age
            && group::covers(&self.selector.newest(), versions)
        {
            self.sight.confirm_by_peer(ask.sent_at, age);
        }
    }

    fn fetch(
        &self,
        address: net::SocketAddr,
        object: candidate::TableObject,
        actions: &mut ActionList,
    ) {
        let above = group::version_of(&self.selector.newest(), object);
        let message = message::ConfigurationMessage::Fetch { object, above };
        actions.push(keeper::ConfigurationAction::Send { address, message });
    }

    fn upload(
        &mut self,
        address: net::SocketAddr,
        object: candidate::TableObject,
        above: u64,
        actions: &mut ActionList,
    ) {
        let (version, text) = self.selector.text(object);
        if version <= above || self.uploads >= self.settings.uploads_per_tick {
            return;
        }
        self.uploads += 1;
        let message = message::ConfigurationMessage::Object { object, version, text };
        actions.push(keeper::ConfigurationAction::Send { address, message });
    }

    fn notify(&self, address: net::SocketAddr, actions: &mut ActionList) {
        let versions = self.selector.newest();
        let message = message::ConfigurationMessage::Notice { versions };
        actions.push(keeper::ConfigurationAction::Send { address, message });
    }
}
