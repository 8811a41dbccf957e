//! Admission by a holder with 449 other members and a thousand limits.

use std::collections;
use std::hint;
use std::time as duration;

use marjoramwing_entity::incarnation;
use marjoramwing_entity::time;
use marjoramwing_ledger::action;
use marjoramwing_ledger::ledger;
use marjoramwing_ledger::limit;
use marjoramwing_ledger::mechanism;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;
use marjoramwing_tables::team;

const MEMBERS: u64 = 450;
const REGIONS: u64 = 7;
const LIMITS: u64 = 1_000;
const RATE: f64 = 1_000_000.0;
const BURST: u32 = 1_000_000;
const STEP: duration::Duration = duration::Duration::from_micros(2);

type ObjectTable = collections::HashMap<object::ObjectName, operation::StoredObject>;

fn member(index: u64) -> action::LedgerMember {
    action::LedgerMember {
        incarnation: incarnation::Incarnation::from_u64(index + 1),
        region: format!("r{}", index % REGIONS).into(),
        failure_domain: format!("d{}", index % 25).into(),
    }
}

fn limit_id(index: u64) -> limit::LimitId {
    limit::LimitId::from_u64(index)
}

/// Answers an operation immediately, like the object API.
fn answer(
    objects: &mut ObjectTable,
    operation: &operation::StoreOperation,
) -> operation::StoreAnswer {
    let current = objects.get(operation.object()).cloned();
    match operation {
        operation::StoreOperation::Read(_) => {
            current.map_or(operation::StoreAnswer::Missing, operation::StoreAnswer::Found)
        }
        operation::StoreOperation::Write(write) => {
            let version = object::ObjectVersion(current.map_or(1, |stored| stored.version.0 + 1));
            let stored = operation::StoredObject { version, value: write.value.clone() };
            objects.insert(write.name.clone(), stored);
            operation::StoreAnswer::Written(version)
        }
    }
}

/// Executes store operations until none are left.
fn run_store_operations(
    ledger: &mut ledger::ShareLedger,
    objects: &mut ObjectTable,
    mut actions: Vec<action::LedgerAction>,
    now: time::Timestamp,
) {
    while let Some(action) = actions.pop() {
        if let action::LedgerAction::Store(operation) = action {
            let name = operation.object().clone();
            let answer = answer(objects, &operation);
            ledger.handle(action::LedgerEvent::StoreAnswered { name, answer }, now, &mut actions);
        }
    }
}

fn make_holder(now: &mut time::Timestamp) -> ledger::ShareLedger {
    let mut ledger = ledger::ShareLedger::new(member(0), mechanism::MechanismSet::default());
    let mut objects = ObjectTable::new();
    let limit = team::RateLimit::new(RATE, BURST).expect("the limit is in range");
    for index in 0..LIMITS {
        ledger.set_limit(limit_id(index), limit, *now);
    }
    for index in 1..MEMBERS {
        let event = action::LedgerEvent::MemberUp(member(index));
        ledger.handle(event, *now, &mut Vec::new());
    }
    let mut actions = Vec::new();
    ledger.admit(limit_id(1), *now, &mut actions);
    run_store_operations(&mut ledger, &mut objects, actions, *now);
    for _ in 0..100 {
        *now += ledger::TICK_PERIOD;
        let mut actions = Vec::new();
        ledger.handle(action::LedgerEvent::Tick, *now, &mut actions);
        run_store_operations(&mut ledger, &mut objects, actions, *now);
    }
    ledger
}

fn bench_admission(criterion: &mut criterion::Criterion) {
    let mut now = time::Timestamp::from_millis(1_000);
    let mut ledger = make_holder(&mut now);
    let mut actions = Vec::new();
    let first = ledger.admit(limit_id(1), now, &mut actions);
    assert!(matches!(first, action::AdmitOutcome::Admitted { .. }), "{first:?}");
    let lease_end = ledger.lease_valid_until();
    criterion.bench_function("admit_held", |bencher| {
        bencher.iter(|| {
            // Stays within the lease, so that every iteration measures the same case.
            now = if now + STEP < lease_end { now + STEP } else { now };
            hint::black_box(ledger.admit(limit_id(1), now, &mut actions))
        });
    });
    criterion.bench_function("tick", |bencher| {
        bencher.iter(|| {
            actions.clear();
            ledger.handle(action::LedgerEvent::Tick, now, &mut actions);
        });
    });
}

criterion::criterion_group!(benches, bench_admission);
criterion::criterion_main!(benches);
