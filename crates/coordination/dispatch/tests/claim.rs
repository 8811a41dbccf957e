//! A key is claimed once across all instances, even if store answers are lost or delayed.

use std::collections;

use marjoramwing_dispatch::claim;
use marjoramwing_dispatch::mechanism;
use marjoramwing_entity::incarnation;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;
use marjoramwing_testing::cases;
use rand::RngExt;
use rand::SeedableRng;

use claim::ClaimVerdict::{Claimed, Duplicate, StoreUnavailable};
use mechanism::DisabledMechanism::{self, ClaimCondition, ClaimReadBack, Nothing};

const INSTANCES: usize = 3;

/// A store in which a write can still be in flight although its answer was lost.
#[derive(Default)]
struct FakeStore {
    objects: collections::HashMap<object::ObjectName, operation::StoredObject>,
    delayed: Vec<operation::ConditionalWrite>,
    operations: u32,
}

impl FakeStore {
    fn run(&mut self, operation: &operation::StoreOperation) -> operation::StoreAnswer {
        self.operations += 1;
        match operation {
            operation::StoreOperation::Read(name) => match self.objects.get(name) {
                Some(stored) => operation::StoreAnswer::Found(stored.clone()),
                None => operation::StoreAnswer::Missing,
            },
            operation::StoreOperation::Write(write) => self.write(write),
        }
    }

    fn write(&mut self, write: &operation::ConditionalWrite) -> operation::StoreAnswer {
        let current = self.objects.get(&write.name).map(|stored| stored.version);
        if current != write.expected {
            return operation::StoreAnswer::Conflict(current);
        }
        let version = object::ObjectVersion(current.map_or(1, |version| version.0 + 1));
        let stored = operation::StoredObject { version, value: write.value.clone() };
        self.objects.insert(write.name.clone(), stored);
        operation::StoreAnswer::Written(version)
    }

    /// Loses the answer: a write takes effect at once, later or never.
    fn run_lossy(
        &mut self,
        operation: &operation::StoreOperation,
        rng: &mut rand_pcg::Pcg64,
    ) -> operation::StoreAnswer {
        match (operation, rng.random_range(0..3)) {
            (operation::StoreOperation::Write(write), 0) => self.delayed.push(write.clone()),
            (_, 1) => drop(self.run(operation)),
            _ => {}
        }
        operation::StoreAnswer::Unknown
    }
}

struct ClaimTrial {
    store: FakeStore,
    keepers: Vec<claim::ClaimKeeper>,
    pending: Vec<(usize, claim::ShardOperation)>,
    keys: collections::HashMap<claim::ClaimNumber, u64>,
    verdicts: Vec<(u64, claim::ClaimVerdict)>,
}

impl ClaimTrial {
    fn new(disabled: DisabledMechanism) -> Self {
        let keeper = |instance: usize| {
            claim::ClaimKeeper::new(incarnation::Incarnation::from_u64(instance as u64), disabled)
        };
        Self {
            store: FakeStore::default(),
            keepers: (0..INSTANCES).map(keeper).collect(),
            pending: Vec::new(),
            keys: collections::HashMap::new(),
            verdicts: Vec::new(),
        }
    }

    fn claim(&mut self, instance: usize, key: u64) {
        let id = claim::ClaimId::new("team", "route", &key.to_string());
        let (number, actions) = self.keepers[instance].claim(id);
        self.keys.insert(number, key);
        self.apply(instance, actions);
    }

    fn apply(&mut self, instance: usize, actions: claim::ClaimActions) {
        self.pending.extend(actions.operation.map(|operation| (instance, operation)));
        let keys = &self.keys;
        self.verdicts
            .extend(actions.settled.iter().map(|claim| (keys[&claim.number], claim.verdict)));
    }

    fn step(&mut self, loss: f64, rng: &mut rand_pcg::Pcg64) {
        if !self.store.delayed.is_empty() && rng.random_bool(0.3) {
            let write = self.store.delayed.remove(0);
            self.store.write(&write);
        }
        if self.pending.is_empty() {
            return;
        }
        let (instance, pending) = self.pending.swap_remove(rng.random_range(0..self.pending.len()));
        let answer = if rng.random_bool(loss) {
            self.store.run_lossy(&pending.operation, rng)
        } else {
            self.store.run(&pending.operation)
        };
        let actions = self.keepers[instance].record_answer(pending.shard, &answer);
        self.apply(instance, actions);
    }

    fn count(&self, verdict: claim::ClaimVerdict) -> usize {
        self.verdicts.iter().filter(|(_, other)| *other == verdict).count()
    }
}

/// Claims 40 keys about ten times each, at random instances.
fn run(disabled: DisabledMechanism, loss: f64, seed: u64) -> ClaimTrial {
    let mut rng = rand_pcg::Pcg64::seed_from_u64(seed);
    let mut trial = ClaimTrial::new(disabled);
    for _ in 0..400 {
        trial.claim(rng.random_range(0..INSTANCES), rng.random_range(0..40));
        for _ in 0..rng.random_range(0..4) {
            trial.step(loss, &mut rng);
        }
    }
    while !trial.pending.is_empty() {
        trial.step(loss, &mut rng);
    }
    assert_eq!(trial.verdicts.len(), 400, "every claim is settled");
    trial
}

fn count_duplicates(disabled: DisabledMechanism, loss: f64) -> usize {
    let duplicates = (0..200).map(|seed| {
        let mut claimed = collections::HashSet::new();
        let trial = run(disabled, loss, seed);
        let all = trial.verdicts.iter().filter(|(_, verdict)| *verdict == Claimed);
        all.filter(|(key, _)| !claimed.insert(*key)).count()
    });
    duplicates.sum()
}

fn check_once(disabled: DisabledMechanism, loss: f64, holds: bool) {
    assert_eq!(count_duplicates(disabled, loss) == 0, holds);
}

cases! { check_once:
    key_is_claimed_at_most_once => (Nothing, 0.0, true);
    key_is_claimed_at_most_once_while_answers_are_lost => (Nothing, 0.3, true);
    key_is_claimed_twice_without_conditional_writes => (ClaimCondition, 0.0, false);
}

/// Lost answers to writes alone cause no refusal, since the object is read back.
fn check_refusals(disabled: DisabledMechanism, holds: bool) {
    let mut trial = ClaimTrial::new(disabled);
    trial.claim(0, 1);
    let (_, read) = trial.pending.remove(0);
    let answer = trial.store.run(&read.operation);
    let actions = trial.keepers[0].record_answer(read.shard, &answer);
    let write = actions.operation.unwrap();
    trial.store.run(&write.operation);
    let actions = trial.keepers[0].record_answer(write.shard, &operation::StoreAnswer::Unknown);
    trial.apply(0, actions);
    while !trial.pending.is_empty() {
        trial.step(0.0, &mut rand_pcg::Pcg64::seed_from_u64(1));
    }
    assert_eq!(trial.count(Claimed) == 1, holds);
}

cases! { check_refusals:
    lost_answer_is_read_back => (Nothing, true);
    lost_answer_refuses_the_claim_without_read_back => (ClaimReadBack, false);
}

#[test]
fn store_outage_refuses_a_claim_and_a_later_retry_succeeds() {
    let mut trial = ClaimTrial::new(Nothing);
    trial.claim(0, 1);
    let (_, read) = trial.pending.remove(0);
    let actions = trial.keepers[0].record_answer(read.shard, &operation::StoreAnswer::Rejected);
    assert_eq!(actions.operation, None, "no operation is retried during an outage");
    trial.apply(0, actions);
    assert_eq!(trial.verdicts, [(1, StoreUnavailable)]);
    trial.claim(0, 1);
    while !trial.pending.is_empty() {
        trial.step(0.0, &mut rand_pcg::Pcg64::seed_from_u64(1));
    }
    assert_eq!(trial.verdicts[1..], [(1, Claimed)]);
}

#[test]
fn released_key_can_be_claimed_elsewhere() {
    let mut trial = ClaimTrial::new(Nothing);
    let mut rng = rand_pcg::Pcg64::seed_from_u64(1);
    let id = claim::ClaimId::new("team", "route", "1");
    let (number, actions) = trial.keepers[0].claim(id);
    trial.keys.insert(number, 1);
    trial.apply(0, actions);
    while !trial.pending.is_empty() {
        trial.step(0.0, &mut rng);
    }
    let actions = trial.keepers[0].release(id, number);
    trial.apply(0, actions);
    while !trial.pending.is_empty() {
        trial.step(0.0, &mut rng);
    }
    trial.claim(1, 1);
    while !trial.pending.is_empty() {
        trial.step(0.0, &mut rng);
    }
    assert_eq!((trial.count(Claimed), trial.count(Duplicate)), (2, 0));
}

/// Returns keys whose claims share an object.
fn keys_of_one_object() -> impl Iterator<Item = u64> {
    let shard_of = |key: u64| {
        let incarnation = incarnation::Incarnation::from_u64(9);
        let mut keeper = claim::ClaimKeeper::new(incarnation, Nothing);
        let id = claim::ClaimId::new("team", "route", &key.to_string());
        keeper.claim(id).1.operation.map(|operation| operation.shard)
    };
    (1..).filter(move |key| shard_of(*key) == shard_of(1))
}

/// The store is restored and gives out a version again that an instance knows; its next write
/// replaces a claim of the new era that it has not read, and the key is claimed twice.
fn check_reused_version(is_answer_in_flight: bool) {
    let mut rng = rand_pcg::Pcg64::seed_from_u64(1);
    let mut trial = ClaimTrial::new(Nothing);
    let keys: Vec<_> = keys_of_one_object().take(3).collect();
    trial.claim(0, keys[0]);
    trial.step(0.0, &mut rng);
    let mut late = None;
    if is_answer_in_flight {
        let (_, pending) = trial.pending.pop().unwrap();
        late = Some((pending.shard, trial.store.run(&pending.operation)));
    } else {
        trial.step(0.0, &mut rng);
    }
    trial.store.objects.clear();
    trial.keepers.iter_mut().for_each(claim::ClaimKeeper::forget_objects);
    for (instance, key) in [(1, keys[1]), (0, keys[2]), (2, keys[1])] {
        trial.claim(instance, key);
        if let Some((shard, answer)) = late.take_if(|_| instance == 0) {
            let actions = trial.keepers[0].record_answer(shard, &answer);
            trial.apply(0, actions);
        }
        while !trial.pending.is_empty() {
            trial.step(0.0, &mut rng);
        }
    }
    let of_key = trial.verdicts.iter().filter(|(key, _)| *key == keys[1]);
    let verdicts: Vec<_> = of_key.map(|(_, verdict)| *verdict).collect();
    assert_eq!(verdicts, [Claimed, Duplicate]);
    assert_eq!(trial.count(Claimed), 3);
}

cases! { check_reused_version:
    claim_of_a_restored_store_is_not_replaced => (false);
    claim_of_a_restored_store_is_not_replaced_after_a_late_answer => (true);
}

/// 1,000 claims arrive while reads and writes of the 64 objects are in flight.
#[test]
fn claims_are_grouped_into_few_writes() {
    let mut trial = ClaimTrial::new(Nothing);
    for key in 0..1_000 {
        trial.claim(0, key);
    }
    while !trial.pending.is_empty() {
        trial.step(0.0, &mut rand_pcg::Pcg64::seed_from_u64(1));
    }
    assert_eq!(trial.count(Claimed), 1_000);
    assert!(trial.store.operations <= 2 * 64, "{} operations", trial.store.operations);
}
