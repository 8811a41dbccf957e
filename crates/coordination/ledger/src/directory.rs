//! Which instance holds each limit, as known to this instance.
//!
//! The platform's store is authoritative: many limits share an object, and an entry changes
//! only by a conditional write. The local copy may be stale; an instance that does not hold
//! a limit says so when it gets a token request for it. After a write without an answer, the
//! object is read again before the next write.
//!
//! An instance claims a limit by writing an entry that names itself as the holder. It claims
//! only limits without an entry, or with an entry whose lease has ended.

use std::collections;
use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::incarnation;
use marjoramwing_entity::time;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;

use crate::action;
use crate::limit;
use crate::message;

/// Number of objects over which the limits are sharded.
pub const SHARD_COUNT: u64 = 16;
/// Delay before a failed operation is retried.
const RETRY_DELAY: duration::Duration = duration::Duration::from_millis(500);
/// Minimum time between two reads of an object that may be stale.
const STALE_READ_PERIOD: duration::Duration = duration::Duration::from_secs(1);

/// The known holders of all limits.
#[derive(Debug)]
pub struct HolderDirectory {
    shards: Vec<DirectoryShard>,
    /// Last term known to have ended, by holder.
    ended: collections::BTreeMap<incarnation::Incarnation, u32>,
}

/// The local copy of one object, and the operations that are due on it.
#[derive(Debug, Default)]
struct DirectoryShard {
    entries: collections::BTreeMap<limit::LimitId, message::HolderTerm>,
    version: Option<object::ObjectVersion>,
    /// Whether the object has been read, or found missing.
    has_been_read: bool,
    needs_read: bool,
    /// Limits that this instance is to claim.
    claims: collections::BTreeSet<limit::LimitId>,
    /// Entries of the write that the store has not answered yet.
    in_flight_entries: Option<ShardEntries>,
    /// Whether the store has yet to answer a read or a write.
    is_in_flight: bool,
    /// Earliest time of the next operation after a failed one.
    retry_at: time::Timestamp,
    /// Earliest time of the next read.
    next_read_at: time::Timestamp,
}

type ShardEntries = collections::BTreeMap<limit::LimitId, message::HolderTerm>;

/// The stored form of one shard.
#[derives::document]
struct ShardDocument {
    holders: collections::BTreeMap<String, message::HolderTerm>,
}

impl HolderDirectory {
    /// Creates a directory without holders.
    #[must_use]
    pub fn new() -> Self {
        let shards = (0..SHARD_COUNT).map(|_| DirectoryShard::default()).collect();
        Self { shards, ended: collections::BTreeMap::new() }
    }

    /// Returns the entry of a limit, unless the holder's lease is known to have ended.
    #[must_use]
    pub fn current_entry(&self, id: limit::LimitId) -> Option<message::HolderTerm> {
        let entry = self.shard(id).entries.get(&id).copied();
        entry.filter(|entry| !self.is_ended(entry))
    }

    /// Returns true if the limit's object has been read from the store, or found missing.
    #[must_use]
    pub fn has_been_read(&self, id: limit::LimitId) -> bool {
        self.shard(id).has_been_read
    }

    /// Iterates over the limits whose entry names one incarnation.
    pub fn held_by(
        &self,
        holder: incarnation::Incarnation,
    ) -> impl Iterator<Item = (limit::LimitId, message::HolderTerm)> + '_ {
        let entries = self.shards.iter().flat_map(|shard| shard.entries.iter());
        let entries = entries.map(|(id, entry)| (*id, *entry));
        entries.filter(move |(_, entry)| entry.holder == holder)
    }

    /// Schedules a claim of a limit that has no known holder.
    pub fn schedule_claim(&mut self, id: limit::LimitId) {
        if self.current_entry(id).is_some() {
            return;
        }
        let shard = self.shard_mut(id);
        shard.needs_read |= !shard.has_been_read;
        shard.claims.insert(id);
    }

    /// Schedules a read of a limit's object unless it has been read before.
    pub fn prefetch(&mut self, id: limit::LimitId) {
        let shard = self.shard_mut(id);
        shard.needs_read |= !shard.has_been_read;
    }

    /// Schedules a read of a limit's object because its known holder may be out of date; the
    /// known entry stays in use until then.
    pub fn mark_stale(&mut self, id: limit::LimitId) {
        self.shard_mut(id).needs_read = true;
    }

    /// Records that all leases of an incarnation up to a term have ended.
    pub fn mark_ended(&mut self, holder: incarnation::Incarnation, term: u32) {
        let ended = self.ended.entry(holder).or_insert(term);
        *ended = (*ended).max(term);
    }

    /// Schedules claims of all limits with an entry whose lease has ended, and a read of all
    /// objects.
    pub fn schedule_claims_of_ended(&mut self) {
        for index in 0..self.shards.len() {
            self.shards[index].needs_read = true;
            self.schedule_claims_in(index);
        }
    }

    /// Merges an entry reported by another instance; the greater epoch wins.
    pub fn merge(&mut self, known: message::KnownHolder) {
        let shard = self.shard_mut(known.limit);
        let entry = shard.entries.entry(known.limit).or_insert(known.entry);
        if known.entry.epoch > entry.epoch {
            *entry = known.entry;
        }
    }

    /// Starts the reads and writes that are due; writes claims only if `claimant` gives this
    /// instance's incarnation and the term of its lease.
    pub fn step(
        &mut self,
        claimant: Option<(incarnation::Incarnation, u32)>,
        now: time::Timestamp,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        for index in 0..self.shards.len() {
            let shard = &self.shards[index];
            if shard.is_in_flight || now < shard.retry_at {
                continue;
            }
            if shard.needs_read && now >= shard.next_read_at {
                self.read(index, now, actions);
            } else if let Some((holder, term)) = claimant {
                self.write_claims(index, holder, term, actions);
            }
        }
    }

    /// Handles the store's answer; returns false if the object is not a shard.
    pub fn handle_store_answer(
        &mut self,
        name: &object::ObjectName,
        answer: &operation::StoreAnswer,
        now: time::Timestamp,
    ) -> bool {
        let Some(index) = shard_of_name(name) else { return false };
        let shard = &mut self.shards[index];
        shard.is_in_flight = false;
        let entries = shard.in_flight_entries.take();
        match answer {
            operation::StoreAnswer::Found(stored) => shard.load(stored),
            operation::StoreAnswer::Missing => shard.load_missing(),
            operation::StoreAnswer::Written(version) => shard.apply_write(*version, entries),
            operation::StoreAnswer::Conflict(_) => {
                shard.needs_read = true;
                shard.next_read_at = now;
            }
            operation::StoreAnswer::Rejected | operation::StoreAnswer::Unknown => {
                if entries.is_some() {
                    shard.next_read_at = now;
                }
                shard.needs_read |= entries.is_some() || !shard.has_been_read;
                shard.retry_at = now + RETRY_DELAY;
            }
        }
        true
    }

    fn read(
        &mut self,
        index: usize,
        now: time::Timestamp,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        let shard = &mut self.shards[index];
        shard.needs_read = false;
        shard.is_in_flight = true;
        if shard.has_been_read {
            shard.next_read_at = now + STALE_READ_PERIOD;
        }
        let read = operation::StoreOperation::Read(shard_name(index));
        actions.push(action::LedgerAction::Store(read));
    }

    /// Writes entries for the limits to claim; drops the claims once all of them have a holder.
    fn write_claims(
        &mut self,
        index: usize,
        holder: incarnation::Incarnation,
        term: u32,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        if !self.shards[index].has_been_read || self.shards[index].claims.is_empty() {
            return;
        }
        let mut entries = self.shards[index].entries.clone();
        let mut is_changed = false;
        for id in &self.shards[index].claims {
            let epoch = match entries.get(id) {
                Some(entry) if !self.is_ended(entry) => continue,
                Some(entry) => entry.epoch + 1,
                None => 1,
            };
            entries.insert(*id, message::HolderTerm { holder, term, epoch });
            is_changed = true;
        }
        if is_changed {
            self.write(index, entries, actions);
        } else {
            self.shards[index].claims.clear();
        }
    }

    fn write(
        &mut self,
        index: usize,
        entries: ShardEntries,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        let shard = &mut self.shards[index];
        let write = operation::ConditionalWrite {
            name: shard_name(index),
            expected: shard.version,
            value: encode(&entries),
        };
        shard.in_flight_entries = Some(entries);
        shard.is_in_flight = true;
        actions.push(action::LedgerAction::Store(operation::StoreOperation::Write(write)));
    }

    /// Schedules claims of the limits in one object with an entry whose lease has ended.
    fn schedule_claims_in(&mut self, index: usize) {
        let entries = self.shards[index].entries.iter();
        let ended = entries.filter(|(_, entry)| self.is_ended(entry));
        let ended: Vec<_> = ended.map(|(id, _)| *id).collect();
        self.shards[index].claims.extend(ended);
    }

    fn is_ended(&self, entry: &message::HolderTerm) -> bool {
        self.ended.get(&entry.holder).is_some_and(|term| entry.term <= *term)
    }

    fn shard(&self, id: limit::LimitId) -> &DirectoryShard {
        &self.shards[shard_index(id)]
    }

    fn shard_mut(&mut self, id: limit::LimitId) -> &mut DirectoryShard {
        &mut self.shards[shard_index(id)]
    }
}

impl Default for HolderDirectory {
    fn default() -> Self {
        Self::new()
    }
}

impl DirectoryShard {
    fn load(&mut self, stored: &operation::StoredObject) {
        let Some(entries) = decode(&stored.value) else { return };
        self.has_been_read = true;
        if self.version.is_none_or(|version| version <= stored.version) {
            self.version = Some(stored.version);
            self.entries = entries;
        }
    }

    fn load_missing(&mut self) {
        self.has_been_read = true;
        self.version = None;
        self.entries.clear();
    }

    fn apply_write(
        &mut self,
        version: object::ObjectVersion,
        in_flight_entries: Option<ShardEntries>,
    ) {
        let Some(entries) = in_flight_entries else { return };
        self.version = Some(version);
        self.entries = entries;
    }
}

fn shard_index(id: limit::LimitId) -> usize {
    (id.as_u64() % SHARD_COUNT) as usize
}

fn shard_name(index: usize) -> object::ObjectName {
    object::ObjectName::new(object::ObjectKind::Ledger, &format!("holders-{index}"))
}

fn shard_of_name(name: &object::ObjectName) -> Option<usize> {
    let index: usize = name.name.strip_prefix("holders-")?.parse().ok()?;
    (index < SHARD_COUNT as usize).then_some(index)
}

fn encode(entries: &ShardEntries) -> bytes::Bytes {
    let holders = entries.iter().map(|(id, entry)| (id.to_string(), *entry)).collect();
    let document = ShardDocument { holders };
    serde_json::to_vec(&document).expect("numbers and text are valid JSON").into()
}

fn decode(value: &[u8]) -> Option<ShardEntries> {
    let document: ShardDocument = serde_json::from_slice(value).ok()?;
    let entries = document.holders.into_iter();
    entries.map(|(id, entry)| Some((limit::LimitId::parse(&id)?, entry))).collect()
}
