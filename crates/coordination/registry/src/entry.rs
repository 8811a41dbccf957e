//! Entries of servers, ordered across the eras of the store.
//!
//! A restored store lists entries that were replaced or deleted in the era before. A server's
//! entries of different eras are ordered by the start of its process, then by the number of its
//! heartbeat.

use std::cmp;
use std::sync::Arc;
use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::time;
use marjoramwing_objects::position;
use marjoramwing_tables::fault;
use marjoramwing_tables::registration;

use crate::change;
use crate::grace;

/// Time after which an entry that seemed outdated is accepted.
///
/// The store removes the entry of a server that is gone after three missed heartbeats, so what is
/// still there is written by a running server.
const OUTDATED_HOLD: duration::Duration = duration::Duration::from_secs(10);

/// How an entry was learned.
#[derives::value]
pub(crate) enum EntrySource {
    /// From the first list of an era, which contains entries of the copy.
    RestoredList,
    /// As a change within the era, or before any other era was known.
    Change,
}

/// A server's registration and the position of its last change.
#[derives::record]
pub(crate) struct ServerEntry {
    pub(crate) registration: registration::ServerRegistration,
    pub(crate) position: position::StorePosition,
}

impl ServerEntry {
    /// Parses the value that the store has at a position for a server.
    ///
    /// # Errors
    ///
    /// Returns the first fault of an invalid registration.
    pub(crate) fn parse(
        id: &Arc<str>,
        value: &[u8],
        position: position::StorePosition,
    ) -> Result<Self, fault::FaultKind> {
        let document: registration::RegistrationDocument = serde_json::from_slice(value)
            .map_err(|error| fault::FaultKind::Syntax(error.to_string().into()))?;
        let registration = registration::ServerRegistration::check(id, &document)?;
        Ok(Self { registration, position })
    }

    /// Returns true if this entry may be older than a known one of the same server.
    ///
    /// Within an era, revisions tell the order and the caller compares them.
    pub(crate) fn is_outdated(&self, known: &KnownEntry<'_>, source: EntrySource) -> bool {
        let entry = known.entry;
        if entry.position.era >= self.position.era {
            return false;
        }
        if let Some(order) = self.compare_starts(entry) {
            return order == cmp::Ordering::Less;
        }
        let (new, old) = (&self.registration, &entry.registration);
        let order = new.sequence.zip(old.sequence).map(|(new, old)| new.cmp(&old));
        let is_departed = known.presence != ServerPresence::Present;
        let accepts_again = is_departed || (old.draining && !new.draining);
        match source {
            // Heartbeats between the last known one and the departure were not seen, so the copy
            // may have a newer one although the server is gone.
            EntrySource::RestoredList if known.presence == ServerPresence::Removed => true,
            EntrySource::RestoredList if accepts_again => order != Some(cmp::Ordering::Greater),
            EntrySource::RestoredList => {
                order == Some(cmp::Ordering::Less) && !new.draining && !new.has_same_content(old)
            }
            EntrySource::Change => accepts_again && order.is_some_and(cmp::Ordering::is_le),
        }
    }

    /// Returns true if this entry's server had the address of `other` before it, by what is known
    /// from another era.
    pub(crate) fn is_earlier_owner(&self, other: &Self, source: EntrySource) -> bool {
        if self.position.era == other.position.era {
            return false;
        }
        match self.compare_starts(other) {
            Some(order) => order == cmp::Ordering::Less,
            None => source == EntrySource::RestoredList,
        }
    }

    /// Returns the change from the entry before, unless they have the same content.
    pub(crate) fn change_since(
        &self,
        before: Option<&Self>,
        id: &Arc<str>,
    ) -> Option<change::RegistryChange> {
        let (new, id) = (&self.registration, Arc::clone(id));
        match before.map(|before| &before.registration) {
            Some(old) if old.has_same_content(new) => None,
            Some(old) if old.identity.started_ms != new.identity.started_ms => {
                Some(change::RegistryChange::Joined(id))
            }
            Some(old) if new.draining && !old.draining => {
                Some(change::RegistryChange::Draining(id))
            }
            Some(_) => Some(change::RegistryChange::Updated(id)),
            None => Some(change::RegistryChange::Joined(id)),
        }
    }

    /// Notes that the store no longer has the entry in an era, in which any later one is new.
    pub(crate) const fn advance_to(&mut self, era: position::StoreEra) {
        if era.0 > self.position.era.0 {
            self.position = position::StorePosition { era, revision: 0 };
        }
    }

    /// Returns why the server is not in the registry, if it is removed in an era.
    pub(crate) fn absence_in(&self, era: position::StoreEra) -> ServerPresence {
        if self.position.era < era { ServerPresence::Missing } else { ServerPresence::Removed }
    }

    /// Compares the starts of the processes; `None` if they are unknown or equal.
    fn compare_starts(&self, other: &Self) -> Option<cmp::Ordering> {
        let starts = [self, other].map(|entry| entry.registration.identity.started_ms);
        let [new, old] = starts;
        Some(new.cmp(&old)).filter(|order| order.is_ne() && !starts.contains(&0))
    }
}

/// The newest entry known of a server.
#[derive(Debug)]
pub(crate) struct KnownEntry<'a> {
    pub(crate) entry: &'a ServerEntry,
    pub(crate) presence: ServerPresence,
}

/// Whether a server is in the registry, and why not.
#[derives::value]
pub(crate) enum ServerPresence {
    /// It is in the registry.
    Present,
    /// It was missing in a restored store and did not register again in time.
    Missing,
    /// Its entry was removed, or its address went to another server.
    Removed,
}

/// An entry that may be older than what is known of its server or its address.
#[derives::record]
pub(crate) struct OutdatedEntry {
    pub(crate) entry: ServerEntry,
    /// Period after which the entry is accepted if the store still has it.
    pub(crate) hold: grace::GracePeriod,
}

impl OutdatedEntry {
    /// Creates the record of an entry that is ignored from now on.
    pub(crate) fn new(entry: ServerEntry, now: time::Timestamp) -> Self {
        Self { entry, hold: grace::GracePeriod::until(now + OUTDATED_HOLD) }
    }

    /// Ignores the entry for the whole time again, up to the maximum.
    pub(crate) fn extend_hold(&mut self, now: time::Timestamp) {
        self.hold.restart(now, OUTDATED_HOLD);
    }
}
