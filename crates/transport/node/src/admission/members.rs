//! Tells the ledger which instances are there, and where.

use std::collections;
use std::net;
use std::sync;
use std::time;

use marjoramwing_entity::incarnation;
use marjoramwing_ledger::action;
use marjoramwing_membership::member;

/// Time between two comparisons with the view of the members.
pub const REFRESH_PERIOD: time::Duration = time::Duration::from_millis(500);

/// Knows the address of each incarnation that was heard from.
#[derive(Debug, Default)]
pub struct PeerDirectory {
    peers: sync::Mutex<PeerTable>,
}

#[derive(Debug, Default)]
struct PeerTable {
    heard: collections::HashMap<net::SocketAddr, incarnation::Incarnation>,
    addresses: collections::HashMap<incarnation::Incarnation, net::SocketAddr>,
    told: collections::BTreeMap<incarnation::Incarnation, member::MemberState>,
}

/// What changed among the members.
#[derive(Debug, Default)]
pub struct MemberChanges {
    /// Events for the ledger.
    pub events: Vec<action::LedgerEvent>,
    /// Peers whose incarnation is not known yet.
    pub unknown: Vec<net::SocketAddr>,
}

impl PeerDirectory {
    /// Learns an incarnation's address from a message of its own.
    pub fn learn(&self, from: incarnation::Incarnation, address: Option<net::SocketAddr>) {
        let Some(address) = address else { return };
        let mut peers = self.lock();
        peers.heard.insert(address, from);
        peers.addresses.insert(from, address);
    }

    /// Returns the peer address of an incarnation.
    pub fn address(&self, of: incarnation::Incarnation) -> Option<net::SocketAddr> {
        self.lock().addresses.get(&of).copied()
    }

    /// Compares the members with those that the ledger was told of.
    pub fn refresh<'a>(&self, members: impl Iterator<Item = &'a member::Member>) -> MemberChanges {
        let mut peers = self.lock();
        let mut changes = MemberChanges::default();
        let mut present = collections::BTreeMap::new();
        for member in members {
            let heard = peers.heard.get(&member.peers).copied();
            let Some(incarnation) = member.incarnation.or(heard) else {
                changes.unknown.push(member.peers);
                continue;
            };
            peers.addresses.insert(incarnation, member.peers);
            if member.state == member::MemberState::Suspect {
                continue;
            }
            if !peers.told.contains_key(&incarnation) {
                changes.events.push(action::LedgerEvent::MemberUp(describe(member, incarnation)));
            }
            present.insert(incarnation, member.state);
        }
        peers.end_absent(&present, &mut changes.events);
        peers.told = present;
        changes
    }

    fn lock(&self) -> sync::MutexGuard<'_, PeerTable> {
        self.peers.lock().expect("no task panics while it holds the peers")
    }
}

impl PeerTable {
    fn end_absent(
        &self,
        present: &collections::BTreeMap<incarnation::Incarnation, member::MemberState>,
        events: &mut Vec<action::LedgerEvent>,
    ) {
        let absent = self.told.iter().filter(|(told, _)| !present.contains_key(told));
        events.extend(absent.map(|(told, state)| match state {
            member::MemberState::Leaving => action::LedgerEvent::MemberLeft(*told),
            member::MemberState::Live | member::MemberState::Suspect => {
                action::LedgerEvent::MemberDown(*told)
            }
        }));
    }
}

fn describe(
    member: &member::Member,
    incarnation: incarnation::Incarnation,
) -> action::LedgerMember {
    action::LedgerMember {
        incarnation,
        region: sync::Arc::clone(&member.region),
        failure_domain: sync::Arc::clone(&member.failure_domain),
    }
}
