//! Claims of idempotency keys, so that a repeat runs nowhere a second time.
//!
//! A claim is one entry in one of few objects of the store; all claims that
//! wait for the same object go into one conditional write. Invariants: a key is
//! claimed by at most one request until it is released; a claim whose write was
//! not answered is settled by reading the object back, by the claim's number.

use marjoramwing_derives as derives;
use marjoramwing_entity::incarnation;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;
use marjoramwing_tables::credential;

use crate::mechanism;

/// Objects over which claims are spread.
const SHARDS: u8 = 64;
/// Claims that one object remembers; older ones are forgotten.
const MAX_ENTRIES: usize = 1_000;

/// An idempotency key within its team and route.
///
/// Half of a hash, so that it is short and tells nothing of the key.
#[derives::value]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ClaimId {
    high: u64,
    low: u64,
}

/// Number of one request's claim, unlike any other's.
#[derives::value]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ClaimNumber {
    incarnation: u64,
    sequence: u64,
}

/// Number of an object of claims.
#[derives::value]
pub struct ShardNumber(u8);

/// What became of a claim.
#[derives::value]
pub enum ClaimVerdict {
    /// The request may run.
    Claimed,
    /// Another request has claimed the key.
    Repeat,
    /// The store does not answer, so the request must not run.
    StoreDown,
}

/// A verdict for one waiting request.
#[derives::value]
pub struct SettledClaim {
    /// Claim that was settled.
    pub number: ClaimNumber,
    /// What became of it.
    pub verdict: ClaimVerdict,
}

/// An operation whose answer goes back to its shard.
#[derives::record]
pub struct ShardOperation {
    /// Shard that waits for the answer.
    pub shard: ShardNumber,
    /// What the store is asked for.
    pub operation: operation::StoreOperation,
}

/// What is to be done after an event.
#[derives::record]
#[derive(Default)]
pub struct ClaimTurn {
    /// Operation to carry out.
    pub operation: Option<ShardOperation>,
    /// Claims that were settled.
    pub settled: Vec<SettledClaim>,
}

/// Claims idempotency keys for one instance.
#[derive(Debug)]
pub struct ClaimKeeper {
    incarnation: incarnation::Incarnation,
    sequence: u64,
    shards: Vec<ClaimShard>,
    disabled: mechanism::DisabledMechanism,
}

#[derive(Debug, Default)]
struct ClaimShard {
    /// The object as last read or written, if it is known.
    known: Option<KnownObject>,
    waiting: Vec<ClaimEntry>,
    released: Vec<ClaimNumber>,
    in_flight: Option<FlyingOperation>,
}

#[derive(Debug, Clone, Default)]
struct KnownObject {
    version: Option<object::ObjectVersion>,
    entries: Vec<ClaimEntry>,
}

#[derive(Debug)]
enum FlyingOperation {
    Read,
    Write(ClaimWrite),
}

#[derive(Debug)]
struct ClaimWrite {
    entries: Vec<ClaimEntry>,
    released: Vec<ClaimNumber>,
}

/// One claim as the store keeps it.
#[derives::value]
#[derive(serde::Serialize, serde::Deserialize)]
struct ClaimEntry {
    key: ClaimId,
    number: ClaimNumber,
}

impl ClaimId {
    /// Names the key of a request of a team on a route.
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
    /// Makes a keeper that knows no claim.
    #[must_use]
    pub fn new(
        incarnation: incarnation::Incarnation,
        disabled: mechanism::DisabledMechanism,
    ) -> Self {
        let shards = (0..SHARDS).map(|_| ClaimShard::default()).collect();
        Self { incarnation, sequence: 0, shards, disabled }
    }

    /// Asks for a key; the verdict comes with a later turn or this one.
    pub fn claim(&mut self, key: ClaimId) -> (ClaimNumber, ClaimTurn) {
        self.sequence += 1;
        let number =
            ClaimNumber { incarnation: self.incarnation.as_u64(), sequence: self.sequence };
        let shard = key.shard();
        self.shards[shard.index()].waiting.push(ClaimEntry { key, number });
        (number, self.advance(shard))
    }

    /// Gives a key back, since its request is known not to have run.
    pub fn release(&mut self, key: ClaimId, number: ClaimNumber) -> ClaimTurn {
        let shard = key.shard();
        let state = &mut self.shards[shard.index()];
        state.waiting.retain(|entry| entry.number != number);
        state.released.push(number);
        self.advance(shard)
    }

    /// Takes the answer to a shard's operation.
    pub fn record_answer(
        &mut self,
        shard: ShardNumber,
        answer: &operation::StoreAnswer,
    ) -> ClaimTurn {
        let disabled = self.disabled;
        let state = &mut self.shards[shard.index()];
        let mut settled = match (state.in_flight.take(), answer) {
            (None, _) => Vec::new(),
            (Some(FlyingOperation::Read), answer) => state.record_read(answer),
            (Some(FlyingOperation::Write(write)), answer) => {
                state.record_write(write, answer, disabled)
            }
        };
        let mut turn = self.advance(shard);
        settled.append(&mut turn.settled);
        ClaimTurn { operation: turn.operation, settled }
    }

    fn advance(&mut self, shard: ShardNumber) -> ClaimTurn {
        let state = &mut self.shards[shard.index()];
        if state.in_flight.is_some() {
            return ClaimTurn::default();
        }
        let settled = state.settle_known();
        let operation = state.next_operation(shard.object_name());
        let operation = operation.map(|operation| ShardOperation { shard, operation });
        ClaimTurn { operation, settled }
    }
}

impl ClaimShard {
    /// Settles the claims that the known object decides.
    fn settle_known(&mut self) -> Vec<SettledClaim> {
        let Some(known) = &self.known else { return Vec::new() };
        let released = &self.released;
        let owner_of = |key| {
            let mut held = known.entries.iter();
            let held = held.find(|held| held.key == key && !released.contains(&held.number));
            held.map(|held| held.number)
        };
        let mut settled = Vec::new();
        self.waiting.retain(|entry| {
            let Some(owner) = owner_of(entry.key) else { return true };
            let verdict =
                if owner == entry.number { ClaimVerdict::Claimed } else { ClaimVerdict::Repeat };
            settled.push(SettledClaim { number: entry.number, verdict });
            false
        });
        settled
    }

    fn next_operation(&mut self, name: object::ObjectName) -> Option<operation::StoreOperation> {
        if self.waiting.is_empty() && (self.released.is_empty() || self.known.is_none()) {
            return None;
        }
        let Some(known) = &self.known else {
            self.in_flight = Some(FlyingOperation::Read);
            return Some(operation::StoreOperation::Read(name));
        };
        let write = self.make_write(known);
        let value = serde_json::to_vec(&write.entries).expect("claims are plain numbers");
        let write_operation =
            operation::ConditionalWrite { name, expected: known.version, value: value.into() };
        self.in_flight = Some(FlyingOperation::Write(write));
        Some(operation::StoreOperation::Write(write_operation))
    }

    /// Adds the first claim of each waiting key and drops what was released.
    fn make_write(&self, known: &KnownObject) -> ClaimWrite {
        let mut claimed: Vec<ClaimEntry> = Vec::new();
        for entry in &self.waiting {
            if claimed.iter().all(|other| other.key != entry.key) {
                claimed.push(*entry);
            }
        }
        let kept = known.entries.iter().filter(|entry| !self.released.contains(&entry.number));
        let mut entries: Vec<_> = kept.chain(&claimed).copied().collect();
        let forgotten = entries.len().saturating_sub(MAX_ENTRIES);
        entries.drain(..forgotten);
        ClaimWrite { entries, released: self.released.clone() }
    }

    fn record_read(&mut self, answer: &operation::StoreAnswer) -> Vec<SettledClaim> {
        let known = match answer {
            operation::StoreAnswer::Found(stored) => {
                let entries = serde_json::from_slice(&stored.value).ok();
                entries.map(|entries| KnownObject { version: Some(stored.version), entries })
            }
            operation::StoreAnswer::Missing => Some(KnownObject::default()),
            _ => None,
        };
        self.known = known;
        if self.known.is_some() { Vec::new() } else { self.give_up() }
    }

    fn record_write(
        &mut self,
        write: ClaimWrite,
        answer: &operation::StoreAnswer,
        disabled: mechanism::DisabledMechanism,
    ) -> Vec<SettledClaim> {
        let checks = disabled != mechanism::DisabledMechanism::ClaimCondition;
        self.known = None;
        match answer {
            operation::StoreAnswer::Written(version) => self.adopt(write, *version),
            operation::StoreAnswer::Conflict(Some(version)) if !checks => {
                self.adopt(write, *version);
            }
            operation::StoreAnswer::Rejected => return self.give_up(),
            operation::StoreAnswer::Unknown
                if disabled == mechanism::DisabledMechanism::ClaimReadBack =>
            {
                return self.give_up();
            }
            // What became of the write is read back.
            _ => {}
        }
        Vec::new()
    }

    fn adopt(&mut self, write: ClaimWrite, version: object::ObjectVersion) {
        self.released.retain(|number| !write.released.contains(number));
        self.known = Some(KnownObject { version: Some(version), entries: write.entries });
    }

    /// Refuses all waiting claims; a write of them may still take effect.
    fn give_up(&mut self) -> Vec<SettledClaim> {
        let verdict = ClaimVerdict::StoreDown;
        let given_up: Vec<_> = self.waiting.drain(..).map(|entry| entry.number).collect();
        self.released.extend(&given_up);
        let forgotten = self.released.len().saturating_sub(MAX_ENTRIES);
        self.released.drain(..forgotten);
        given_up.into_iter().map(|number| SettledClaim { number, verdict }).collect()
    }
}
