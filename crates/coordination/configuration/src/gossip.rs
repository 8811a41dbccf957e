//! The keeper's exchange of messages with peers.

use std::net;

use marjoramwing_entity::time;
use marjoramwing_tables::snapshot;
use rand::RngExt;

use crate::assembly;
use crate::candidate;
use crate::group;
use crate::keeper;
use crate::message;
use crate::selector;

/// Probability that a digest goes to a peer in the same region.
const LOCAL_DIGEST_PROBABILITY: f64 = 0.75;
/// Largest text that is sent in one message, which must fit into a frame between instances.
pub const MAX_TEXT_BYTES: usize = 2_000_000;
/// Length of the parts of larger texts.
pub const PART_BYTES: usize = 1 << 20;
/// Largest number of digest requests that wait for an answer.
const MAX_PENDING_DIGESTS: usize = 32;

type ActionList = Vec<keeper::ConfigurationAction>;

impl keeper::ConfigurationKeeper {
    pub(crate) fn handle_message(
        &mut self,
        address: net::SocketAddr,
        message: message::ConfigurationMessage,
        now: time::Timestamp,
        rng: &mut impl rand::Rng,
        actions: &mut ActionList,
    ) {
        match message {
            message::ConfigurationMessage::DigestRequest { number, versions } => {
                self.answer_digest(address, number, now, actions);
                self.fetch_newer(address, &versions, now, actions);
            }
            message::ConfigurationMessage::DigestAnswer { number, versions, age, failing } => {
                self.fetch_newer(address, &versions, now, actions);
                self.handle_digest_answer(address, number, &versions, age, failing, now);
                if !group::covers(&versions, &self.selector.newest_read()) {
                    self.notify(address, actions);
                }
            }
            message::ConfigurationMessage::Notice { versions } => {
                self.fetch_newer(address, &versions, now, actions);
            }
            message::ConfigurationMessage::Fetch { object, above } => {
                self.upload(address, object, above, actions);
            }
            message::ConfigurationMessage::FetchPart { object, version, offset } => {
                self.upload_part(address, object, version, offset, actions);
            }
            message::ConfigurationMessage::ObjectPart { object, version, offset, total, text } => {
                let part = assembly::ReceivedPart { address, version, offset, total, text };
                self.receive_part(object, &part, now, rng, actions);
            }
            message::ConfigurationMessage::Object { object, version, text } => {
                let received = vec![keeper::ReceivedObject { object, version, text }];
                self.offer_all(received, selector::ObjectSource::Peer, rng, actions);
            }
        }
    }

    /// Notifies some peers of the newest versions.
    pub(crate) fn announce(&mut self, rng: &mut impl rand::Rng, actions: &mut ActionList) {
        let mut addresses = self.fleet.pick_local(self.settings.local_notices, rng);
        addresses.extend(self.fleet.pick_remote(self.settings.remote_notices, rng));
        for address in addresses {
            self.notify(address, actions);
        }
    }

    /// Sends a digest to a random peer, or to one peer in each region if the tables are ageing.
    pub(crate) fn send_digests(
        &mut self,
        now: time::Timestamp,
        rng: &mut impl rand::Rng,
        actions: &mut ActionList,
    ) {
        let timeout = self.settings.digest_timeout;
        self.pending_digests.retain(|digest| now.since(digest.sent_at) < timeout);
        let targets = if self.is_ageing(now) {
            let regions = self.fleet.regions().iter();
            regions.filter_map(|region| self.fleet.pick_in_region(region, rng)).collect()
        } else {
            self.pick_digest_target(rng)
        };
        for address in targets {
            if self.pending_digests.len() < MAX_PENDING_DIGESTS {
                self.last_digest_number += 1;
                let number = self.last_digest_number;
                self.pending_digests.push(keeper::PendingDigest { number, sent_at: now });
                let versions = self.selector.newest_read();
                let message = message::ConfigurationMessage::DigestRequest { number, versions };
                actions.push(keeper::ConfigurationAction::Send { address, message });
            }
        }
    }

    /// Sends each fetch that has timed out to another peer that has the version, if one is known.
    pub(crate) fn retry_expired_fetches(&mut self, now: time::Timestamp, actions: &mut ActionList) {
        let deadline = now + self.settings.fetch_timeout;
        for (object, address) in self.fetches.take_expired(now, deadline) {
            self.fetch(address, object, actions);
        }
    }

    fn pick_digest_target(&self, rng: &mut impl rand::Rng) -> Vec<net::SocketAddr> {
        let local = self.fleet.pick_local(1, rng);
        let remote = self.fleet.pick_remote(1, rng);
        let prefers_local = rng.random_bool(LOCAL_DIGEST_PROBABILITY);
        if remote.is_empty() || (prefers_local && !local.is_empty()) { local } else { remote }
    }

    fn answer_digest(
        &self,
        address: net::SocketAddr,
        number: u64,
        now: time::Timestamp,
        actions: &mut ActionList,
    ) {
        let message = message::ConfigurationMessage::DigestAnswer {
            number,
            versions: self.selector.newest_read(),
            age: self.freshness.age(now),
            failing: self.freshness.failing_for(now),
        };
        actions.push(keeper::ConfigurationAction::Send { address, message });
    }

    /// Fetches each object of which the peer has a newer version.
    fn fetch_newer(
        &mut self,
        address: net::SocketAddr,
        versions: &snapshot::TableVersions,
        now: time::Timestamp,
        actions: &mut ActionList,
    ) {
        let newest = self.selector.newest_read();
        let deadline = now + self.settings.fetch_timeout;
        for object in candidate::TableObject::ALL {
            let peer_version = group::version_of(versions, object);
            if peer_version <= group::version_of(&newest, object) {
                continue;
            }
            let latest_known = group::version_mut(&mut self.latest_known, object);
            *latest_known = peer_version.max(*latest_known);
            if self.fetches.add_source(object, peer_version, address, deadline) {
                self.fetch(address, object, actions);
            }
        }
    }

    fn handle_digest_answer(
        &mut self,
        address: net::SocketAddr,
        number: u64,
        versions: &snapshot::TableVersions,
        age: Option<std::time::Duration>,
        failing: Option<std::time::Duration>,
        now: time::Timestamp,
    ) {
        let Some(index) = self.pending_digests.iter().position(|digest| digest.number == number)
        else {
            return;
        };
        let digest = self.pending_digests.swap_remove(index);
        if let Some(region) = self.fleet.region_at(address) {
            let region = std::sync::Arc::clone(region);
            self.peer_reports.record(&region, failing, now);
        }
        // The peer's age covers only the versions that the peer has.
        if let Some(age) = age
            && group::covers(&self.selector.newest_read(), versions)
        {
            self.freshness.confirm_by_peer(digest.sent_at, age);
        }
    }

    fn fetch(
        &self,
        address: net::SocketAddr,
        object: candidate::TableObject,
        actions: &mut ActionList,
    ) {
        let above = group::version_of(&self.selector.newest_read(), object);
        let message = message::ConfigurationMessage::Fetch { object, above };
        actions.push(keeper::ConfigurationAction::Send { address, message });
    }

    /// Sends an object to a peer, unless its version is not above `above` or too many objects were
    /// sent since the last tick. A peer that gets no answer asks another one after its timeout.
    fn upload(
        &mut self,
        address: net::SocketAddr,
        object: candidate::TableObject,
        above: u128,
        actions: &mut ActionList,
    ) {
        let (version, text) = self.selector.text(object);
        if version <= above || self.uploads_since_tick >= self.settings.uploads_per_tick {
            return;
        }
        if text.len() > MAX_TEXT_BYTES {
            self.upload_part(address, object, version, 0, actions);
            return;
        }
        self.uploads_since_tick += 1;
        let message = message::ConfigurationMessage::Object { object, version, text };
        actions.push(keeper::ConfigurationAction::Send { address, message });
    }

    /// Sends the part of a text at an offset to a peer, as [`Self::upload`] sends an object.
    fn upload_part(
        &mut self,
        address: net::SocketAddr,
        object: candidate::TableObject,
        version: u128,
        offset: u64,
        actions: &mut ActionList,
    ) {
        let (newest, text) = self.selector.text(object);
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        let is_available = newest == version && start < text.len();
        if !is_available || self.uploads_since_tick >= self.settings.uploads_per_tick {
            return;
        }
        self.uploads_since_tick += 1;
        let total = text.len() as u64;
        let text = text.slice(start..text.len().min(start + PART_BYTES));
        let message =
            message::ConfigurationMessage::ObjectPart { object, version, offset, total, text };
        actions.push(keeper::ConfigurationAction::Send { address, message });
    }

    /// Adds a part to the text that is being assembled, and requests the next part or offers the
    /// complete text.
    fn receive_part(
        &mut self,
        object: candidate::TableObject,
        part: &assembly::ReceivedPart,
        now: time::Timestamp,
        rng: &mut impl rand::Rng,
        actions: &mut ActionList,
    ) {
        let version = part.version;
        if version <= group::version_of(&self.selector.newest_read(), object) {
            return;
        }
        match self.assembly.add(object, part) {
            assembly::AssemblyStep::Ignored => {}
            assembly::AssemblyStep::Continue(offset) => {
                self.fetches.extend(object, now + self.settings.fetch_timeout);
                let message = message::ConfigurationMessage::FetchPart { object, version, offset };
                let address = part.address;
                actions.push(keeper::ConfigurationAction::Send { address, message });
            }
            assembly::AssemblyStep::Complete(text) => {
                let received = vec![keeper::ReceivedObject { object, version, text }];
                self.offer_all(received, selector::ObjectSource::Peer, rng, actions);
            }
        }
    }

    fn notify(&self, address: net::SocketAddr, actions: &mut ActionList) {
        let versions = self.selector.newest_read();
        let message = message::ConfigurationMessage::Notice { versions };
        actions.push(keeper::ConfigurationAction::Send { address, message });
    }
}
