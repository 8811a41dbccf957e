//! A registry beside a store that can be restored.

use std::net;
use std::sync::Arc;

use marjoramwing_entity::time;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;
use marjoramwing_objects::position;
use marjoramwing_registry::registry;
use marjoramwing_tables::name;

pub(crate) const NOT_STATED: Option<u64> = None;

/// One entry of a server; its address ends in `address`.
#[derive(Clone, Copy)]
pub(crate) struct Entry {
    pub(crate) id: &'static str,
    pub(crate) address: u8,
    pub(crate) state: &'static str,
    pub(crate) born: u64,
    pub(crate) sequence: Option<u64>,
}

pub(crate) const fn ready(id: &'static str, address: u8, born: u64, sequence: u64) -> Entry {
    Entry { id, address, state: "ready", born, sequence: Some(sequence) }
}

pub(crate) const fn draining(id: &'static str, address: u8, born: u64, sequence: u64) -> Entry {
    Entry { state: "draining", ..ready(id, address, born, sequence) }
}

impl Entry {
    pub(crate) fn value(&self) -> operation::ChangedValue {
        let text = serde_json::json!({
            "pool": "web", "address": format!("10.0.0.{}:80", self.address), "slots": 3,
            "failure_domain": "west-a", "state": self.state, "started_ms": self.born,
            "sequence": self.sequence,
        });
        operation::ChangedValue::Included(text.to_string().into())
    }
}

/// A registry, and the position of the store whose answers it gets.
pub(crate) struct Fixture {
    pub(crate) registry: registry::ServerRegistry,
    pub(crate) position: position::StorePosition,
}

impl Fixture {
    /// Starts in the first era with a high revision and the given servers.
    pub(crate) fn start(entries: &[Entry]) -> Self {
        let position = position::StorePosition { era: position::StoreEra(1), revision: 100 };
        let mut fixture = Self { registry: registry::ServerRegistry::default(), position };
        fixture.list(entries, 0);
        fixture
    }

    /// The store comes back from a copy, with lower revisions.
    pub(crate) fn restore(&mut self) {
        self.position.era.0 += 1;
        self.position.revision = 20;
    }

    pub(crate) fn answer(
        &mut self,
        values: Vec<(object::ObjectKind, &str, operation::ChangedValue)>,
        is_full_list: bool,
    ) -> operation::WatchAnswer {
        let changes = values.into_iter().map(|(kind, name, value)| {
            self.position.revision += 1;
            let version = object::ObjectVersion::from(self.position.revision);
            operation::ObjectChange { name: object::ObjectName::new(kind, name), version, value }
        });
        let changes = changes.collect();
        operation::WatchAnswer { position: self.position, changes, is_full_list }
    }

    pub(crate) fn report(
        &mut self,
        values: Vec<(&str, operation::ChangedValue)>,
        is_list: bool,
        now: u64,
    ) {
        let servers =
            values.into_iter().map(|(id, value)| (object::ObjectKind::Servers, id, value));
        let answer = self.answer(servers.collect(), is_list);
        self.registry.handle(registry::RegistryEvent::Servers(answer), at(now));
    }

    pub(crate) fn list(&mut self, entries: &[Entry], now: u64) {
        let values = entries.iter().map(|entry| (entry.id, entry.value())).collect();
        self.report(values, true, now);
    }

    pub(crate) fn change(&mut self, entry: Entry, now: u64) {
        self.report(vec![(entry.id, entry.value())], false, now);
    }

    pub(crate) fn delete(&mut self, id: &str, now: u64) {
        self.report(vec![(id, operation::ChangedValue::Deleted)], false, now);
    }

    pub(crate) fn drains(
        &mut self,
        value: Option<operation::ChangedValue>,
        is_list: bool,
        now: u64,
    ) {
        let values = value.map(|value| (object::ObjectKind::Drains, "west-a", value));
        let answer = self.answer(values.into_iter().collect(), is_list);
        self.registry.handle(registry::RegistryEvent::Drains(answer), at(now));
    }

    pub(crate) fn set_drained(&mut self, is_list: bool, now: u64) {
        self.drains(Some(operation::ChangedValue::Included("{}".into())), is_list, now);
    }

    /// Returns the last numbers of the addresses that accept new work after a tick.
    pub(crate) fn active(&mut self, now: u64) -> Vec<u8> {
        self.registry.handle(registry::RegistryEvent::Tick, at(now));
        let pool = name::PoolName::try_from(&Arc::from("web")).unwrap();
        let view = self.registry.view();
        let servers = view.pools.get(&pool).into_iter().flatten();
        let active = servers.filter(|server| !server.draining);
        let mut addresses: Vec<_> = active
            .map(|server| match server.address.ip() {
                net::IpAddr::V4(ip) => ip.octets()[3],
                net::IpAddr::V6(_) => unreachable!("the entries have IPv4 addresses"),
            })
            .collect();
        addresses.sort_unstable();
        addresses
    }
}

pub(crate) fn at(millis: u64) -> time::Timestamp {
    time::Timestamp::from_millis(millis)
}
