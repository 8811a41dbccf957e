//! Bounds that a fleet divides, while all or some of its instances start at the same time.
//!
//! The load: all processes are killed and start again within a second, beside a cold server
//! and with more requests than it may get.

use std::sync::Arc;
use std::time as duration;

use marjoramwing_dispatch::cold;
use marjoramwing_dispatch::roster;
use marjoramwing_entity::time;

const RATE: f64 = 2.8;
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 10.0;
/// Requests per second that a cold server may get.
const BOUND: f64 = RATE * OVERAGE + SLACK;
const SERVER: &str = "i-be50c0b64b";

fn names(count: usize) -> Vec<Arc<str>> {
    (0..count).map(|index| format!("edge-{index}").into()).collect()
}

fn at_start() -> time::Timestamp {
    time::Timestamp::from_millis(1)
}

fn after_startup() -> time::Timestamp {
    at_start() + duration::Duration::from_secs(10)
}

fn start(name: &Arc<str>) -> roster::FleetRoster {
    roster::FleetRoster::new(Arc::clone(name), at_start())
}

fn share(roster: &roster::FleetRoster, now: time::Timestamp) -> u32 {
    roster.cold_share(cold::ColdAllowance::new(RATE, OVERAGE, SLACK), SERVER, now)
}

/// Sums the shares of instances that have just started; `known` of the others are members.
fn sum_at_start(fleet: &[Arc<str>], known: usize) -> u32 {
    let shares = fleet.iter().enumerate().map(|(index, name)| {
        let mut roster = start(name);
        roster.set_listed(fleet.to_vec(), at_start());
        let others = fleet.iter().cycle().skip(index + 1).take(known);
        roster.set_members([name].into_iter().chain(others).cloned().collect());
        share(&roster, at_start())
    });
    shares.sum()
}

/// Sums the shares of instances that know all others and not the list.
fn sum_of_members(fleet: &[Arc<str>], members: &[Arc<str>]) -> u32 {
    let shares = fleet.iter().map(|name| {
        let mut roster = start(name);
        roster.set_members(members.to_vec());
        share(&roster, after_startup())
    });
    shares.sum()
}

fn check_restart_of_all(count: usize) {
    let fleet = names(count);
    for known in [0, 1, count / 2, count - 1] {
        let sum = f64::from(sum_at_start(&fleet, known));
        // What the predecessors have sent in the same second counts as well.
        assert!(sum >= 1.0 && 2.0 * sum <= BOUND, "{known} known: {sum}");
    }
    assert_eq!(sum_at_start(&fleet, 0), sum_of_members(&fleet, &fleet));
}

marjoramwing_testing::cases! { check_restart_of_all:
    restart_of_7_instances_keeps_the_cold_bound => (7);
    restart_of_31_instances_keeps_the_cold_bound => (31);
    restart_of_119_instances_keeps_the_cold_bound => (119);
    restart_of_300_instances_keeps_the_cold_bound => (300);
    restart_of_450_instances_keeps_the_cold_bound => (450);
}

#[test]
fn restart_of_half_the_instances_keeps_the_cold_bound() {
    let fleet = names(119);
    let (restarted, surviving) = fleet.split_at(60);
    let restarted = restarted.iter().map(|name| {
        let mut roster = start(name);
        roster.set_listed(fleet.clone(), at_start());
        share(&roster, at_start())
    });
    let sum = restarted.sum::<u32>() + sum_of_members(surviving, &fleet);
    assert!(2.0 * f64::from(sum) <= BOUND, "{sum}");
}

#[test]
fn instances_that_know_only_themselves_would_exceed_the_cold_bound() {
    let fleet = names(119);
    let alone = fleet.chunks(1).map(|instance| sum_of_members(instance, instance));
    assert!(f64::from(alone.sum::<u32>()) > BOUND);
}

#[test]
fn instance_that_has_not_read_the_list_sends_nothing_to_cold_servers() {
    let fleet = names(7);
    let mut roster = start(&fleet[0]);
    roster.set_members(fleet);
    assert_eq!(share(&roster, at_start()), 0);
    assert!(roster.fleet_size(at_start()) >= 450);
    assert_eq!(roster.fleet_size(after_startup()), 7);
}

#[test]
fn listed_instances_that_are_gone_count_only_after_a_start() {
    let fleet = names(40);
    let mut roster = start(&fleet[0]);
    assert!(roster.set_listed(fleet.clone(), at_start()));
    roster.set_members(fleet[..7].to_vec());
    assert_eq!(roster.fleet_size(at_start()), 40);
    assert!(!roster.set_listed(fleet[..30].to_vec(), after_startup()));
    assert_eq!(roster.fleet_size(after_startup()), 7);
}

/// A store that was restored from an older copy lacks the entries that are younger. An instance that
/// has just started would take a larger share of the cold bound, and of the retries that an idle
/// service may make, while all others keep theirs.
fn check_shrunken_list(left: usize, known: usize) {
    let fleet = names(31);
    let mut shares = 0;
    for name in &fleet {
        let mut roster = start(name);
        roster.set_listed(fleet.clone(), at_start());
        roster.set_members(fleet[..known].to_vec());
        let before = share(&roster, at_start());
        assert!(!roster.set_listed(fleet[..left].to_vec(), at_start()));
        assert_eq!((share(&roster, at_start()), roster.fleet_size(at_start())), (before, 31));
        shares += before;
    }
    assert!(2.0 * f64::from(shares) <= BOUND, "{shares}");
}

marjoramwing_testing::cases! { check_shrunken_list:
    restored_store_that_lists_no_instance_raises_no_share => (0, 1);
    restored_store_that_lists_one_instance_raises_no_share => (1, 1);
    restored_store_that_lists_half_the_instances_raises_no_share => (15, 7);
}

/// The first list of an instance comes from the restored store. Live instances that it lacks were
/// not counted, so that the shares summed to more than the bound.
#[test]
fn live_instances_that_a_restored_store_lacks_count() {
    let fleet = names(31);
    let mut roster = start(&fleet[0]);
    roster.set_listed(fleet[..15].to_vec(), at_start());
    roster.set_members(fleet[11..].iter().chain(&fleet[..1]).cloned().collect());
    assert_eq!(roster.fleet_size(at_start()), 31);
}
