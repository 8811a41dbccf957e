//! All records and the rules for merging updates.
//!
//! Invariants, for as long as a record is kept: its sequence number never
//! decreases, a gone incarnation never becomes present again, and an
//! incarnation is dead only after the local instance's own suspicion of it has
//! timed out.

use std::collections;
use std::sync::Arc;

use marjoramwing_entity::incarnation;
use marjoramwing_entity::time;

use crate::member;
use crate::record;
use crate::update;

type RecordMap = collections::BTreeMap<incarnation::Incarnation, record::MemberRecord>;

/// Records of all instances other than the local one, by incarnation.
#[derive(Debug, Clone, Default)]
pub struct MemberRoster {
    records: RecordMap,
}

impl MemberRoster {
    /// Returns the record of an incarnation.
    #[must_use]
    pub fn get(&self, incarnation: incarnation::Incarnation) -> Option<&record::MemberRecord> {
        self.records.get(&incarnation)
    }

    /// Iterates over all records, ordered by incarnation.
    pub fn iter(&self) -> impl Iterator<Item = (incarnation::Incarnation, &record::MemberRecord)> {
        self.records.iter().map(|(incarnation, record)| (*incarnation, record))
    }

    /// Iterates over the records that are neither dead nor gone.
    pub fn present(
        &self,
    ) -> impl Iterator<Item = (incarnation::Incarnation, &record::MemberRecord)> {
        self.iter().filter(|(_, record)| record.is_present())
    }

    /// Merges an update. Returns true if it changed a record.
    pub fn apply(&mut self, update: &update::MemberUpdate, now: time::Timestamp) -> bool {
        match self.records.get_mut(&update.incarnation) {
            Some(record) => apply_known(record, update, now),
            None => self.apply_unknown(update, now),
        }
    }

    /// Suspects an incarnation that did not answer. Returns true if it was alive.
    pub fn suspect(&mut self, target: incarnation::Incarnation, now: time::Timestamp) -> bool {
        match self.records.get_mut(&target) {
            Some(record) if record.health == record::RecordHealth::Alive => {
                record.health = record::RecordHealth::Suspect { since: now };
                true
            }
            _ => false,
        }
    }

    /// Marks an incarnation as gone because another one answers at its address.
    ///
    /// A record is created if there is none, so that older gossip does not add the incarnation.
    /// Returns true if it was not marked as gone before.
    pub fn mark_replaced(
        &mut self,
        target: incarnation::Incarnation,
        profile: &Arc<member::MemberProfile>,
        now: time::Timestamp,
    ) -> bool {
        let health = record::RecordHealth::Gone { since: now };
        let profile = Arc::clone(profile);
        let gone_record = record::MemberRecord {
            profile,
            sequence: 0,
            phase: member::MemberPhase::Leaving,
            health,
        };
        let record = self.records.entry(target).or_insert_with(|| gone_record.clone());
        // A record that was just inserted equals `gone_record`.
        let is_new = record.is_present() || record.is_dead() || *record == gone_record;
        record.health = health;
        is_new
    }

    /// Declares dead all members whose suspicion has timed out. Returns true if there were any.
    ///
    /// `while_isolated` is true if the local instance is isolated now.
    pub fn expire_suspicions(
        &mut self,
        suspicion_timeout: std::time::Duration,
        while_isolated: bool,
        now: time::Timestamp,
    ) -> bool {
        let mut changed = false;
        for record in self.records.values_mut() {
            let record::RecordHealth::Suspect { since } = record.health else { continue };
            if now.since(since) >= suspicion_timeout {
                record.health = record::RecordHealth::Dead { since: now, while_isolated };
                changed = true;
            }
        }
        changed
    }

    /// Extends all suspicions by the time for which the local process was paused.
    pub fn extend_suspicions(&mut self, pause: std::time::Duration) {
        for record in self.records.values_mut() {
            if let record::RecordHealth::Suspect { since } = &mut record.health {
                *since += pause;
            }
        }
    }

    /// Removes the records whose retention period has expired.
    pub fn remove_expired(
        &mut self,
        dead_retention: std::time::Duration,
        gone_retention: std::time::Duration,
        now: time::Timestamp,
    ) {
        self.records.retain(|_, record| match record.health {
            record::RecordHealth::Alive | record::RecordHealth::Suspect { .. } => true,
            record::RecordHealth::Dead { since, .. } => now.since(since) < dead_retention,
            record::RecordHealth::Gone { since } => now.since(since) < gone_retention,
        });
    }

    /// Adds a record if the update has a profile and its incarnation is not gone.
    fn apply_unknown(&mut self, update: &update::MemberUpdate, now: time::Timestamp) -> bool {
        let Some(profile) = &update.profile else { return false };
        let health = match update.health {
            update::UpdateHealth::Alive => record::RecordHealth::Alive,
            update::UpdateHealth::Suspect => record::RecordHealth::Suspect { since: now },
            update::UpdateHealth::Gone => return false,
        };
        let record = record::MemberRecord {
            profile: Arc::clone(profile),
            sequence: update.sequence,
            phase: update.phase,
            health,
        };
        self.records.insert(update.incarnation, record);
        true
    }
}

/// Merges an update into the record of its incarnation. Returns true if it changed the record.
///
/// At an equal sequence number, an alive update does not end a suspicion: only a refutation does,
/// which has a higher one.
fn apply_known(
    record: &mut record::MemberRecord,
    update: &update::MemberUpdate,
    now: time::Timestamp,
) -> bool {
    if matches!(record.health, record::RecordHealth::Gone { .. }) {
        return false;
    }
    if update.health == update::UpdateHealth::Gone {
        record.health = record::RecordHealth::Gone { since: now };
        return true;
    }
    if update.sequence < record.sequence {
        return false;
    }
    let is_newer = update.sequence > record.sequence;
    let health = match (update.health, record.health) {
        // The verdict is unreliable, so any sign of life replaces it.
        (update::UpdateHealth::Alive, record::RecordHealth::Dead { while_isolated: true, .. }) => {
            record::RecordHealth::Alive
        }
        (update::UpdateHealth::Alive, _) if is_newer => record::RecordHealth::Alive,
        (update::UpdateHealth::Suspect, record::RecordHealth::Alive) => {
            record::RecordHealth::Suspect { since: now }
        }
        (update::UpdateHealth::Suspect, _) if is_newer => {
            record::RecordHealth::Suspect { since: now }
        }
        (_, health) => health,
    };
    let phase = record.phase.max(update.phase);
    let changed = is_newer || health != record.health || phase != record.phase;
    record.sequence = update.sequence;
    record.health = health;
    record.phase = phase;
    changed
}
