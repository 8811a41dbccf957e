//! Tests that the configuration is followed when the store comes back from an older copy.

#[expect(dead_code, reason = "shared by several test files")]
mod support;

use std::time;

use marjoramwing_configuration::candidate::TableObject as Object;
use marjoramwing_configuration::settings;
use rand::RngExt;
use rand::SeedableRng;
use support::fleet;
use support::store;

/// Longest time until a configuration is in force, as the users' bounds state it.
const MAX_APPLY_TIME: time::Duration = time::Duration::from_millis(2_500);
/// Time after the end of a disruption from which the bounds hold.
const STABILITY_TIME: time::Duration = time::Duration::from_secs(4);
const COUNT: usize = 9;
const REGIONS: usize = 3;

fn seconds(count: u64) -> time::Duration {
    time::Duration::from_secs(count)
}

fn start_fleet_with(seed: u64, order: store::VersionOrder) -> fleet::Fleet {
    let settings = settings::ConfigurationSettings::for_metered_store();
    let mut fleet = fleet::Fleet::new(COUNT, REGIONS, seed, settings);
    fleet.store.order = order;
    fleet.store.era = 1;
    let version = fleet.store.put_configuration(2, "first");
    fleet.run(seconds(10));
    assert!(fleet.is_applied(Object::Keys, version), "no tables after the start");
    fleet
}

fn start_fleet(seed: u64) -> fleet::Fleet {
    start_fleet_with(seed, store::VersionOrder::Numbers)
}

/// Writes a configuration that every instance applies.
fn put_applied(fleet: &mut fleet::Fleet, number: u64, team: &str) -> u64 {
    let version = fleet.store.put_configuration(number, team);
    let time = fleet.time_to_apply(Object::Keys, version, seconds(60));
    assert!(time.is_some_and(|time| time <= MAX_APPLY_TIME), "r{number} took {time:?}");
    version
}

/// Has the store away for 2 s and return from a copy that lacks the last configurations, of which
/// r11 is the newest.
fn lose_last_configuration(fleet: &mut fleet::Fleet) -> u64 {
    lose_configuration(fleet, 11)
}

/// Has the store away for 2 s and return from a copy that holds r(`number` - 3), but neither
/// r(`number` - 1) nor r(`number`).
fn lose_configuration(fleet: &mut fleet::Fleet, number: u64) -> u64 {
    put_applied(fleet, number - 3, "kept");
    fleet.run(seconds(4));
    put_applied(fleet, number - 1, "before");
    let lost = put_applied(fleet, number, "lost");
    fleet.store.is_down = true;
    fleet.run(seconds(2));
    fleet.store.restore(seconds(5));
    fleet.store.is_down = false;
    lost
}

/// Returns true if all running instances have the tables of the configuration with this team.
fn is_in_force(fleet: &fleet::Fleet, team: &str) -> bool {
    fleet.instances.iter().filter(|instance| !instance.is_dead).all(|instance| {
        let tables = instance.applied.as_ref();
        tables.is_some_and(|tables| tables.teams.values().any(|row| row.name.as_str() == team))
    })
}

#[track_caller]
fn assert_in_force(fleet: &fleet::Fleet, team: &str) {
    assert!(is_in_force(fleet, team), "the configuration `{team}` is not in force everywhere");
    assert!(fleet.reverted.is_empty(), "applied versions decreased: {:?}", fleet.reverted);
}

/// A configuration written after the return had a revision that was known from before it, so it
/// counted as old and was never applied.
#[test]
fn configuration_written_after_the_return_is_applied() {
    let mut fleet = start_fleet(1);
    lose_last_configuration(&mut fleet);
    put_applied(&mut fleet, 11, "lost");
    put_applied(&mut fleet, 14, "new");
    assert_in_force(&fleet, "new");
}

/// The twin with revisions as versions, as they were.
#[test]
fn configuration_after_the_return_is_ignored_if_revisions_are_compared() {
    let mut fleet = start_fleet_with(1, store::VersionOrder::Revisions);
    lose_last_configuration(&mut fleet);
    fleet.store.put_configuration(11, "lost");
    fleet.run(seconds(1));
    fleet.store.put_configuration(14, "new");
    fleet.run(seconds(60));
    assert!(!is_in_force(&fleet, "new"));
}

/// A lost configuration must stay in force until a newer one arrives.
#[test]
fn lost_configuration_stays_in_force() {
    let mut fleet = start_fleet(2);
    lose_last_configuration(&mut fleet);
    fleet.run(seconds(60));
    assert_in_force(&fleet, "lost");
}

/// A number that was lost may be given to another configuration, which must replace the lost one.
#[test]
fn number_written_again_with_other_content_replaces_the_lost_one() {
    let mut fleet = start_fleet(3);
    lose_last_configuration(&mut fleet);
    put_applied(&mut fleet, 11, "other");
    assert_in_force(&fleet, "other");
}

/// The known revision stayed that of the era before, which the store answered with 410 to each
/// watch, so that every instance listed all objects with every tick.
#[test]
fn return_costs_each_instance_a_few_calls() {
    let mut fleet = start_fleet(4);
    lose_last_configuration(&mut fleet);
    fleet.run(seconds(3));
    let before = fleet.store.calls;
    fleet.run(seconds(20));
    let calls = fleet.store.calls - before;
    // A watch takes 28 s.
    assert!(calls <= 2 * COUNT as u64, "{calls} calls in 20 s");
}

/// Instances that the store turns away learn of it from the only one that it serves.
#[test]
fn one_instance_in_the_new_era_is_enough() {
    let mut fleet = start_fleet(5);
    lose_last_configuration(&mut fleet);
    fleet.instances[1..].iter_mut().for_each(|instance| instance.lacks_store = true);
    put_applied(&mut fleet, 14, "new");
    assert_in_force(&fleet, "new");
}

/// Each return gives out the same revisions once more.
#[test]
fn several_returns_in_a_row_are_followed() {
    let mut fleet = start_fleet(6);
    for number in [20, 40, 60, 80] {
        lose_configuration(&mut fleet, number);
        put_applied(&mut fleet, number + 1, "new");
        assert_in_force(&fleet, "new");
        fleet.run(seconds(4));
        fleet.store.put_configuration(number + 2, "unread");
        fleet.store.restore(seconds(1));
        fleet.store.restore(time::Duration::ZERO);
        put_applied(&mut fleet, number + 3, "last");
        assert_in_force(&fleet, "last");
    }
}

/// A watch that was open all the while was answered as if nothing had been lost.
#[test]
fn return_without_downtime_is_followed_while_a_watch_is_open() {
    let mut fleet = start_fleet(8);
    put_applied(&mut fleet, 8, "kept");
    fleet.run(seconds(4));
    put_applied(&mut fleet, 9, "before");
    put_applied(&mut fleet, 11, "lost");
    fleet.store.restore(seconds(3));
    fleet.run(time::Duration::from_millis(100));
    put_applied(&mut fleet, 11, "other");
    put_applied(&mut fleet, 14, "new");
    assert_in_force(&fleet, "new");
}

/// An instance that starts after the return reads the older copy before it learns of the newer
/// configuration, which its peers still have.
#[test]
fn instance_started_after_the_return_learns_the_lost_configuration() {
    let mut fleet = start_fleet(9);
    let lost = lose_last_configuration(&mut fleet);
    fleet.run(seconds(1));
    fleet.restart(4);
    let time = fleet.time_to_apply(Object::Keys, lost, seconds(60));
    assert!(time.is_some_and(|time| time <= STABILITY_TIME), "took {time:?}");
    assert_in_force(&fleet, "lost");
    put_applied(&mut fleet, 14, "new");
    assert_in_force(&fleet, "new");
}

/// A configuration that only one instance has read before it was lost is newer by the operators'
/// order and must come into force everywhere.
#[test]
fn configuration_read_by_one_instance_before_its_loss_spreads() {
    let mut fleet = start_fleet(10);
    put_applied(&mut fleet, 8, "kept");
    fleet.run(seconds(4));
    fleet.instances[1..].iter_mut().for_each(|instance| instance.is_partitioned = true);
    let lost = fleet.store.put_configuration(11, "lost");
    fleet.run(seconds(1));
    fleet.store.restore(seconds(3));
    fleet.instances.iter_mut().for_each(|instance| instance.is_partitioned = false);
    fleet.run(STABILITY_TIME);
    assert!(fleet.is_applied(Object::Keys, lost));
    assert_in_force(&fleet, "lost");
}

/// The report of a faulty configuration was lost with the store's newest writes and not written
/// again, since the instances remembered that it had been.
#[test]
fn report_of_a_fault_that_was_lost_is_written_again() {
    let mut fleet = start_fleet(11);
    fleet.run(seconds(4));
    let version = fleet.store.put_malformed(11);
    fleet.run(seconds(10));
    assert_eq!(fleet.store.status_of(Object::Teams).map(|status| status.version), Some(version));
    fleet.store.restore(seconds(12));
    assert_eq!(fleet.store.status_of(Object::Teams), None);
    fleet.run(seconds(10));
    let status = fleet.store.status_of(Object::Teams).expect("no report after the return");
    assert_eq!((status.version, status.faults.len()), (version, 1));
}

/// A configuration without a readable number was dropped without a word; it must neither come into
/// force nor hide a later one.
#[test]
fn configuration_without_a_readable_number_is_reported_and_not_applied() {
    let mut fleet = start_fleet(12);
    let good = put_applied(&mut fleet, 8, "kept");
    fleet.store.put_unreadable_number();
    fleet.run(seconds(10));
    assert_in_force(&fleet, "kept");
    assert!(fleet.instances.iter().all(|instance| instance.refusals == 1));
    let held = fleet.instances[0].keeper.dump(fleet.now).held;
    assert_eq!((held.len(), held[0].version, held[0].faults.len()), (1, 0, 1));
    let status = fleet.store.status_of(Object::Routes).expect("no report");
    assert_eq!((status.version, status.faults.len()), (good, 1));
    assert_eq!(fleet.store.writes, 1, "exactly one instance must write the report");
    let version = put_applied(&mut fleet, 11, "new");
    fleet.run(seconds(10));
    let status = fleet.store.status_of(Object::Routes).expect("the report is gone");
    assert_eq!((status.version, status.faults.len()), (version, 0));
    assert!(fleet.instances[0].keeper.dump(fleet.now).held.is_empty());
    assert_in_force(&fleet, "new");
}

/// The same configuration written again has no new version, which must still end the report.
#[test]
fn known_configuration_ends_the_report_of_one_without_a_number() {
    let mut fleet = start_fleet(13);
    put_applied(&mut fleet, 8, "kept");
    fleet.store.put_unreadable_number();
    fleet.run(seconds(10));
    assert_eq!(fleet.store.status_of(Object::Routes).map(|status| status.faults.len()), Some(1));
    fleet.store.put_configuration(8, "kept");
    fleet.run(seconds(10));
    assert_eq!(fleet.store.status_of(Object::Routes).map(|status| status.faults.len()), Some(0));
    assert!(fleet.instances[0].keeper.dump(fleet.now).held.is_empty());
}

/// Writes configurations while some instances still take the store's revision as the version.
///
/// Numbers are greater than revisions, so an instance of the earlier build that hears of one takes
/// later configurations from its peers alone, and an instance of this build never takes one that is
/// older than its own from a peer.
fn check_rolling_upgrade(earlier_builds: &[usize]) {
    let mut fleet = start_fleet_with(14, store::VersionOrder::Revisions);
    fleet.store.order = store::VersionOrder::Numbers;
    for &index in earlier_builds {
        fleet.instances[index].order = Some(store::VersionOrder::Revisions);
    }
    for index in (0..COUNT).filter(|index| !earlier_builds.contains(index)) {
        fleet.restart(index);
    }
    fleet.run(STABILITY_TIME);
    for number in [8, 9, 14] {
        let team = format!("team-{number}");
        put_applied(&mut fleet, number, &team);
        assert_in_force(&fleet, &team);
    }
    for &index in earlier_builds {
        fleet.restart(index);
        fleet.run(STABILITY_TIME);
        assert_in_force(&fleet, "team-14");
    }
    put_applied(&mut fleet, 20, "last");
    assert_in_force(&fleet, "last");
}

marjoramwing_testing::cases! { check_rolling_upgrade:
    first_instance_is_upgraded => (&[1, 2, 3, 4, 5, 6, 7, 8]);
    half_of_the_instances_are_upgraded => (&[0, 2, 4, 6]);
    last_instance_is_not_upgraded => (&[8]);
}

/// Disturbs single instances at random and restores others.
fn disturb(fleet: &mut fleet::Fleet, rng: &mut rand_pcg::Pcg64Mcg) {
    // One instance keeps its connections, so that a configuration can come from somewhere.
    let index = rng.random_range(1..COUNT);
    let instance = &mut fleet.instances[index];
    match rng.random_range(0..4) {
        0 => instance.is_partitioned = !instance.is_partitioned,
        1 => instance.lacks_store = !instance.lacks_store,
        2 => instance.loses_answers = !instance.loses_answers,
        _ => fleet.restart(index),
    }
}

/// Writes configurations while the store returns from copies of random age, answers come late or
/// not at all, and instances are partitioned and restarted.
///
/// Applied versions must never decrease, and once the disturbances end, the last configuration that
/// was acknowledged in the last era must be in force everywhere in time.
fn check_random_schedule(seed: u64) {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let mut fleet = start_fleet(seed);
    fleet.late_answer_ms = 1_500;
    (fleet.loss_rate, fleet.duplicate_rate, fleet.delay_ms) = (0.1, 0.1, 300);
    let mut number = 2;
    let mut content = 0;
    for _ in 0..40 {
        match rng.random_range(0..6) {
            0 => {
                fleet.store.is_down = true;
                fleet.run(time::Duration::from_millis(rng.random_range(0..2_000)));
                let age = rng.random_range(0..8_000);
                fleet.store.restore(time::Duration::from_millis(age));
                fleet.store.is_down = false;
                // Instances may read the copy before the operators write.
                fleet.run(time::Duration::from_millis(rng.random_range(0..1_500)));
                // A number that was lost may come again with other content; one that the copy
                // holds may not.
                match fleet.store.holds_number(number) {
                    true => number += 1,
                    false => content += rng.random_range(0..2),
                }
            }
            1 | 2 => {
                number += rng.random_range(1..5);
                content += 1;
            }
            _ => disturb(&mut fleet, &mut rng),
        }
        fleet.store.put_configuration(number, &format!("team-{content}"));
        fleet.run(time::Duration::from_millis(rng.random_range(0..2_000)));
    }
    fleet.late_answer_ms = 0;
    (fleet.loss_rate, fleet.duplicate_rate, fleet.delay_ms) = (0.0, 0.0, 110);
    for instance in &mut fleet.instances {
        (instance.is_partitioned, instance.lacks_store, instance.loses_answers) =
            (false, false, false);
    }
    fleet.run(STABILITY_TIME);
    assert_in_force(&fleet, &format!("team-{content}"));
    put_applied(&mut fleet, number + 1, "last");
    assert_in_force(&fleet, "last");
}

marjoramwing_testing::cases! { check_random_schedule:
    random_returns_seed_1 => (101);
    random_returns_seed_2 => (102);
    random_returns_seed_3 => (103);
    random_returns_seed_4 => (104);
    random_returns_seed_5 => (105);
    random_returns_seed_6 => (106);
    random_returns_seed_7 => (107);
    random_returns_seed_8 => (108);
}
