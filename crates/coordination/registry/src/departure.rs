//! Servers that left recently.
//!
//! A restored store may list them again, since its copy is some seconds old.

use std::collections;
use std::sync::Arc;
use std::time as duration;

use marjoramwing_entity::time;

use crate::entry;

/// Time for which a server that left is remembered; longer than a copy of the store is old.
const DEPARTED_RETENTION: duration::Duration = duration::Duration::from_secs(60);
/// Maximum number of servers that are remembered; the ones that left first are forgotten.
const MAX_DEPARTED: usize = 4_096;

/// The last entries of the servers that left recently.
#[derive(Debug, Default)]
pub(crate) struct DepartedServers {
    entries: collections::BTreeMap<Arc<str>, DepartedServer>,
}

#[derive(Debug)]
struct DepartedServer {
    entry: entry::ServerEntry,
    presence: entry::ServerPresence,
    left_at: time::Timestamp,
}

impl DepartedServers {
    /// Remembers a server that left now.
    pub(crate) fn record(
        &mut self,
        id: Arc<str>,
        entry: entry::ServerEntry,
        presence: entry::ServerPresence,
        now: time::Timestamp,
    ) {
        self.entries.insert(id, DepartedServer { entry, presence, left_at: now });
        if self.entries.len() > MAX_DEPARTED {
            let first = self.entries.iter().min_by_key(|(_, departed)| departed.left_at);
            let first = first.map(|(id, _)| Arc::clone(id));
            first.and_then(|id| self.entries.remove(&id));
        }
    }

    /// Returns the last entry of a server that left.
    pub(crate) fn get(&self, id: &Arc<str>) -> Option<entry::KnownEntry<'_>> {
        let departed = self.entries.get(id)?;
        Some(entry::KnownEntry { entry: &departed.entry, presence: departed.presence })
    }

    /// Forgets a server, since it has registered again.
    pub(crate) fn forget(&mut self, id: &Arc<str>) {
        self.entries.remove(id);
    }

    /// Forgets the servers that left too long ago.
    pub(crate) fn expire(&mut self, now: time::Timestamp) {
        self.entries.retain(|_, departed| now.since(departed.left_at) < DEPARTED_RETENTION);
    }
}
