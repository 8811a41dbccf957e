//! The simulated store: entries of servers and drained domains, with one revision counter.

use std::collections;

use marjoramwing_objects::object;
use marjoramwing_objects::operation;

use crate::process;

/// Number of failure domains; a server's domain follows from its index.
pub(crate) const DOMAINS: usize = 3;

/// An entry of the store; a heartbeat that changes only the sequence leaves the revision.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct StoredServer {
    pub(crate) born: u64,
    pub(crate) sequence: u64,
    pub(crate) draining: bool,
    pub(crate) revision: u64,
    pub(crate) last_heartbeat: u64,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct StoreState {
    pub(crate) revision: u64,
    pub(crate) servers: collections::BTreeMap<usize, StoredServer>,
    pub(crate) drained: collections::BTreeMap<usize, u64>,
    /// Revisions of deletions, by kind and index.
    pub(crate) deletions: Vec<(u64, object::ObjectKind, usize)>,
}

pub(crate) fn server_id(index: usize) -> String {
    format!("server-{index}")
}

pub(crate) fn index_of(name: &str) -> usize {
    name.rsplit('-').next().and_then(|text| text.parse().ok()).unwrap()
}

impl StoredServer {
    pub(crate) fn value(&self, index: usize) -> operation::ChangedValue {
        let state = if self.draining { "draining" } else { "ready" };
        let text = serde_json::json!({
            "pool": "web", "address": format!("10.0.0.{index}:80"), "slots": 3,
            "failure_domain": format!("domain-{}", index % DOMAINS), "state": state,
            "started_ms": self.born, "sequence": self.sequence,
        });
        operation::ChangedValue::Included(text.to_string().into())
    }
}

impl StoreState {
    /// Writes a server's entry; only a change of more than the sequence gets a revision.
    pub(crate) fn put_server(&mut self, index: usize, process: &process::Process, now: u64) {
        let draining = process.phase == process::Phase::Draining;
        let known = self.servers.get(&index);
        let is_change =
            known.is_none_or(|known| (known.born, known.draining) != (process.born, draining));
        let revision = known.map_or(0, |known| known.revision);
        self.revision += u64::from(is_change);
        let entry = StoredServer {
            born: process.born,
            sequence: process.sequence,
            draining,
            revision: if is_change { self.revision } else { revision },
            last_heartbeat: now,
        };
        self.servers.insert(index, entry);
    }

    pub(crate) fn delete(&mut self, kind: object::ObjectKind, index: usize) {
        let existed = match kind {
            object::ObjectKind::Servers => self.servers.remove(&index).is_some(),
            _ => self.drained.remove(&index).is_some(),
        };
        if existed {
            self.revision += 1;
            self.deletions.push((self.revision, kind, index));
        }
    }

    pub(crate) fn drain(&mut self, index: usize) {
        self.revision += 1;
        self.drained.insert(index, self.revision);
    }

    /// Returns the changes of a kind after a revision, in order; all objects after revision 0.
    pub(crate) fn changes(
        &self,
        kind: object::ObjectKind,
        after: u64,
    ) -> Vec<operation::ObjectChange> {
        let mut changes: Vec<(u64, usize, operation::ChangedValue)> = match kind {
            object::ObjectKind::Servers => {
                let entries = self.servers.iter();
                entries
                    .map(|(index, entry)| (entry.revision, *index, entry.value(*index)))
                    .collect()
            }
            _ => {
                let value = || operation::ChangedValue::Included("{}".into());
                self.drained.iter().map(|(index, revision)| (*revision, *index, value())).collect()
            }
        };
        let deletions = self.deletions.iter().filter(|deletion| deletion.1 == kind && after > 0);
        changes.extend(
            deletions
                .map(|(revision, _, index)| (*revision, *index, operation::ChangedValue::Deleted)),
        );
        changes.retain(|(revision, ..)| *revision > after);
        changes.sort_by_key(|(revision, ..)| *revision);
        let changes = changes.into_iter().map(|(revision, index, value)| {
            let name = match kind {
                object::ObjectKind::Servers => server_id(index),
                _ => format!("domain-{index}"),
            };
            let name = object::ObjectName::new(kind, &name);
            operation::ObjectChange { name, version: object::ObjectVersion::from(revision), value }
        });
        changes.collect()
    }
}
