//! No limit is exceeded in any window, whatever fails; and each mechanism is needed.

use std::time::Duration;

use crate::spec::ScheduleSpec;
use crate::support::Schedule;
use marjoramwing_ledger::mechanism::{LedgerMechanism, MechanismSet};
use marjoramwing_tables::team::RateLimit;

const SEEDS: u64 = 5;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// What happens during a schedule.
#[derive(Clone, Copy)]
enum Trouble {
    None,
    Loss,
    LostAnswers,
    Death,
    Pause,
    RegionCut,
    StoreCut,
    Outage,
    Edits,
    Replacement,
    DeathInOutage,
}

fn run(spec: ScheduleSpec, trouble: Trouble) -> Schedule {
    let mut schedule = Schedule::new(spec);
    schedule.run(secs(30));
    match trouble {
        Trouble::None | Trouble::Loss => {}
        Trouble::LostAnswers => {
            schedule.loses_answers = true;
            let holder = schedule.holder();
            schedule.kill(holder);
        }
        Trouble::Death => {
            let holder = schedule.holder();
            schedule.kill(holder);
        }
        Trouble::Pause => {
            for _ in 0..3 {
                let holder = schedule.holder();
                schedule.store_cut = Some(holder);
                schedule.pause(holder, secs(40));
                schedule.run(secs(60));
            }
            schedule.store_cut = None;
        }
        Trouble::RegionCut => {
            schedule.cut = Some(schedule.nodes[schedule.holder()].region);
            schedule.run(secs(60));
            schedule.cut = None;
        }
        Trouble::StoreCut => {
            let holder = schedule.holder();
            schedule.store_cut = Some(holder);
            schedule.shunned = Some(schedule.heir(holder));
            schedule.suspect(holder, secs(100));
            schedule.run(secs(20));
            schedule.shunned = None;
            schedule.run(secs(40));
            schedule.store_cut = None;
        }
        Trouble::Outage => {
            schedule.is_store_down = true;
            schedule.run(secs(120));
            schedule.is_store_down = false;
        }
        Trouble::DeathInOutage => {
            schedule.is_store_down = true;
            schedule.run(secs(30));
            let holder = schedule.holder();
            schedule.pause(holder, secs(60));
            schedule.run(secs(30));
            schedule.is_store_down = false;
        }
        Trouble::Edits => edit_limits(&mut schedule),
        Trouble::Replacement => replace_all(&mut schedule),
    }
    schedule.run(secs(60));
    schedule
}

fn edit_limits(schedule: &mut Schedule) {
    let first = schedule.spec.limit;
    let larger = RateLimit::new(first.rate * 2.0, first.burst * 2).unwrap();
    schedule.bound = larger;
    for round in 0..10 {
        let limit = if round % 2 == 0 { larger } else { first };
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

fn check_bound(rate: f64, burst: u32, load: f64, faults: f64, trouble: Trouble) {
    for seed in 0..SEEDS {
        let spec = ScheduleSpec { seed, faults, ..ScheduleSpec::new(rate, burst, load) };
        let schedule = run(spec, trouble);
        schedule.check();
        let counts = schedule.counts;
        assert!(
            counts.admitted * 3 > counts.ideal,
            "seed {seed}: hardly any was admitted: {counts:?}"
        );
    }
}

marjoramwing_testing::cases! { check_bound:
    bound_holds_over_the_rate => (200.0, 50, 3.0, 0.0, Trouble::None);
    bound_holds_for_a_burst_below_the_instances => (5.0, 4, 3.0, 0.0, Trouble::None);
    bound_holds_with_lost_and_repeated_messages => (200.0, 50, 2.0, 0.2, Trouble::Loss);
    bound_holds_with_lost_store_answers => (50.0, 20, 2.0, 0.05, Trouble::LostAnswers);
    bound_holds_after_a_holder_dies => (200.0, 50, 2.0, 0.05, Trouble::Death);
    bound_holds_after_a_holder_pauses => (50.0, 20, 2.0, 0.05, Trouble::Pause);
    bound_holds_in_a_region_cut => (50.0, 20, 2.0, 0.0, Trouble::RegionCut);
    bound_holds_for_a_holder_cut_off_from_the_store => (50.0, 20, 2.0, 0.0, Trouble::StoreCut);
    bound_holds_in_a_store_outage => (50.0, 20, 2.0, 0.05, Trouble::Outage);
    bound_holds_when_a_holder_pauses_in_an_outage => (50.0, 20, 2.0, 0.05, Trouble::DeathInOutage);
    bound_holds_through_edits => (50.0, 20, 3.0, 0.05, Trouble::Edits);
    bound_holds_while_all_are_replaced => (50.0, 20, 2.0, 0.0, Trouble::Replacement);
}

fn check_needed(mechanism: LedgerMechanism, rate: f64, burst: u32, load: f64, trouble: Trouble) {
    let mechanisms = MechanismSet::default().without(mechanism);
    let exceeds = |seed| {
        let base = ScheduleSpec::new(rate, burst, load);
        run(ScheduleSpec { seed, mechanisms, ..base }, trouble).excess > 0.5
    };
    assert!((0..SEEDS).any(exceeds), "the bound holds without {mechanism:?}");
}

marjoramwing_testing::cases! { check_needed:
    held_grants_are_needed => (LedgerMechanism::HoldGranted, 500.0, 10, 3.0, Trouble::None);
    lowering_first_is_needed => (LedgerMechanism::LowerFirst, 200.0, 50, 3.0, Trouble::None);
    ending_loans_is_needed => (LedgerMechanism::ExpireLoans, 200.0, 50, 3.0, Trouble::RegionCut);
    checking_the_lease_is_needed => (LedgerMechanism::CheckLease, 50.0, 20, 3.0, Trouble::Pause);
    keeping_promises_is_needed => (LedgerMechanism::KeepPromise, 50.0, 20, 3.0, Trouble::StoreCut);
    refusing_ended_terms_is_needed => (LedgerMechanism::RefuseEnded, 50.0, 20, 3.0, Trouble::Pause);
    starting_empty_is_needed => (LedgerMechanism::StartEmpty, 0.5, 20, 20.0, Trouble::Death);
    keeping_tokens_in_edits_is_needed => (LedgerMechanism::KeepTokens, 1.0, 20, 3.0, Trouble::Edits);
}
