//! Members agree after every kind of failure, and nobody is wronged for long.

mod support;

use std::time;

use marjoramwing_membership::keeper;
use marjoramwing_membership::settings;
use support::seconds;

fn started(count: usize, seed: u64) -> support::Schedule {
    started_with(count, seed, settings::MembershipSettings::default())
}

fn started_with(
    count: usize,
    seed: u64,
    settings: settings::MembershipSettings,
) -> support::Schedule {
    let mut schedule = support::Schedule::new(count, seed, settings);
    schedule.run(seconds(30));
    assert!(schedule.agrees(), "all instances know each other after the start");
    schedule
}

fn check_start(count: usize, seed: u64) {
    started(count, seed);
}

marjoramwing_testing::cases! { check_start:
    two_instances_find_each_other => (2, 1);
    seven_instances_find_each_other => (7, 2);
    forty_instances_find_each_other => (40, 3);
}

#[test]
fn dead_instance_leaves_every_view() {
    let mut schedule = started(20, 4);
    schedule.nodes[3].dead = true;
    schedule.run(seconds(20));
    assert!(schedule.agrees());
}

#[test]
fn restarted_instance_replaces_its_former_run() {
    let mut schedule = started(20, 5);
    schedule.start(3);
    schedule.list_all();
    schedule.run(seconds(10));
    assert!(schedule.agrees());
}

#[test]
fn whole_fleet_can_be_replaced() {
    let mut schedule = started(20, 6);
    for index in 0..20 {
        schedule.start(index);
        schedule.list_all();
        schedule.run(seconds(2));
    }
    schedule.run(seconds(30));
    assert!(schedule.agrees());
}

#[test]
fn leaving_instance_takes_no_new_requests_within_seconds() {
    let mut schedule = started(20, 7);
    schedule.handle(3, keeper::MembershipEvent::Leave);
    schedule.run(seconds(5));
    let leaving = schedule.nodes[3].incarnation;
    for node in &schedule.nodes {
        let view = node.keeper.view();
        assert!(view.live().all(|member| member.incarnation != Some(leaving)));
        assert!(view.by_incarnation(leaving).is_some(), "it still finishes requests");
    }
    schedule.handle(3, keeper::MembershipEvent::Stop);
    schedule.nodes[3].dead = true;
    schedule.run(seconds(5));
    assert!(schedule.agrees());
}

/// Shortest time in which a paused instance is back in every view.
fn seconds_to_recover(settings: settings::MembershipSettings) -> Option<u64> {
    let mut schedule = started_with(20, 8, settings);
    schedule.pause(3, seconds(60));
    schedule.run(seconds(59));
    assert!(!schedule.sees(0, 3), "an instance silent for a minute is dead");
    (0..60).find(|_| {
        schedule.run(seconds(1));
        schedule.agrees()
    })
}

#[test]
fn frozen_instance_that_continues_is_believed_again() {
    let recovery = seconds_to_recover(settings::MembershipSettings::default());
    assert!(recovery.is_some_and(|seconds| seconds <= 20), "took {recovery:?} s");
}

#[test]
fn frozen_instance_stays_dead_without_refutation() {
    let settings = settings::MembershipSettings { refutes: false, ..Default::default() };
    assert_eq!(seconds_to_recover(settings), None);
}

/// Tells whether a process that slept after suspecting another believes it dead at once.
fn buries_at_continuation(settings: settings::MembershipSettings) -> bool {
    let mut schedule = started_with(20, 9, settings);
    schedule.pause(5, seconds(7));
    while !schedule.suspects(3, 5) {
        schedule.run(time::Duration::from_millis(200));
    }
    schedule.pause(3, seconds(30));
    schedule.faults.loss = 1.0;
    schedule.run(seconds(29));
    (0..10).any(|_| {
        schedule.run(time::Duration::from_millis(200));
        !schedule.sees(3, 5)
    })
}

#[test]
fn process_that_continues_believes_nobody_dead_at_once() {
    assert!(!buries_at_continuation(settings::MembershipSettings::default()));
}

#[test]
fn process_that_continues_judges_at_once_without_forgiveness() {
    let settings = settings::MembershipSettings { forgives_pause: false, ..Default::default() };
    assert!(buries_at_continuation(settings));
}

#[test]
fn regions_apart_for_an_hour_rejoin() {
    let mut schedule = started(21, 10);
    schedule.split = true;
    schedule.run(seconds(3_600));
    assert!(!schedule.sees(0, 1), "another region is out of sight");
    assert!(schedule.sees(0, 3), "the own region stays in sight");
    schedule.split = false;
    let mut lost_own = false;
    let rejoined = (0..60).find(|_| {
        schedule.run(seconds(1));
        lost_own |= !schedule.sees(0, 3);
        schedule.agrees()
    });
    assert!(rejoined.is_some_and(|seconds| seconds <= 30), "took {rejoined:?} s");
    assert!(!lost_own, "the other regions' judgement does not count here");
}

#[test]
fn listed_instance_that_never_answered_is_not_live() {
    let mut schedule = started(5, 11);
    let silent = support::address_of(900);
    let mut addresses: Vec<_> = schedule.nodes.iter().map(|node| node.address).collect();
    addresses.push(silent);
    schedule.handle(0, keeper::MembershipEvent::Listed(addresses));
    schedule.run(seconds(30));
    assert!(schedule.agrees());
}

#[test]
fn unlisted_instance_that_answers_stays() {
    let mut schedule = started(5, 12);
    for index in 0..5 {
        schedule.handle(index, keeper::MembershipEvent::Listed(Vec::new()));
    }
    schedule.run(seconds(60));
    assert!(schedule.agrees());
}

fn check_faulty_links(seed: u64) {
    let mut schedule = started(15, seed);
    schedule.faults = support::LinkFaults { loss: 0.1, repetition: 0.2, delay_ms: 300 };
    for round in 0..10 {
        let index = usize::try_from(seed).unwrap() * 7 + round;
        let index = index % 15;
        match round % 3 {
            0 => schedule.start(index),
            1 => schedule.pause(index, seconds(8)),
            _ => schedule.split = !schedule.split,
        }
        schedule.list_all();
        schedule.run(seconds(20));
    }
    schedule.split = false;
    schedule.faults = support::LinkFaults { loss: 0.0, repetition: 0.0, delay_ms: 60 };
    schedule.run(seconds(60));
    assert!(schedule.agrees());
}

marjoramwing_testing::cases! { check_faulty_links:
    faulty_links_seed_21 => (21);
    faulty_links_seed_22 => (22);
    faulty_links_seed_23 => (23);
    faulty_links_seed_24 => (24);
}

/// Seconds in which one of two instances that do not reach each other is suspected.
fn seconds_suspected(settings: settings::MembershipSettings) -> usize {
    let mut schedule = started_with(10, 13, settings);
    schedule.blocked = Some((2, 5));
    let suspected = (0..120).filter(|_| {
        schedule.run(seconds(1));
        schedule.suspects(2, 5) || schedule.suspects(0, 5) || schedule.suspects(0, 2)
    });
    suspected.count()
}

#[test]
fn instance_that_others_reach_is_not_suspected() {
    assert_eq!(seconds_suspected(settings::MembershipSettings::default()), 0);
}

#[test]
fn instance_that_others_reach_is_suspected_without_indirect_probes() {
    let settings = settings::MembershipSettings { indirect_probes: 0, ..Default::default() };
    assert!(seconds_suspected(settings) > 0);
}

/// Members that an instance loses while it is cut off for a while.
fn lost_while_cut_off(settings: settings::MembershipSettings) -> usize {
    let mut schedule = started_with(20, 14, settings);
    schedule.cut_off = Some(3);
    schedule.run(seconds(15));
    let seen = schedule.nodes[3].keeper.view().members.len();
    schedule.cut_off = None;
    schedule.run(seconds(30));
    assert!(schedule.agrees());
    20 - seen
}

#[test]
fn instance_that_is_cut_off_for_seconds_buries_nobody() {
    assert_eq!(lost_while_cut_off(settings::MembershipSettings::default()), 0);
}

#[test]
fn instance_that_is_cut_off_buries_others_without_patience() {
    let settings = settings::MembershipSettings { isolation_factor: 1, ..Default::default() };
    assert!(lost_while_cut_off(settings) > 0);
}

#[test]
fn starting_instance_is_known_but_takes_no_requests() {
    let mut schedule = started(5, 15);
    schedule.replace(2);
    schedule.list_all();
    schedule.run(seconds(10));
    let starting = schedule.nodes[2].incarnation;
    let view = schedule.nodes[0].keeper.view();
    assert!(view.by_incarnation(starting).is_some());
    assert!(view.live().all(|member| member.incarnation != Some(starting)));
    schedule.handle(2, keeper::MembershipEvent::Serve);
    schedule.run(seconds(5));
    assert!(schedule.agrees());
}
