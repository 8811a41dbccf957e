//! All records, and which update wins.
//!
//! Invariants: a sequence never falls, a gone run never returns, and a run is
//! dead only after this instance's own suspicion of it has run out.

use std::collections;
use std::sync::Arc;

use marjoramwing_entity::incarnation;
use marjoramwing_entity::time;

use crate::member;
use crate::record;
use crate::update;

type RecordMap = collections::BTreeMap<incarnation::Incarnation, record::MemberRecord>;

/// Records of all other instances.
#[derive(Debug, Clone, Default)]
pub struct MemberRoster {
    records: RecordMap,
}

impl MemberRoster {
    /// Returns the record of a run.
    #[must_use]
    pub fn get(&self, incarnation: incarnation::Incarnation) -> Option<&record::MemberRecord> {
        self.records.get(&incarnation)
    }

    /// Iterates over all records in the order of their incarnations.
    pub fn iter(&self) -> impl Iterator<Item = (incarnation::Incarnation, &record::MemberRecord)> {
        self.records.iter().map(|(incarnation, record)| (*incarnation, record))
    }

    /// Iterates over the runs that are neither dead nor gone.
    pub fn present(
        &self,
    ) -> impl Iterator<Item = (incarnation::Incarnation, &record::MemberRecord)> {
        self.iter().filter(|(_, record)| record.is_present())
    }

    /// Takes an update in and tells whether it changed anything.
    pub fn apply(&mut self, update: &update::MemberUpdate, now: time::Timestamp) -> bool {
        match self.records.get_mut(&update.incarnation) {
            Some(record) => apply_known(record, update, now),
            None => self.apply_unknown(update, now),
        }
    }

    /// Suspects a run that did not answer and tells whether it was alive.
    pub fn suspect(&mut self, target: incarnation::Incarnation, now: time::Timestamp) -> bool {
        match self.records.get_mut(&target) {
            Some(record) if record.health == record::RecordHealth::Alive => {
                record.health = record::RecordHealth::Suspect { since: now };
                true
            }
            _ => false,
        }
    }

    /// Remembers a run that another run has replaced at its address.
    pub fn bury(
        &mut self,
        target: incarnation::Incarnation,
        profile: &Arc<member::MemberProfile>,
        now: time::Timestamp,
    ) -> bool {
        let health = record::RecordHealth::Gone { since: now };
        let profile = Arc::clone(profile);
        let grave = record::MemberRecord {
            profile,
            sequence: 0,
            phase: member::MemberPhase::Leaving,
            health,
        };
        let record = self.records.entry(target).or_insert_with(|| grave.clone());
        let is_new = record.is_present() || record.is_dead() || *record == grave;
        record.health = health;
        is_new
    }

    /// Ends suspicions that have run out and tells whether any has.
    pub fn expire_suspicions(
        &mut self,
        suspicion: std::time::Duration,
        alone: bool,
        now: time::Timestamp,
    ) -> bool {
        let mut changed = false;
        for record in self.records.values_mut() {
            let record::RecordHealth::Suspect { since } = record.health else { continue };
            if now.since(since) >= suspicion {
                record.health = record::RecordHealth::Dead { since: now, alone };
                changed = true;
            }
        }
        changed
    }

    /// Moves the start of all suspicions forward by a pause of this process.
    pub fn forgive_pause(&mut self, pause: std::time::Duration) {
        for record in self.records.values_mut() {
            if let record::RecordHealth::Suspect { since } = &mut record.health {
                *since += pause;
            }
        }
    }

    /// Forgets what has been dead or gone for long.
    pub fn forget_old(
        &mut self,
        dead_memory: std::time::Duration,
        gone_memory: std::time::Duration,
        now: time::Timestamp,
    ) {
        self.records.retain(|_, record| match record.health {
            record::RecordHealth::Alive | record::RecordHealth::Suspect { .. } => true,
            record::RecordHealth::Dead { since, .. } => now.since(since) < dead_memory,
            record::RecordHealth::Gone { since } => now.since(since) < gone_memory,
        });
    }

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
        (update::UpdateHealth::Alive, record::RecordHealth::Dead { alone: true, .. }) => {
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
