//! Claims of idempotency keys, which prevent a repeated request from running twice.
//!
//! A claim is one entry in one of a small number of store objects; all claims that
//! wait for the same object are written together in one conditional write. Invariants:
//! a key is claimed by at most one request until its claim is released or dropped as one
//! of the oldest in a full object; if a claim's write gets no answer, the object is read
//! back, and the claim's number shows whether the write took effect.

use marjoramwing_derives as derives;
use marjoramwing_entity::incarnation;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;
use marjoramwing_tables::credential;

use crate::mechanism;

/// Number of store objects over which claims are spread.
const SHARDS: u8 = 64;
/// Maximum number of claims in one object, and of releases that wait to be written after failed
/// claims; the oldest are dropped.
const MAX_ENTRIES: usize = 1_000;

/// Identifies an idempotency key within its team and route.
///
/// It is half of a hash, so that it is short and does not reveal the key.
#[derives::value]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ClaimId {
    high: u64,
    low: u64,
}

/// Number of one request's claim, unique across instances and restarts.
#[derives::value]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ClaimNumber {
    incarnation: u64,
    sequence: u64,
}

/// Number of a store object that holds claims.
#[derives::value]
pub struct ShardNumber(u8);

/// Result of a claim.
#[derives::value]
pub enum ClaimVerdict {
    /// The request may run.
    Claimed,
    /// Another request has already claimed the key.
    Duplicate,
    /// The claim could not be read or written, so the request must not run.
    StoreUnavailable,
}

/// The result of one waiting claim.
#[derives::value]
pub struct SettledClaim {
    /// Claim that was settled.
    pub number: ClaimNumber,
    /// Result of the claim.
    pub verdict: ClaimVerdict,
}

/// A store operation whose answer is passed back to its shard.
#[derives::record]
pub struct ShardOperation {
    /// Shard that waits for the answer.
    pub shard: ShardNumber,
    /// Operation to run against the store.
    pub operation: operation::StoreOperation,
}

/// Actions to take after an event.
#[derives::record]
#[derive(Default)]
pub struct ClaimActions {
    /// Operation to run.
    pub operation: Option<ShardOperation>,
    /// Claims that were settled.
    pub settled: Vec<SettledClaim>,
}

/// Claims idempotency keys on behalf of one instance.
#[derive(Debug)]
pub struct ClaimKeeper {
    incarnation: incarnation::Incarnation,
    sequence: u64,
    shards: Vec<ClaimShard>,
    disabled: mechanism::DisabledMechanism,
}

#[derive(Debug, Default)]
struct ClaimShard {
    /// The object as last read or written, unless its state is unknown.
    cached: Option<CachedObject>,
    /// Claims without a verdict.
    waiting: Vec<ClaimEntry>,
    /// Claims to remove from the object; they no longer count in it.
    released: Vec<ClaimNumber>,
    in_flight: Option<PendingOperation>,
    /// Whether the answer to the operation in flight may be of an earlier era of the store.
    is_outdated: bool,
}

#[derive(Debug, Clone, Default)]
struct CachedObject {
    /// `None` if the object does not exist.
    version: Option<object::ObjectVersion>,
    entries: Vec<ClaimEntry>,
}

#[derive(Debug)]
enum PendingOperation {
    Read,
    Write(ClaimWrite),
}

#[derive(Debug)]
struct ClaimWrite {
    entries: Vec<ClaimEntry>,
    /// Releases that are complete once the write has taken effect.
    released: Vec<ClaimNumber>,
}

/// One claim as stored.
#[derives::value]
#[derive(serde::Serialize, serde::Deserialize)]
struct ClaimEntry {
    key: ClaimId,
    number: ClaimNumber,
}

impl ClaimId {
    /// Derives the identifier from a request's team, route and idempotency key.
    #[must_use]
    pub fn new(team: &str, route: &str, key: &str) -> Self {
        const HALF_DIGITS: usize = 16;
        let digits = credential::KeyHash::of(&format!("{team}\n{route}\n{key}")).to_string();
        let half = |start| u64::from_str_radix(&digits[start..start + HALF_DIGITS], 16);
        let (high, low) = (half(0), half(HALF_DIGITS));
        Self { high: high.unwrap_or_default(), low: low.unwrap_or_default() }
    }

    const fn shard(self) -> ShardNumber {
        ShardNumber((self.high % SHARDS as u64) as u8)
    }
}

impl ShardNumber {
    fn object_name(self) -> object::ObjectName {
        object::ObjectName::new(object::ObjectKind::Claims, &format!("shard-{}", self.0))
    }

    const fn index(self) -> usize {
        self.0 as usize
    }
}

impl ClaimKeeper {
    /// Creates a keeper without claims.
    #[must_use]
    pub fn new(
        incarnation: incarnation::Incarnation,
        disabled: mechanism::DisabledMechanism,
    ) -> Self {
        let shards = (0..SHARDS).map(|_| ClaimShard::default()).collect();
        Self { incarnation, sequence: 0, shards, disabled }
    }

    /// Claims a key; the verdict is returned with these actions or later ones.
    pub fn claim(&mut self, key: ClaimId) -> (ClaimNumber, ClaimActions) {
        self.sequence += 1;
        let number =
            ClaimNumber { incarnation: self.incarnation.as_u64(), sequence: self.sequence };
        let shard = key.shard();
        self.shards[shard.index()].waiting.push(ClaimEntry { key, number });
        (number, self.advance(shard))
    }

    /// Releases a key whose request is known not to have run.
    pub fn release(&mut self, key: ClaimId, number: ClaimNumber) -> ClaimActions {
        let shard = key.shard();
        let state = &mut self.shards[shard.index()];
        state.waiting.retain(|entry| entry.number != number);
        state.released.push(number);
        self.advance(shard)
    }

    /// Forgets what is known of the objects, since the store was restored from an older copy.
    ///
    /// It gives out the same versions again, so a write at a known one could replace claims that
    /// were never read. The objects are read before the next write.
    pub fn forget_objects(&mut self) {
        for shard in &mut self.shards {
            shard.cached = None;
            shard.is_outdated = shard.in_flight.is_some();
        }
    }

    /// Records the store's answer to a shard's operation.
    pub fn record_answer(
        &mut self,
        shard: ShardNumber,
        answer: &operation::StoreAnswer,
    ) -> ClaimActions {
        let disabled = self.disabled;
        let state = &mut self.shards[shard.index()];
        let is_outdated = std::mem::take(&mut state.is_outdated);
        let mut settled = match (state.in_flight.take(), answer) {
            (None, _) => Vec::new(),
            (Some(PendingOperation::Read), answer) => state.record_read(answer),
            (Some(PendingOperation::Write(write)), answer) => {
                state.record_write(write, answer, disabled)
            }
        };
        if is_outdated {
            state.cached = None;
        }
        let mut actions = self.advance(shard);
        settled.append(&mut actions.settled);
        ClaimActions { operation: actions.operation, settled }
    }

    fn advance(&mut self, shard: ShardNumber) -> ClaimActions {
        let state = &mut self.shards[shard.index()];
        if state.in_flight.is_some() {
            return ClaimActions::default();
        }
        let settled = state.settle_cached();
        let operation = state.next_operation(shard.object_name());
        let operation = operation.map(|operation| ShardOperation { shard, operation });
        ClaimActions { operation, settled }
    }
}

impl ClaimShard {
    /// Settles the waiting claims that the cached object decides.
    fn settle_cached(&mut self) -> Vec<SettledClaim> {
        let Some(cached) = &self.cached else { return Vec::new() };
        let released = &self.released;
        let owner_of = |key| {
            let mut entries = cached.entries.iter();
            let owner = entries.find(|entry| entry.key == key && !released.contains(&entry.number));
            owner.map(|entry| entry.number)
        };
        let mut settled = Vec::new();
        self.waiting.retain(|entry| {
            let Some(owner) = owner_of(entry.key) else { return true };
            let verdict =
                if owner == entry.number { ClaimVerdict::Claimed } else { ClaimVerdict::Duplicate };
            settled.push(SettledClaim { number: entry.number, verdict });
            false
        });
        settled
    }

    fn next_operation(&mut self, name: object::ObjectName) -> Option<operation::StoreOperation> {
        // Releases alone do not cause a read; they wait for the next claim in this object.
        if self.waiting.is_empty() && (self.released.is_empty() || self.cached.is_none()) {
            return None;
        }
        let Some(cached) = &self.cached else {
            self.in_flight = Some(PendingOperation::Read);
            return Some(operation::StoreOperation::Read(name));
        };
        let write = self.make_write(cached);
        let value =
            serde_json::to_vec(&write.entries).expect("claim entries contain only integers");
        let write_operation =
            operation::ConditionalWrite { name, expected: cached.version, value: value.into() };
        self.in_flight = Some(PendingOperation::Write(write));
        Some(operation::StoreOperation::Write(write_operation))
    }

    /// Adds the first waiting claim of each key and drops the released ones.
    fn make_write(&self, cached: &CachedObject) -> ClaimWrite {
        let mut claimed: Vec<ClaimEntry> = Vec::new();
        for entry in &self.waiting {
            if claimed.iter().all(|other| other.key != entry.key) {
                claimed.push(*entry);
            }
        }
        let kept = cached.entries.iter().filter(|entry| !self.released.contains(&entry.number));
        let mut entries: Vec<_> = kept.chain(&claimed).copied().collect();
        let excess = entries.len().saturating_sub(MAX_ENTRIES);
        entries.drain(..excess);
        ClaimWrite { entries, released: self.released.clone() }
    }

    fn record_read(&mut self, answer: &operation::StoreAnswer) -> Vec<SettledClaim> {
        let cached = match answer {
            operation::StoreAnswer::Found(stored) => {
                let entries = serde_json::from_slice(&stored.value).ok();
                entries.map(|entries| CachedObject { version: Some(stored.version), entries })
            }
            operation::StoreAnswer::Missing => Some(CachedObject::default()),
            _ => None,
        };
        self.cached = cached;
        if self.cached.is_some() { Vec::new() } else { self.fail_waiting() }
    }

    fn record_write(
        &mut self,
        write: ClaimWrite,
        answer: &operation::StoreAnswer,
        disabled: mechanism::DisabledMechanism,
    ) -> Vec<SettledClaim> {
        let is_conditional = disabled != mechanism::DisabledMechanism::ClaimCondition;
        self.cached = None;
        match answer {
            operation::StoreAnswer::Written(version) => self.apply_write(write, *version),
            operation::StoreAnswer::Conflict(Some(version)) if !is_conditional => {
                self.apply_write(write, *version);
            }
            operation::StoreAnswer::Rejected => return self.fail_waiting(),
            operation::StoreAnswer::Unknown
                if disabled == mechanism::DisabledMechanism::ClaimReadBack =>
            {
                return self.fail_waiting();
            }
            // The write conflicted or may have taken effect; the object is read before the next one.
            _ => {}
        }
        Vec::new()
    }

    fn apply_write(&mut self, write: ClaimWrite, version: object::ObjectVersion) {
        self.released.retain(|number| !write.released.contains(number));
        self.cached = Some(CachedObject { version: Some(version), entries: write.entries });
    }

    /// Fails all waiting claims.
    ///
    /// A write of them may still take effect, so they are released as well.
    fn fail_waiting(&mut self) -> Vec<SettledClaim> {
        let verdict = ClaimVerdict::StoreUnavailable;
        let failed: Vec<_> = self.waiting.drain(..).map(|entry| entry.number).collect();
        self.released.extend(&failed);
        let excess = self.released.len().saturating_sub(MAX_ENTRIES);
        self.released.drain(..excess);
        failed.into_iter().map(|number| SettledClaim { number, verdict }).collect()
    }
}
