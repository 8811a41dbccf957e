//! No limit is exceeded in any window under failures, and each mechanism is needed for that.

use std::time::Duration;

use crate::spec::ScheduleSpec;
use crate::support::Schedule;
use marjoramwing_ledger::mechanism::{LedgerMechanism, MechanismSet};
use marjoramwing_tables::team::RateLimit;

const SEEDS: u64 = 5;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Failures and operations during a schedule.
#[derive(Clone, Copy)]
enum Disruption {
    None,
    Loss,
    LostAnswers,
    Crash,
    Pause,
    RegionPartition,
    StorePartition,
    Outage,
    Edits,
    Replacement,
    PauseInOutage,
}

fn run(spec: ScheduleSpec, disruption: Disruption) -> Schedule {
    let mut schedule = Schedule::new(spec);
    schedule.run(secs(30));
    match disruption {
        Disruption::None | Disruption::Loss => {}
        Disruption::LostAnswers => {
            schedule.loses_answers = true;
            let holder = schedule.holder();
            schedule.kill(holder);
        }
        Disruption::Crash => {
            let holder = schedule.holder();
            schedule.kill(holder);
        }
        Disruption::Pause => {
            for _ in 0..3 {
                let holder = schedule.holder();
                schedule.partitioned_from_store = Some(holder);
                schedule.pause(holder, secs(40));
                schedule.run(secs(60));
            }
            schedule.partitioned_from_store = None;
        }
        Disruption::RegionPartition => {
            schedule.partitioned_region = Some(schedule.nodes[schedule.holder()].region);
            schedule.run(secs(60));
            schedule.partitioned_region = None;
        }
        Disruption::StorePartition => {
            let holder = schedule.holder();
            schedule.partitioned_from_store = Some(holder);
            schedule.excluded = Some(schedule.successor(holder));
            schedule.suspect(holder, secs(100));
            schedule.run(secs(20));
            schedule.excluded = None;
            schedule.run(secs(40));
            schedule.partitioned_from_store = None;
        }
        Disruption::Outage => {
            schedule.is_store_down = true;
            schedule.run(secs(120));
            schedule.is_store_down = false;
        }
        Disruption::PauseInOutage => {
            schedule.is_store_down = true;
            schedule.run(secs(30));
            let holder = schedule.holder();
            schedule.pause(holder, secs(60));
            schedule.run(secs(30));
            schedule.is_store_down = false;
        }
        Disruption::Edits => edit_limits(&mut schedule),
        Disruption::Replacement => replace_all(&mut schedule),
    }
    schedule.run(secs(60));
    schedule
}

fn edit_limits(schedule: &mut Schedule) {
    let original = schedule.spec.limit;
    let larger = RateLimit::new(original.rate * 2.0, original.burst * 2).unwrap();
    schedule.bound = larger;
    for round in 0..10 {
        let limit = if round % 2 == 0 { larger } else { original };
        for index in 0..schedule.nodes.len() {
            schedule.edit(index, limit);
            schedule.run(Duration::from_millis(137));
        }
        schedule.run(secs(2));
    }
}

fn replace_all(schedule: &mut Schedule) {
    for index in 0..7 {
        let region = schedule.nodes[index].region;
        schedule.start_node(region);
        schedule.kill(index);
        schedule.run(secs(25));
    }
}

fn check_bound(rate: f64, burst: u32, load: f64, faults: f64, disruption: Disruption) {
    for seed in 0..SEEDS {
        let spec = ScheduleSpec { seed, faults, ..ScheduleSpec::new(rate, burst, load) };
        let schedule = run(spec, disruption);
        schedule.check();
        let counts = schedule.counts;
        assert!(
            counts.admitted * 3 > counts.ideal,
            "seed {seed}: less than a third of the ideal admitted: {counts:?}"
        );
    }
}

marjoramwing_testing::cases! { check_bound:
    bound_holds_over_the_rate => (200.0, 50, 3.0, 0.0, Disruption::None);
    bound_holds_for_a_burst_below_the_instances => (5.0, 4, 3.0, 0.0, Disruption::None);
    bound_holds_with_lost_and_repeated_messages => (200.0, 50, 2.0, 0.2, Disruption::Loss);
    bound_holds_with_lost_store_answers => (50.0, 20, 2.0, 0.05, Disruption::LostAnswers);
    bound_holds_after_a_holder_dies => (200.0, 50, 2.0, 0.05, Disruption::Crash);
    bound_holds_after_a_holder_pauses => (50.0, 20, 2.0, 0.05, Disruption::Pause);
    bound_holds_in_a_region_partition => (50.0, 20, 2.0, 0.0, Disruption::RegionPartition);
    bound_holds_for_a_holder_partitioned_from_the_store =>
        (50.0, 20, 2.0, 0.0, Disruption::StorePartition);
    bound_holds_in_a_store_outage => (50.0, 20, 2.0, 0.05, Disruption::Outage);
    bound_holds_when_a_holder_pauses_in_an_outage => (50.0, 20, 2.0, 0.05, Disruption::PauseInOutage);
    bound_holds_through_edits => (50.0, 20, 3.0, 0.05, Disruption::Edits);
    bound_holds_while_all_are_replaced => (50.0, 20, 2.0, 0.0, Disruption::Replacement);
}

fn check_needed(
    mechanism: LedgerMechanism,
    rate: f64,
    burst: u32,
    load: f64,
    disruption: Disruption,
) {
    let mechanisms = MechanismSet::default().without(mechanism);
    let exceeds = |seed| {
        let base = ScheduleSpec::new(rate, burst, load);
        run(ScheduleSpec { seed, mechanisms, ..base }, disruption).excess > 0.5
    };
    assert!((0..SEEDS).any(exceeds), "the bound holds without {mechanism:?}");
}

marjoramwing_testing::cases! { check_needed:
    counting_grants_is_needed => (LedgerMechanism::CountGranted, 500.0, 10, 3.0, Disruption::None);
    debiting_the_lender_is_needed => (LedgerMechanism::DebitLender, 200.0, 50, 3.0, Disruption::None);
    ending_loans_is_needed => (LedgerMechanism::ExpireLoans, 200.0, 50, 3.0, Disruption::RegionPartition);
    checking_the_lease_is_needed => (LedgerMechanism::CheckLease, 50.0, 20, 3.0, Disruption::Pause);
    keeping_promises_is_needed => (LedgerMechanism::HonorPromise, 50.0, 20, 3.0, Disruption::StorePartition);
    refusing_ended_terms_is_needed => (LedgerMechanism::RefuseEndedTerm, 50.0, 20, 3.0, Disruption::Pause);
    starting_empty_is_needed => (LedgerMechanism::StartEmpty, 0.5, 20, 20.0, Disruption::Crash);
    keeping_tokens_in_edits_is_needed => (LedgerMechanism::KeepTokensOnEdit, 1.0, 20, 3.0, Disruption::Edits);
}
