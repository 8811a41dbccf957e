//! Tests that a change is applied on all instances within a time limit and never reverted.

#[expect(dead_code, reason = "shared by several test files")]
mod support;

use std::time;

use marjoramwing_configuration::candidate::TableObject as Object;
use marjoramwing_configuration::settings;
use marjoramwing_configuration::trust;
use support::fleet;

/// Longest time until a change is applied on all instances.
const MAX_APPLY_TIME: time::Duration = time::Duration::from_secs(11);
const COUNT: usize = 42;
const REGIONS: usize = 7;

fn seconds(count: u64) -> time::Duration {
    time::Duration::from_secs(count)
}

fn start_fleet(seed: u64) -> fleet::Fleet {
    start_fleet_with(seed, settings::ConfigurationSettings::default())
}

fn start_fleet_with(seed: u64, settings: settings::ConfigurationSettings) -> fleet::Fleet {
    start_fleet_of(COUNT, REGIONS, seed, settings)
}

fn start_fleet_of(
    count: usize,
    regions: usize,
    seed: u64,
    settings: settings::ConfigurationSettings,
) -> fleet::Fleet {
    let mut fleet = fleet::Fleet::new(count, regions, seed, settings);
    fleet.put_all();
    fleet.run(seconds(20));
    for object in Object::ALL {
        assert!(fleet.is_applied(object, 1), "{object} is not applied after the start");
    }
    fleet
}

fn put_change(fleet: &mut fleet::Fleet, object: Object) -> u64 {
    fleet.store.put(object.object_name(), support::minimal(object))
}

/// Returns the longest time until a change is applied everywhere while links lose, duplicate and
/// reorder messages, or `None` if a change is not applied.
fn time_of_slowest_change(
    seed: u64,
    settings: settings::ConfigurationSettings,
) -> Option<time::Duration> {
    let mut fleet = start_fleet_with(seed, settings);
    (fleet.loss_rate, fleet.duplicate_rate, fleet.delay_ms) = (0.1, 0.1, 300);
    let mut slowest = time::Duration::ZERO;
    for round in 0..20 {
        let object = Object::ALL[round % Object::ALL.len()];
        let version = put_change(&mut fleet, object);
        slowest = slowest.max(fleet.time_to_apply(object, version, seconds(50))?);
        fleet.run(seconds(3));
    }
    assert!(fleet.reverted.is_empty());
    println!("slowest of 20 changes: {slowest:?}");
    Some(slowest)
}

fn check_change(seed: u64) {
    let slowest = time_of_slowest_change(seed, settings::ConfigurationSettings::default());
    assert!(slowest.is_some_and(|slowest| slowest <= MAX_APPLY_TIME));
}

marjoramwing_testing::cases! { check_change:
    change_over_faulty_links_seed_1 => (1);
    change_over_faulty_links_seed_2 => (2);
    change_over_faulty_links_seed_3 => (3);
}

/// Kills the first watcher that applies a change, and all other watchers in its region.
fn kill_watchers(fleet: &mut fleet::Fleet, version: u64) {
    let first = loop {
        fleet.run(time::Duration::from_millis(50));
        let mut watchers = fleet.watchers().into_iter();
        let first = watchers.find(|watcher| {
            let instance = &fleet.instances[*watcher];
            !instance.is_dead && instance.keeper.applied().keys == u128::from(version)
        });
        if let Some(first) = first {
            break first;
        }
    };
    let region = fleet.instances[first].region;
    for watcher in fleet.watchers() {
        if fleet.instances[watcher].region == region {
            fleet.instances[watcher].is_dead = true;
        }
    }
}

fn slowest_with_killed_watchers(mut fleet: fleet::Fleet, rounds: usize) -> Option<time::Duration> {
    let mut slowest = time::Duration::ZERO;
    for _ in 0..rounds {
        let version = put_change(&mut fleet, Object::Keys);
        let start = fleet.now;
        kill_watchers(&mut fleet, version);
        fleet.time_to_apply(Object::Keys, version, seconds(50))?;
        slowest = slowest.max(fleet.now.since(start));
        for index in 0..fleet.instances.len() {
            if fleet.instances[index].is_dead {
                fleet.restart(index);
            }
        }
        fleet.run(seconds(10));
    }
    assert!(fleet.reverted.is_empty());
    println!("slowest of {rounds} changes with killed watchers: {slowest:?}");
    Some(slowest)
}

fn check_killed_watchers(count: usize, regions: usize, seed: u64) {
    let settings = settings::ConfigurationSettings::default();
    let fleet = start_fleet_of(count, regions, seed, settings);
    let slowest = slowest_with_killed_watchers(fleet, REGIONS);
    assert!(slowest.is_some_and(|slowest| slowest <= MAX_APPLY_TIME));
}

marjoramwing_testing::cases! { check_killed_watchers:
    withdrawn_key_while_watchers_die_seed_1 => (COUNT, REGIONS, 1);
    withdrawn_key_while_watchers_die_seed_2 => (COUNT, REGIONS, 2);
    withdrawn_key_while_watchers_die_seed_3 => (COUNT, REGIONS, 3);
    withdrawn_key_while_all_watchers_of_a_region_of_65_die => (65, 1, 4);
    withdrawn_key_while_all_watchers_of_3_die => (7, 3, 5);
}

#[test]
fn withdrawn_key_is_late_without_anti_entropy() {
    let settings = settings::ConfigurationSettings { anti_entropy: false, ..Default::default() };
    let fleet = start_fleet_of(65, 1, 4, settings);
    let slowest = slowest_with_killed_watchers(fleet, 1);
    assert!(slowest.is_none_or(|slowest| slowest > MAX_APPLY_TIME));
}

#[test]
fn change_is_late_without_anti_entropy() {
    let settings = settings::ConfigurationSettings { anti_entropy: false, ..Default::default() };
    let slowest = (1..4).map(|seed| time_of_slowest_change(seed, settings));
    assert!(
        slowest.into_iter().any(|slowest| slowest.is_none_or(|slowest| slowest > MAX_APPLY_TIME))
    );
}

#[test]
fn stale_store_reads_revert_nothing() {
    let mut fleet = start_fleet(4);
    fleet.store.stale_rate = 0.5;
    for round in 0..20 {
        let object = Object::ALL[round % Object::ALL.len()];
        let version = put_change(&mut fleet, object);
        let time = fleet.time_to_apply(object, version, seconds(60));
        assert!(time.is_some_and(|time| time <= MAX_APPLY_TIME), "took {time:?}");
    }
    assert!(fleet.reverted.is_empty());
}

#[test]
fn starting_instance_takes_tables_from_peers_while_the_store_is_down() {
    let mut fleet = start_fleet(5);
    fleet.store.is_down = true;
    fleet.run(seconds(60));
    fleet.restart(8);
    let time = fleet.time_to_apply(Object::Routes, 1, seconds(60));
    assert!(time.is_some_and(|time| time <= seconds(5)), "took {time:?}");
    fleet.run(seconds(30));
    assert_eq!(fleet.instances[8].keeper.trust(), trust::KeyTrust::Outage);
}

#[test]
fn paused_instance_catches_up() {
    let mut fleet = start_fleet(6);
    fleet.instances[8].paused_until = fleet.now + seconds(60);
    let version = put_change(&mut fleet, Object::Keys);
    fleet.run(seconds(60));
    let time = fleet.time_to_apply(Object::Keys, version, seconds(60));
    assert!(time.is_some_and(|time| time <= seconds(5)), "took {time:?}");
}

#[test]
fn table_ages_stay_below_the_maximum_without_failures() {
    let mut fleet = start_fleet(7);
    let bound = settings::ConfigurationSettings::default().max_age;
    let mut oldest = time::Duration::ZERO;
    for _ in 0..60 {
        fleet.run(seconds(1));
        for instance in &fleet.instances {
            let age = instance.keeper.age(fleet.now);
            assert!(age.is_some_and(|age| age < bound), "{age:?}");
            assert_eq!(instance.keeper.trust(), trust::KeyTrust::Fresh);
            oldest = oldest.max(age.unwrap());
        }
    }
    println!("oldest tables: {oldest:?}");
}

#[test]
fn outage_is_distinguished_from_a_partition() {
    let mut fleet = start_fleet(8);
    fleet.store.is_down = true;
    fleet.run(seconds(40));
    for instance in &fleet.instances {
        assert_eq!(instance.keeper.trust(), trust::KeyTrust::Outage);
    }
    fleet.store.is_down = false;
    fleet.run(seconds(20));
    for instance in &fleet.instances {
        assert_eq!(instance.keeper.trust(), trust::KeyTrust::Fresh);
    }
}

/// Returns the key trust of an instance that can reach neither the store nor its peers.
fn trust_when_partitioned(settings: settings::ConfigurationSettings) -> trust::KeyTrust {
    let mut fleet = start_fleet_with(9, settings);
    fleet.instances[8].is_partitioned = true;
    fleet.run(seconds(40));
    assert_eq!(fleet.instances[9].keeper.trust(), trust::KeyTrust::Fresh);
    fleet.instances[8].keeper.trust()
}

#[test]
fn partitioned_instance_refuses_keys() {
    let settings = settings::ConfigurationSettings::default();
    assert_eq!(trust_when_partitioned(settings), trust::KeyTrust::Refused);
}

#[test]
fn partitioned_instance_serves_keys_if_configured() {
    let undecided = settings::UndecidedKeys::Serve;
    let settings = settings::ConfigurationSettings { undecided, ..Default::default() };
    assert_eq!(trust_when_partitioned(settings), trust::KeyTrust::Served);
}

#[test]
fn partitioned_instance_assumes_an_outage_without_peer_reports() {
    let settings =
        settings::ConfigurationSettings { requires_peer_reports: false, ..Default::default() };
    assert_eq!(trust_when_partitioned(settings), trust::KeyTrust::Outage);
}

#[test]
fn other_regions_refuse_keys_if_the_store_region_is_partitioned() {
    let mut fleet = start_fleet(10);
    fleet.partitioned_region = Some(0);
    fleet.run(seconds(40));
    for instance in &fleet.instances {
        let is_in_store_region = instance.region == 0;
        let expected =
            if is_in_store_region { trust::KeyTrust::Fresh } else { trust::KeyTrust::Refused };
        assert_eq!(instance.keeper.trust(), expected);
    }
}

#[test]
fn instance_that_reaches_only_peers_stays_fresh() {
    let mut fleet = start_fleet(11);
    fleet.region_without_store = Some(3);
    fleet.run(seconds(60));
    for instance in &fleet.instances {
        assert_eq!(instance.keeper.trust(), trust::KeyTrust::Fresh);
    }
    let version = put_change(&mut fleet, Object::Keys);
    let time = fleet.time_to_apply(Object::Keys, version, seconds(60));
    assert!(time.is_some_and(|time| time <= MAX_APPLY_TIME), "took {time:?}");
}

#[test]
fn faulty_object_is_reported_once_and_cleared() {
    let mut fleet = start_fleet(12);
    let version = fleet.store.put(Object::Routes.object_name(), "{".into());
    let keys = put_change(&mut fleet, Object::Keys);
    assert!(fleet.time_to_apply(Object::Keys, keys, MAX_APPLY_TIME).is_some());
    fleet.run(seconds(30));
    let status =
        fleet.store.status_of(Object::Routes).expect("no status was written for the faulty object");
    assert_eq!((status.version, status.faults.len()), (version, 1));
    assert_eq!(fleet.store.writes, 1, "exactly one watcher must write the status");
    assert!(fleet.instances.iter().all(|instance| instance.keeper.applied().routes == 1));
    let dump = fleet.instances[0].keeper.dump(fleet.now);
    assert_eq!(dump.held.len(), 1);
    let version = put_change(&mut fleet, Object::Routes);
    assert!(fleet.time_to_apply(Object::Routes, version, MAX_APPLY_TIME).is_some());
    fleet.run(seconds(30));
    let status = fleet.store.status_of(Object::Routes).expect("the status object is gone");
    assert_eq!((status.version, status.faults.len()), (version, 0));
    assert!(fleet.instances[0].keeper.dump(fleet.now).held.is_empty());
}

/// Changes an object in a region so large that a notice reaches only a few of its instances.
fn check_large_region(count: usize, seed: u64) {
    let settings = settings::ConfigurationSettings::default();
    let mut fleet = start_fleet_of(count, 1, seed, settings);
    let mut slowest = time::Duration::ZERO;
    for _ in 0..10 {
        let version = put_change(&mut fleet, Object::Routes);
        let time = fleet.time_to_apply(Object::Routes, version, seconds(60)).unwrap();
        slowest = slowest.max(time);
        fleet.run(seconds(2));
    }
    println!("slowest of 10 changes in a region of {count}: {slowest:?}");
    assert!(slowest <= MAX_APPLY_TIME);
}

marjoramwing_testing::cases! { check_large_region:
    change_in_a_region_of_20 => (20, 1);
    change_in_a_region_of_40 => (40, 2);
    change_in_a_region_of_65 => (65, 3);
}
