//! The registrations of backend servers.
//!
//! Invariants: a server that is draining, removed or in a drained failure domain
//! is never shown as accepting work; an unreadable entry yields no server and
//! affects no other; an older answer never replaces a newer one; a restored store,
//! which lists older entries again, undoes no departure and no draining.

use std::collections;
use std::sync::Arc;
use std::time as duration;

use marjoramwing_entity::time;
use marjoramwing_objects::operation;
use marjoramwing_objects::position;

use crate::change;
use crate::departure;
use crate::entry;
use crate::evacuation;
use crate::grace;
use crate::view;

/// Time within which running servers register again after the store becomes reachable.
const REREGISTRATION_GRACE: duration::Duration = duration::Duration::from_millis(2_200);
/// Time for which a server is kept if its entry disappears within [`REREGISTRATION_GRACE`], but
/// after the first answer with registrations.
///
/// The entry may have expired or the server may have left. The time is short because a server that
/// has left must not get work for long.
const REMOVAL_GRACE: duration::Duration = duration::Duration::from_millis(800);

/// Shortest time without an answer in which entries may have expired: the store removes them after
/// three missed heartbeats, of which one may have been due before and one after that time.
const MIN_OUTAGE: duration::Duration = duration::Duration::from_millis(1_500);

/// An input of the registry.
#[derive(Debug, Clone)]
pub enum RegistryEvent {
    /// The store answered with registrations.
    Servers(operation::WatchAnswer),
    /// The store answered with drained failure domains.
    Drains(operation::WatchAnswer),
    /// A call for registrations that was sent at this time failed.
    Failed(time::Timestamp),
    /// The store is known to have answered this instance or another one at this time.
    Confirmed(time::Timestamp),
    /// The store answered, but the registrations still have to be listed.
    Answered,
    /// Time has passed.
    Tick,
}

#[derive(Debug, Clone)]
struct KnownServer {
    entry: entry::ServerEntry,
    /// Period after which the server is removed; `None` while its entry exists.
    removal: Option<grace::GracePeriod>,
}

/// An answer with registrations, as far as it matters for each of them.
#[derive(Debug, Clone, Copy)]
struct AnswerContext {
    position: position::StorePosition,
    source: entry::EntrySource,
    /// Time until which a server is kept if its entry may have expired.
    keep_until: time::Timestamp,
    now: time::Timestamp,
}

/// The backend servers and drained failure domains, as last reported by the store.
#[derive(Debug, Default)]
pub struct ServerRegistry {
    servers: collections::BTreeMap<Arc<str>, KnownServer>,
    departed: departure::DepartedServers,
    /// Entries of a restored store that are ignored until the store had time to expire them.
    outdated: collections::BTreeMap<Arc<str>, entry::OutdatedEntry>,
    domains: evacuation::DrainedDomains,
    position: position::StorePosition,
    /// Newest era of the store that any answer stated.
    era: Option<position::StoreEra>,
    /// Time since which the store's history is known to be gone, until the next answer.
    history_gone_at: Option<time::Timestamp>,
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
                self.record_answer(Some(answer.position.era), now);
                self.apply_servers(answer, now, &mut changes);
            }
            RegistryEvent::Drains(answer) => {
                self.record_answer(Some(answer.position.era), now);
                self.domains.apply(&answer, now, &mut changes);
            }
            // A call sent before the store's last answer says nothing about its current state.
            RegistryEvent::Failed(sent_at) => {
                self.failing |= self.answered_at.is_none_or(|answered_at| answered_at <= sent_at);
            }
            RegistryEvent::Confirmed(at) => self.answered_at = self.answered_at.max(Some(at)),
            RegistryEvent::Answered => self.record_answer(None, now),
            RegistryEvent::Tick => self.expire(now, &mut changes),
        }
        changes
    }

    /// Records an answer of the store and, unless its history is gone, the answer's era.
    ///
    /// Starts the re-registration period after an outage, and in a new era: its store may have
    /// been away without any call noticing.
    fn record_answer(&mut self, era: Option<position::StoreEra>, now: time::Timestamp) {
        if era.is_some() && era < self.era {
            return;
        }
        let answered_before = self.answered_at.replace(now);
        if std::mem::take(&mut self.failing) {
            self.history_gone_at = None;
            if answered_before.is_none_or(|before| now.since(before) >= MIN_OUTAGE) {
                self.await_registrations(now);
                self.restart_periods(now);
            }
        }
        let Some(era) = era else {
            self.history_gone_at.get_or_insert(now);
            return;
        };
        let answered_at = self.history_gone_at.take().unwrap_or(now);
        if self.era.replace(era).is_some_and(|known| known < era) {
            self.await_registrations(answered_at);
        }
    }

    fn await_registrations(&mut self, answered_at: time::Timestamp) {
        self.awaits_registrations = true;
        self.reregistration_until = Some(answered_at + REREGISTRATION_GRACE);
    }

    /// Restarts the periods in which servers or operators write to a restored store, since nobody
    /// could while it was away again.
    fn restart_periods(&mut self, now: time::Timestamp) {
        let era = self.position.era;
        for known in self.servers.values_mut() {
            let is_missing = known.entry.absence_in(era) == entry::ServerPresence::Missing;
            if let Some(period) = known.removal.as_mut().filter(|_| is_missing) {
                period.restart(now, REREGISTRATION_GRACE);
            }
        }
        self.outdated.values_mut().for_each(|outdated| outdated.extend_hold(now));
        self.domains.restart_grace(now);
    }

    /// Returns the position of the store up to which registrations are known.
    #[must_use]
    pub const fn position(&self) -> position::StorePosition {
        self.position
    }

    /// Returns a snapshot of the servers in each pool.
    #[must_use]
    pub fn view(&self) -> view::RegistryView {
        let mut view =
            view::RegistryView { revision: self.position.revision, ..Default::default() };
        for known in self.servers.values() {
            let registration = &known.entry.registration;
            let mut server = registration.to_server();
            server.draining |= self.domains.contains(registration.failure_domain.as_str());
            view.pools.entry(registration.pool.clone()).or_default().push(server);
        }
        view
    }

    /// Applies an answer with registrations; an older one changes nothing.
    fn apply_servers(
        &mut self,
        mut answer: operation::WatchAnswer,
        now: time::Timestamp,
        changes: &mut Vec<change::RegistryChange>,
    ) {
        let position = answer.position;
        if position < self.position {
            return;
        }
        // Entries that are missing from the first answer after an outage may have expired
        // during it, so their servers are kept for the whole re-registration period.
        let is_current = self.era == Some(position.era);
        let was_awaiting = is_current && std::mem::take(&mut self.awaits_registrations);
        let reregistration_until = self.reregistration_until.filter(|_| was_awaiting);
        let keep_until = reregistration_until.unwrap_or(now + REMOVAL_GRACE);
        let source = match answer.is_full_list && position.era > self.position.era {
            true => entry::EntrySource::RestoredList,
            false => entry::EntrySource::Change,
        };
        let context = AnswerContext { position, source, keep_until, now };
        self.position = position;
        if answer.is_full_list {
            let listed: collections::BTreeSet<_> =
                answer.changes.iter().map(|change| Arc::clone(&change.name.name)).collect();
            let missing: Vec<_> =
                self.servers.keys().filter(|id| !listed.contains(*id)).map(Arc::clone).collect();
            missing.into_iter().for_each(|id| self.remove(&id, context, changes));
            self.outdated.retain(|id, _| listed.contains(id));
            // The last owner of an address has to come last.
            answer.changes.sort_by_key(|change| change.version);
        }
        for change in answer.changes {
            self.apply_server(change, context, changes);
        }
    }

    fn apply_server(
        &mut self,
        change: operation::ObjectChange,
        context: AnswerContext,
        changes: &mut Vec<change::RegistryChange>,
    ) {
        let id = change.name.name;
        let value = match change.value {
            operation::ChangedValue::Included(value) => value,
            operation::ChangedValue::Deleted => {
                self.outdated.remove(&id);
                return self.remove(&id, context, changes);
            }
            operation::ChangedValue::Malformed(reason) => {
                return self.reject(id, reason, context, changes);
            }
            // The new value is unknown, so the known registration is kept.
            operation::ChangedValue::Omitted => return,
        };
        let era = context.position.era;
        let position = position::StorePosition { era, revision: change.version.revision() };
        let outdated = self.outdated.get(&id);
        if self.servers.get(&id).is_some_and(|known| position < known.entry.position)
            || outdated.is_some_and(|outdated| position <= outdated.entry.position)
        {
            return;
        }
        match entry::ServerEntry::parse(&id, &value, position) {
            Ok(entry) => self.accept_or_hold(id, entry, context, changes),
            Err(kind) => self.reject(id, kind.to_string().into(), context, changes),
        }
    }

    /// Inserts an entry, unless it may be older than what is known from an earlier era.
    fn accept_or_hold(
        &mut self,
        id: Arc<str>,
        entry: entry::ServerEntry,
        context: AnswerContext,
        changes: &mut Vec<change::RegistryChange>,
    ) {
        if !self.is_outdated(&id, &entry, context.source) {
            return self.insert(id, entry, context.now, changes);
        }
        if let Some(known) = self.servers.get_mut(&id) {
            known.removal = None;
        }
        changes.push(change::RegistryChange::Outdated(Arc::clone(&id)));
        self.outdated.insert(id, entry::OutdatedEntry::new(entry, context.now));
    }

    /// Returns true if an entry may be older than what is known of its server or of the present
    /// owner of its address.
    fn is_outdated(
        &self,
        id: &Arc<str>,
        entry: &entry::ServerEntry,
        source: entry::EntrySource,
    ) -> bool {
        let present = self.servers.get(id).map(|known| {
            let presence = entry::ServerPresence::Present;
            entry::KnownEntry { entry: &known.entry, presence }
        });
        let known = present.or_else(|| self.departed.get(id));
        let address = entry.registration.address;
        let mut owners = self
            .servers
            .iter()
            .filter(|(other, server)| *other != id && server.entry.registration.address == address);
        known.is_some_and(|known| entry.is_outdated(&known, source))
            || owners.any(|(_, owner)| entry.is_earlier_owner(&owner.entry, source))
    }

    fn insert(
        &mut self,
        id: Arc<str>,
        entry: entry::ServerEntry,
        now: time::Timestamp,
        changes: &mut Vec<change::RegistryChange>,
    ) {
        self.outdated.remove(&id);
        self.departed.forget(&id);
        let before = self.servers.get(&id).map(|known| &known.entry);
        changes.extend(entry.change_since(before, &id));
        // An address belongs to the server that registered it last.
        let (address, position) = (entry.registration.address, entry.position);
        let superseded = self.servers.iter().filter(|(other, server)| {
            **other != id
                && server.entry.registration.address == address
                && server.entry.position < position
        });
        let superseded: Vec<_> = superseded.map(|(other, _)| Arc::clone(other)).collect();
        for other in superseded {
            self.depart(&other, entry::ServerPresence::Removed, now, changes);
        }
        self.servers.insert(id, KnownServer { entry, removal: None });
    }

    /// Removes a server, or keeps it until `keep_until` if its entry may have expired.
    ///
    /// A draining server is always removed at once.
    fn remove(
        &mut self,
        id: &Arc<str>,
        context: AnswerContext,
        changes: &mut Vec<change::RegistryChange>,
    ) {
        let may_reregister = self.reregistration_until.is_some_and(|until| context.now < until);
        let Some(known) = self.servers.get_mut(id) else { return };
        let is_restored = context.source == entry::EntrySource::RestoredList;
        if !is_restored {
            known.entry.advance_to(context.position.era);
        }
        if !may_reregister || known.entry.registration.draining {
            let presence = known.entry.absence_in(context.position.era);
            return self.depart(id, presence, context.now, changes);
        }
        let period = grace::GracePeriod::until(context.keep_until);
        match &mut known.removal {
            None => {
                known.removal = Some(period);
                changes.push(change::RegistryChange::Missing(Arc::clone(id)));
            }
            Some(removal) if is_restored => *removal = period,
            Some(_) => {}
        }
    }

    /// Removes a server and remembers it.
    fn depart(
        &mut self,
        id: &Arc<str>,
        presence: entry::ServerPresence,
        now: time::Timestamp,
        changes: &mut Vec<change::RegistryChange>,
    ) {
        let Some(known) = self.servers.remove(id) else { return };
        self.departed.record(Arc::clone(id), known.entry, presence, now);
        changes.push(change::RegistryChange::Left(Arc::clone(id)));
    }

    /// Removes the server of an entry that is not a valid registration.
    ///
    /// In a copy, the entry may be older than the server's registration.
    fn reject(
        &mut self,
        id: Arc<str>,
        reason: Arc<str>,
        context: AnswerContext,
        changes: &mut Vec<change::RegistryChange>,
    ) {
        self.outdated.remove(&id);
        changes.push(change::RegistryChange::Faulty(Arc::clone(&id), reason));
        if context.source == entry::EntrySource::RestoredList {
            return self.remove(&id, context, changes);
        }
        if let Some(mut known) = self.servers.remove(&id) {
            known.entry.advance_to(context.position.era);
            let presence = entry::ServerPresence::Removed;
            self.departed.record(id, known.entry, presence, context.now);
        }
    }

    /// Removes the servers that have not returned in time, and accepts the entries that the store
    /// still has although they seemed outdated.
    fn expire(&mut self, now: time::Timestamp, changes: &mut Vec<change::RegistryChange>) {
        let expired = self
            .servers
            .iter()
            .filter(|(_, known)| known.removal.is_some_and(|period| period.has_ended(now)));
        let expired =
            expired.map(|(id, known)| (Arc::clone(id), known.entry.absence_in(self.position.era)));
        for (id, presence) in expired.collect::<Vec<_>>() {
            if presence == entry::ServerPresence::Removed || !self.failing {
                self.depart(&id, presence, now, changes);
            }
        }
        self.departed.expire(now);
        if self.failing {
            return;
        }
        let accepted = self.outdated.extract_if(.., |_, outdated| outdated.hold.has_ended(now));
        for (id, outdated) in accepted.collect::<Vec<_>>() {
            self.insert(id, outdated.entry, now, changes);
        }
        self.domains.expire(now, changes);
    }
}
