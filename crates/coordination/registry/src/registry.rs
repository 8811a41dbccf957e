//! The registrations of backend servers.
//!
//! Invariants: a server that is draining, gone or in a drained failure domain
//! is never shown as taking work; an entry that cannot be read names no server
//! and hides no other; an older answer never replaces a newer one.

use std::collections;
use std::sync::Arc;
use std::time as duration;

use marjoramwing_entity::time;
use marjoramwing_objects::operation;
use marjoramwing_tables::fault;
use marjoramwing_tables::registration;

use crate::change;
use crate::view;

/// Time after the store's return within which servers that live register again.
const LAPSE_GRACE: duration::Duration = duration::Duration::from_millis(2_200);
/// Time for which a server is kept whose entry goes within that time.
///
/// It may have lapsed or left; a leaving server must get no work for long.
const DOUBT_GRACE: duration::Duration = duration::Duration::from_millis(800);

/// What happened.
#[derive(Debug, Clone)]
pub enum RegistryEvent {
    /// The store told of registrations.
    Servers(operation::WatchAnswer),
    /// The store told of drained failure domains.
    Drains(operation::WatchAnswer),
    /// A call for registrations that was sent at this time got no answer.
    Failed(time::Timestamp),
    /// The store answered, but the registrations are still to be listed.
    Answered,
    /// Time has passed.
    Tick,
}

#[derive(Debug, Clone)]
struct KnownServer {
    registration: registration::ServerRegistration,
    revision: u64,
    /// Time at which the server counts as gone, if its entry is missing.
    gone_at: Option<time::Timestamp>,
}

/// Keeps what the store tells of backend servers.
#[derive(Debug, Default)]
pub struct ServerRegistry {
    servers: collections::BTreeMap<Arc<str>, KnownServer>,
    drained: collections::BTreeSet<Arc<str>>,
    revision: u64,
    drains_revision: u64,
    failing: bool,
    /// Time of the store's last answer of any kind.
    answered_at: Option<time::Timestamp>,
    /// Whether the store answers again and has not told the registrations yet.
    awaits_list: bool,
    /// End of the time in which lapsed entries come back.
    lapse_until: Option<time::Timestamp>,
}

impl ServerRegistry {
    /// Takes an event in and returns what changed.
    pub fn handle(
        &mut self,
        event: RegistryEvent,
        now: time::Timestamp,
    ) -> Vec<change::RegistryChange> {
        let mut changes = Vec::new();
        match event {
            RegistryEvent::Servers(answer) => {
                self.note_answer(now);
                let returns = std::mem::take(&mut self.awaits_list);
                let lapse_until = self.lapse_until.filter(|_| returns);
                let keep_until = lapse_until.unwrap_or(now + DOUBT_GRACE);
                self.take_servers(answer, keep_until, now, &mut changes);
            }
            RegistryEvent::Drains(answer) => {
                self.note_answer(now);
                self.take_drains(&answer, &mut changes);
            }
            // A call that was sent before the store's return says nothing of it.
            RegistryEvent::Failed(sent_at) => {
                self.failing |= self.answered_at.is_none_or(|answered_at| answered_at <= sent_at);
            }
            RegistryEvent::Answered => self.note_answer(now),
            RegistryEvent::Tick => self.drop_missing(now, &mut changes),
        }
        changes
    }

    fn note_answer(&mut self, now: time::Timestamp) {
        self.answered_at = Some(now);
        if std::mem::take(&mut self.failing) {
            self.awaits_list = true;
            self.lapse_until = Some(now + LAPSE_GRACE);
        }
    }

    /// Returns the revision up to which registrations are known.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the revision up to which drained failure domains are known.
    #[must_use]
    pub const fn drains_revision(&self) -> u64 {
        self.drains_revision
    }

    /// Returns the servers of each pool.
    #[must_use]
    pub fn view(&self) -> view::RegistryView {
        let mut view = view::RegistryView { revision: self.revision, ..Default::default() };
        for known in self.servers.values() {
            let registration = &known.registration;
            let mut server = registration.to_server();
            server.draining |= self.drained.contains(registration.failure_domain.as_str());
            view.pools.entry(registration.pool.clone()).or_default().push(server);
        }
        view
    }

    fn take_servers(
        &mut self,
        answer: operation::WatchAnswer,
        keep_until: time::Timestamp,
        now: time::Timestamp,
        changes: &mut Vec<change::RegistryChange>,
    ) {
        if answer.revision < self.revision {
            return;
        }
        self.revision = answer.revision;
        if answer.is_whole {
            let told: collections::BTreeSet<_> =
                answer.changes.iter().map(|change| Arc::clone(&change.name.name)).collect();
            let missing: Vec<_> =
                self.servers.keys().filter(|id| !told.contains(*id)).map(Arc::clone).collect();
            missing.into_iter().for_each(|id| self.remove(&id, keep_until, now, changes));
        }
        for told in answer.changes {
            self.take_server(told, keep_until, now, changes);
        }
    }

    fn take_server(
        &mut self,
        told: operation::ObjectChange,
        keep_until: time::Timestamp,
        now: time::Timestamp,
        changes: &mut Vec<change::RegistryChange>,
    ) {
        let (id, version) = (told.name.name, told.version.0);
        let known_revision = self.servers.get(&id).map_or(0, |known| known.revision);
        let value = match told.value {
            operation::ChangedValue::Told(value) => value,
            operation::ChangedValue::Deleted => return self.remove(&id, keep_until, now, changes),
            operation::ChangedValue::Unreadable(reason) => {
                return self.refuse(id, reason, changes);
            }
            operation::ChangedValue::Untold => return,
        };
        if version < known_revision {
            return;
        }
        match read_registration(&id, &value) {
            Ok(registration) => self.insert(id, registration, version, changes),
            Err(kind) => self.refuse(id, kind.to_string().into(), changes),
        }
    }

    fn insert(
        &mut self,
        id: Arc<str>,
        registration: registration::ServerRegistration,
        revision: u64,
        changes: &mut Vec<change::RegistryChange>,
    ) {
        let known = KnownServer { registration, revision, gone_at: None };
        let draining = known.registration.draining;
        let started_ms = known.registration.identity.started_ms;
        let changed = match self.servers.get(&id) {
            Some(before) if before.registration == known.registration => None,
            Some(before) if before.registration.identity.started_ms != started_ms => {
                Some(change::RegistryChange::Joined(Arc::clone(&id)))
            }
            Some(before) if draining && !before.registration.draining => {
                Some(change::RegistryChange::Draining(Arc::clone(&id)))
            }
            Some(_) => Some(change::RegistryChange::Updated(Arc::clone(&id))),
            None => Some(change::RegistryChange::Joined(Arc::clone(&id))),
        };
        changes.extend(changed);
        // An address belongs to the server that registered it last.
        let address = known.registration.address;
        let taken_over = self.servers.iter().filter(|(other, server)| {
            **other != id && server.registration.address == address && server.revision < revision
        });
        let taken_over: Vec<_> = taken_over.map(|(other, _)| Arc::clone(other)).collect();
        for other in taken_over {
            self.servers.remove(&other);
            changes.push(change::RegistryChange::Left(other));
        }
        self.servers.insert(id, known);
    }

    /// Removes a server, or waits for its return if its entry may have lapsed.
    fn remove(
        &mut self,
        id: &Arc<str>,
        keep_until: time::Timestamp,
        now: time::Timestamp,
        changes: &mut Vec<change::RegistryChange>,
    ) {
        let may_lapse = self.lapse_until.is_some_and(|until| now < until);
        let Some(known) = self.servers.get_mut(id) else { return };
        match may_lapse {
            true if !known.registration.draining => {
                if known.gone_at.is_none() {
                    known.gone_at = Some(keep_until);
                    changes.push(change::RegistryChange::Missing(Arc::clone(id)));
                }
            }
            _ => {
                self.servers.remove(id);
                changes.push(change::RegistryChange::Left(Arc::clone(id)));
            }
        }
    }

    fn refuse(
        &mut self,
        id: Arc<str>,
        reason: Arc<str>,
        changes: &mut Vec<change::RegistryChange>,
    ) {
        self.servers.remove(&id);
        changes.push(change::RegistryChange::Faulty(id, reason));
    }

    fn drop_missing(&mut self, now: time::Timestamp, changes: &mut Vec<change::RegistryChange>) {
        let is_gone = |known: &KnownServer| known.gone_at.is_some_and(|at| at <= now);
        let gone = self.servers.iter().filter(|(_, known)| is_gone(known));
        changes.extend(gone.map(|(id, _)| change::RegistryChange::Left(Arc::clone(id))));
        self.servers.retain(|_, known| !is_gone(known));
    }

    fn take_drains(
        &mut self,
        answer: &operation::WatchAnswer,
        changes: &mut Vec<change::RegistryChange>,
    ) {
        if answer.revision < self.drains_revision {
            return;
        }
        self.drains_revision = answer.revision;
        let mut drained = match answer.is_whole {
            true => collections::BTreeSet::new(),
            false => self.drained.clone(),
        };
        for told in &answer.changes {
            // Whatever an entry holds, its presence asks for the drain.
            match told.value {
                operation::ChangedValue::Deleted => drained.remove(&told.name.name),
                _ => drained.insert(Arc::clone(&told.name.name)),
            };
        }
        let added = drained.difference(&self.drained).map(Arc::clone);
        changes.extend(added.map(change::RegistryChange::DomainDrained));
        let removed = self.drained.difference(&drained).map(Arc::clone);
        changes.extend(removed.map(change::RegistryChange::DomainRestored));
        self.drained = drained;
    }
}

fn read_registration(
    id: &Arc<str>,
    value: &[u8],
) -> Result<registration::ServerRegistration, fault::FaultKind> {
    let raw: registration::RegistrationDocument = serde_json::from_slice(value)
        .map_err(|error| fault::FaultKind::Syntax(error.to_string().into()))?;
    registration::ServerRegistration::check(id, &raw)
}
