//! Which instance holds each limit, as far as known here.
//!
//! The platform's store decides: many limits share an object, and an entry
//! changes only by a conditional write. What is known here may be old; a
//! holder that is asked wrongly says so. After a write without an answer the
//! object is read back before anything else is written.

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

/// Number of objects over which the limits are spread.
pub const SHARD_COUNT: u64 = 16;
/// Wait before an operation that failed is tried again.
const RETRY_DELAY: duration::Duration = duration::Duration::from_millis(500);
/// Shortest time between two reads of an object whose holder is in doubt.
const DOUBT_PERIOD: duration::Duration = duration::Duration::from_secs(1);

/// Knows the holders of limits.
#[derive(Debug)]
pub struct HolderDirectory {
    shards: Vec<DirectoryShard>,
    ended: collections::BTreeMap<incarnation::Incarnation, u32>,
}

#[derive(Debug, Default)]
struct DirectoryShard {
    entries: collections::BTreeMap<limit::LimitId, message::HolderTerm>,
    version: Option<object::ObjectVersion>,
    is_read: bool,
    wants_read: bool,
    claims: collections::BTreeSet<limit::LimitId>,
    written: Option<ShardEntries>,
    is_pending: bool,
    not_before: time::Timestamp,
    no_read_before: time::Timestamp,
}

type ShardEntries = collections::BTreeMap<limit::LimitId, message::HolderTerm>;

/// The stored form of one shard.
#[derives::document]
struct ShardDocument {
    holders: collections::BTreeMap<String, message::HolderTerm>,
}

impl HolderDirectory {
    /// Makes a directory that knows no holder.
    #[must_use]
    pub fn new() -> Self {
        let shards = (0..SHARD_COUNT).map(|_| DirectoryShard::default()).collect();
        Self { shards, ended: collections::BTreeMap::new() }
    }

    /// Returns the holder of a limit, as far as known here.
    #[must_use]
    pub fn holder(&self, id: limit::LimitId) -> Option<message::HolderTerm> {
        let holder = self.shard(id).entries.get(&id).copied();
        holder.filter(|holder| !self.is_ended(holder))
    }

    /// Tells whether the store has told the holder of a limit, or that none is.
    #[must_use]
    pub fn is_read(&self, id: limit::LimitId) -> bool {
        self.shard(id).is_read
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

    /// Asks that the holder of a limit be found, or the limit be claimed.
    pub fn want(&mut self, id: limit::LimitId) {
        if self.holder(id).is_some() {
            return;
        }
        let shard = self.shard_mut(id);
        shard.wants_read |= !shard.is_read;
        shard.claims.insert(id);
    }

    /// Asks that the object of a limit be read before a claim.
    pub fn prepare(&mut self, id: limit::LimitId) {
        let shard = self.shard_mut(id);
        shard.wants_read |= !shard.is_read;
    }

    /// Notes that the known holder of a limit may be out of date.
    pub fn doubt(&mut self, id: limit::LimitId) {
        self.shard_mut(id).wants_read = true;
    }

    /// Notes that all leases of an incarnation up to a term have ended.
    pub fn end_term(&mut self, holder: incarnation::Incarnation, term: u32) {
        let ended = self.ended.entry(holder).or_insert(term);
        *ended = (*ended).max(term);
    }

    /// Claims all limits of ended holders, here and in objects not yet read.
    pub fn claim_ended(&mut self) {
        for index in 0..self.shards.len() {
            self.shards[index].wants_read = true;
            self.claim_ended_in(index);
        }
    }

    /// Takes in a holder that a peer told of; the greater epoch wins.
    pub fn learn(&mut self, known: message::KnownHolder) {
        let shard = self.shard_mut(known.limit);
        let entry = shard.entries.entry(known.limit).or_insert(known.holder);
        if known.holder.epoch > entry.epoch {
            *entry = known.holder;
        }
    }

    /// Starts the operations that are due.
    pub fn step(
        &mut self,
        claimant: Option<(incarnation::Incarnation, u32)>,
        now: time::Timestamp,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        for index in 0..self.shards.len() {
            let shard = &self.shards[index];
            if shard.is_pending || now < shard.not_before {
                continue;
            }
            if shard.wants_read && now >= shard.no_read_before {
                self.read(index, now, actions);
            } else if let Some((holder, term)) = claimant {
                self.write_claims(index, holder, term, actions);
            }
        }
    }

    /// Takes in the answer of the store on a shard; tells whether it is one.
    pub fn take_answer(
        &mut self,
        name: &object::ObjectName,
        answer: &operation::StoreAnswer,
        now: time::Timestamp,
    ) -> bool {
        let Some(index) = shard_of_name(name) else { return false };
        let shard = &mut self.shards[index];
        shard.is_pending = false;
        let written = shard.written.take();
        match answer {
            operation::StoreAnswer::Found(stored) => shard.load(stored),
            operation::StoreAnswer::Missing => shard.load_missing(),
            operation::StoreAnswer::Written(version) => shard.note_written(*version, written),
            operation::StoreAnswer::Conflict(_) => {
                shard.wants_read = true;
                shard.no_read_before = now;
            }
            operation::StoreAnswer::Rejected | operation::StoreAnswer::Unknown => {
                if written.is_some() {
                    shard.no_read_before = now;
                }
                shard.wants_read |= written.is_some() || !shard.is_read;
                shard.not_before = now + RETRY_DELAY;
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
        shard.wants_read = false;
        shard.is_pending = true;
        if shard.is_read {
            shard.no_read_before = now + DOUBT_PERIOD;
        }
        let read = operation::StoreOperation::Read(shard_name(index));
        actions.push(action::LedgerAction::Store(read));
    }

    fn write_claims(
        &mut self,
        index: usize,
        holder: incarnation::Incarnation,
        term: u32,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        if !self.shards[index].is_read || self.shards[index].claims.is_empty() {
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
        shard.written = Some(entries);
        shard.is_pending = true;
        actions.push(action::LedgerAction::Store(operation::StoreOperation::Write(write)));
    }

    fn claim_ended_in(&mut self, index: usize) {
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
        self.is_read = true;
        if self.version.is_none_or(|version| version <= stored.version) {
            self.version = Some(stored.version);
            self.entries = entries;
        }
    }

    fn load_missing(&mut self) {
        self.is_read = true;
        self.version = None;
        self.entries.clear();
    }

    fn note_written(&mut self, version: object::ObjectVersion, written: Option<ShardEntries>) {
        let Some(entries) = written else { return };
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
