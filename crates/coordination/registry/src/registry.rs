//! The registrations of backend servers.
//!
//! Invariants: a server that is draining, removed or in a drained failure domain
//! is never shown as accepting work; an unreadable entry yields no server and
//! affects no other; an older answer never replaces a newer one.

use std::collections;
use std::sync::Arc;
use std::time as duration;

use marjoramwing_entity::time;
use marjoramwing_objects::operation;
use marjoramwing_tables::fault;
use marjoramwing_tables::registration;

use crate::change;
use crate::view;

/// Time within which running servers register again after the store becomes reachable.
const REREGISTRATION_GRACE: duration::Duration = duration::Duration::from_millis(2_200);
/// Time for which a server is kept if its entry disappears within [`REREGISTRATION_GRACE`], but
/// after the first answer with registrations.
///
/// The entry may have expired or the server may have left. The time is short because a server that
/// has left must not get work for long.
const REMOVAL_GRACE: duration::Duration = duration::Duration::from_millis(800);

/// An input of the registry.
#[derive(Debug, Clone)]
pub enum RegistryEvent {
    /// The store answered with registrations.
    Servers(operation::WatchAnswer),
    /// The store answered with drained failure domains.
    Drains(operation::WatchAnswer),
    /// A call for registrations that was sent at this time failed.
    Failed(time::Timestamp),
    /// The store answered, but the registrations still have to be listed.
    Answered,
    /// Time has passed.
    Tick,
}

#[derive(Debug, Clone)]
struct KnownServer {
    registration: registration::ServerRegistration,
    revision: u64,
    /// Time at which the server is removed; `None` while its entry exists.
    removal_at: Option<time::Timestamp>,
}

/// The backend servers and drained failure domains, as last reported by the store.
#[derive(Debug, Default)]
pub struct ServerRegistry {
    servers: collections::BTreeMap<Arc<str>, KnownServer>,
    drained: collections::BTreeSet<Arc<str>>,
    revision: u64,
    drains_revision: u64,
    /// Whether a call for registrations that was sent after the store's last answer has failed.
    failing: bool,
    /// Time of the store's last answer to any call.
    answered_at: Option<time::Timestamp>,
    /// Whether the store is reachable again but has not sent the registrations yet.
    awaits_registrations: bool,
    /// Time until which servers with expired entries may register again.
    reregistration_until: Option<time::Timestamp>,
}

impl ServerRegistry {
    /// Handles an event and returns the resulting changes.
    pub fn handle(
        &mut self,
        event: RegistryEvent,
        now: time::Timestamp,
    ) -> Vec<change::RegistryChange> {
        let mut changes = Vec::new();
        match event {
            RegistryEvent::Servers(answer) => {
                self.record_answer(now);
                let was_awaiting = std::mem::take(&mut self.awaits_registrations);
                // Entries that are missing from the first answer after an outage may have expired
                // during it, so their servers are kept for the whole re-registration period.
                let reregistration_until = self.reregistration_until.filter(|_| was_awaiting);
                let keep_until = reregistration_until.unwrap_or(now + REMOVAL_GRACE);
                self.apply_servers(answer, keep_until, now, &mut changes);
            }
            RegistryEvent::Drains(answer) => {
                self.record_answer(now);
                self.apply_drains(&answer, &mut changes);
            }
            // A call sent before the store's last answer says nothing about its current state.
            RegistryEvent::Failed(sent_at) => {
                self.failing |= self.answered_at.is_none_or(|answered_at| answered_at <= sent_at);
            }
            RegistryEvent::Answered => self.record_answer(now),
            RegistryEvent::Tick => self.remove_expired(now, &mut changes),
        }
        changes
    }

    fn record_answer(&mut self, now: time::Timestamp) {
        self.answered_at = Some(now);
        if std::mem::take(&mut self.failing) {
            self.awaits_registrations = true;
            self.reregistration_until = Some(now + REREGISTRATION_GRACE);
        }
    }

    /// Returns the store revision up to which registrations are known.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the store revision up to which drained failure domains are known.
    #[must_use]
    pub const fn drains_revision(&self) -> u64 {
        self.drains_revision
    }

    /// Returns a snapshot of the servers in each pool.
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

    fn apply_servers(
        &mut self,
        answer: operation::WatchAnswer,
        keep_until: time::Timestamp,
        now: time::Timestamp,
        changes: &mut Vec<change::RegistryChange>,
    ) {
        if answer.position.revision < self.revision {
            return;
        }
        self.revision = answer.position.revision;
        if answer.is_full_list {
            let listed: collections::BTreeSet<_> =
                answer.changes.iter().map(|change| Arc::clone(&change.name.name)).collect();
            let missing: Vec<_> =
                self.servers.keys().filter(|id| !listed.contains(*id)).map(Arc::clone).collect();
            missing.into_iter().for_each(|id| self.remove(&id, keep_until, now, changes));
        }
        for change in answer.changes {
            self.apply_server(change, keep_until, now, changes);
        }
    }

    fn apply_server(
        &mut self,
        change: operation::ObjectChange,
        keep_until: time::Timestamp,
        now: time::Timestamp,
        changes: &mut Vec<change::RegistryChange>,
    ) {
        let (id, version) = (change.name.name, change.version.0);
        let known_revision = self.servers.get(&id).map_or(0, |known| known.revision);
        let value = match change.value {
            operation::ChangedValue::Included(value) => value,
            operation::ChangedValue::Deleted => return self.remove(&id, keep_until, now, changes),
            operation::ChangedValue::Malformed(reason) => {
                return self.reject(id, reason, changes);
            }
            // The new value is unknown, so the known registration is kept.
            operation::ChangedValue::Omitted => return,
        };
        if version < known_revision {
            return;
        }
        match parse_registration(&id, &value) {
            Ok(registration) => self.insert(id, registration, version, changes),
            Err(kind) => self.reject(id, kind.to_string().into(), changes),
        }
    }

    fn insert(
        &mut self,
        id: Arc<str>,
        registration: registration::ServerRegistration,
        revision: u64,
        changes: &mut Vec<change::RegistryChange>,
    ) {
        let known = KnownServer { registration, revision, removal_at: None };
        let draining = known.registration.draining;
        let started_ms = known.registration.identity.started_ms;
        let change = match self.servers.get(&id) {
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
        changes.extend(change);
        // An address belongs to the server that registered it last.
        let address = known.registration.address;
        let superseded = self.servers.iter().filter(|(other, server)| {
            **other != id && server.registration.address == address && server.revision < revision
        });
        let superseded: Vec<_> = superseded.map(|(other, _)| Arc::clone(other)).collect();
        for other in superseded {
            self.servers.remove(&other);
            changes.push(change::RegistryChange::Left(other));
        }
        self.servers.insert(id, known);
    }

    /// Removes a server, or keeps it until `keep_until` if its entry may have expired.
    ///
    /// A draining server is always removed at once.
    fn remove(
        &mut self,
        id: &Arc<str>,
        keep_until: time::Timestamp,
        now: time::Timestamp,
        changes: &mut Vec<change::RegistryChange>,
    ) {
        let may_reregister = self.reregistration_until.is_some_and(|until| now < until);
        let Some(known) = self.servers.get_mut(id) else { return };
        match may_reregister {
            true if !known.registration.draining => {
                if known.removal_at.is_none() {
                    known.removal_at = Some(keep_until);
                    changes.push(change::RegistryChange::Missing(Arc::clone(id)));
                }
            }
            _ => {
                self.servers.remove(id);
                changes.push(change::RegistryChange::Left(Arc::clone(id)));
            }
        }
    }

    /// Removes the server of an entry that is not a valid registration.
    fn reject(
        &mut self,
        id: Arc<str>,
        reason: Arc<str>,
        changes: &mut Vec<change::RegistryChange>,
    ) {
        self.servers.remove(&id);
        changes.push(change::RegistryChange::Faulty(id, reason));
    }

    fn remove_expired(&mut self, now: time::Timestamp, changes: &mut Vec<change::RegistryChange>) {
        let is_expired = |known: &KnownServer| known.removal_at.is_some_and(|at| at <= now);
        let expired = self.servers.iter().filter(|(_, known)| is_expired(known));
        changes.extend(expired.map(|(id, _)| change::RegistryChange::Left(Arc::clone(id))));
        self.servers.retain(|_, known| !is_expired(known));
    }

    fn apply_drains(
        &mut self,
        answer: &operation::WatchAnswer,
        changes: &mut Vec<change::RegistryChange>,
    ) {
        if answer.position.revision < self.drains_revision {
            return;
        }
        self.drains_revision = answer.position.revision;
        let mut drained = match answer.is_full_list {
            true => collections::BTreeSet::new(),
            false => self.drained.clone(),
        };
        for change in &answer.changes {
            // An entry drains its failure domain by existing; its value is ignored.
            match change.value {
                operation::ChangedValue::Deleted => drained.remove(&change.name.name),
                _ => drained.insert(Arc::clone(&change.name.name)),
            };
        }
        let added = drained.difference(&self.drained).map(Arc::clone);
        changes.extend(added.map(change::RegistryChange::DomainDrained));
        let removed = self.drained.difference(&drained).map(Arc::clone);
        changes.extend(removed.map(change::RegistryChange::DomainRestored));
        self.drained = drained;
    }
}

fn parse_registration(
    id: &Arc<str>,
    value: &[u8],
) -> Result<registration::ServerRegistration, fault::FaultKind> {
    let document: registration::RegistrationDocument = serde_json::from_slice(value)
        .map_err(|error| fault::FaultKind::Syntax(error.to_string().into()))?;
    registration::ServerRegistration::check(id, &document)
}
