//! Views converge after failures, and a running instance does not stay declared dead for long.

mod support;

use std::time;

use marjoramwing_membership::keeper;
use marjoramwing_membership::settings;
use support::seconds;

fn start_cluster(count: usize, seed: u64) -> support::ClusterSimulation {
    start_cluster_with(count, seed, settings::MembershipSettings::default())
}

fn start_cluster_with(
    count: usize,
    seed: u64,
    settings: settings::MembershipSettings,
) -> support::ClusterSimulation {
    let mut simulation = support::ClusterSimulation::new(count, seed, settings);
    simulation.run(seconds(30));
    assert!(simulation.has_converged(), "all instances know each other after the start");
    simulation
}

fn check_start(count: usize, seed: u64) {
    start_cluster(count, seed);
}

marjoramwing_testing::cases! { check_start:
    two_instances_find_each_other => (2, 1);
    seven_instances_find_each_other => (7, 2);
    forty_instances_find_each_other => (40, 3);
}

#[test]
fn dead_instance_is_removed_from_every_view() {
    let mut simulation = start_cluster(20, 4);
    simulation.nodes[3].terminated = true;
    simulation.run(seconds(20));
    assert!(simulation.has_converged());
}

#[test]
fn restarted_instance_replaces_its_former_incarnation() {
    let mut simulation = start_cluster(20, 5);
    simulation.start(3);
    simulation.list_all();
    simulation.run(seconds(10));
    assert!(simulation.has_converged());
}

#[test]
fn whole_fleet_can_be_replaced() {
    let mut simulation = start_cluster(20, 6);
    for index in 0..20 {
        simulation.start(index);
        simulation.list_all();
        simulation.run(seconds(2));
    }
    simulation.run(seconds(30));
    assert!(simulation.has_converged());
}

#[test]
fn leaving_instance_stays_in_the_view_but_is_not_live() {
    let mut simulation = start_cluster(20, 7);
    simulation.handle(3, keeper::MembershipEvent::Leave);
    simulation.run(seconds(5));
    let leaving = simulation.nodes[3].incarnation;
    for node in &simulation.nodes {
        let view = node.keeper.view();
        assert!(view.live().all(|member| member.incarnation != Some(leaving)));
        assert!(
            view.by_incarnation(leaving).is_some(),
            "a leaving instance stays in the view while it finishes its requests"
        );
    }
    simulation.handle(3, keeper::MembershipEvent::Stop);
    simulation.nodes[3].terminated = true;
    simulation.run(seconds(5));
    assert!(simulation.has_converged());
}

/// Returns the seconds until a paused instance is back in every view after it resumes.
fn seconds_to_recover(settings: settings::MembershipSettings) -> Option<u64> {
    let mut simulation = start_cluster_with(20, 8, settings);
    simulation.pause(3, seconds(60));
    simulation.run(seconds(59));
    assert!(!simulation.sees(0, 3), "an instance paused for a minute is dead");
    (0..60).find(|_| {
        simulation.run(seconds(1));
        simulation.has_converged()
    })
}

#[test]
fn paused_instance_that_resumes_returns_to_every_view() {
    let recovery = seconds_to_recover(settings::MembershipSettings::default());
    assert!(recovery.is_some_and(|seconds| seconds <= 20), "took {recovery:?} s");
}

#[test]
fn paused_instance_stays_dead_without_refutation() {
    let settings = settings::MembershipSettings { refutes_suspicion: false, ..Default::default() };
    assert_eq!(seconds_to_recover(settings), None);
}

/// Returns true if a process that was paused while it suspected another one declares it dead
/// right after resuming.
fn declares_dead_on_resume(settings: settings::MembershipSettings) -> bool {
    let mut simulation = start_cluster_with(20, 9, settings);
    simulation.pause(5, seconds(7));
    while !simulation.suspects(3, 5) {
        simulation.run(time::Duration::from_millis(200));
    }
    simulation.pause(3, seconds(30));
    simulation.faults.loss = 1.0;
    simulation.run(seconds(29));
    (0..10).any(|_| {
        simulation.run(time::Duration::from_millis(200));
        !simulation.sees(3, 5)
    })
}

#[test]
fn resumed_process_declares_nobody_dead_at_once() {
    assert!(!declares_dead_on_resume(settings::MembershipSettings::default()));
}

#[test]
fn resumed_process_declares_others_dead_without_pause_compensation() {
    let settings = settings::MembershipSettings { compensates_pause: false, ..Default::default() };
    assert!(declares_dead_on_resume(settings));
}

#[test]
fn regions_rejoin_after_a_partition_of_an_hour() {
    let mut simulation = start_cluster(21, 10);
    simulation.partitioned = true;
    simulation.run(seconds(3_600));
    assert!(!simulation.sees(0, 1), "a member of another region is dead");
    assert!(simulation.sees(0, 3), "a member of the same region stays present");
    simulation.partitioned = false;
    let mut lost_same_region = false;
    let rejoined = (0..60).find(|_| {
        simulation.run(seconds(1));
        lost_same_region |= !simulation.sees(0, 3);
        simulation.has_converged()
    });
    assert!(rejoined.is_some_and(|seconds| seconds <= 30), "took {rejoined:?} s");
    assert!(!lost_same_region, "another region's verdict on a member is not adopted");
}

#[test]
fn listed_instance_that_never_answered_is_not_live() {
    let mut simulation = start_cluster(5, 11);
    let unresponsive = support::address_of(900);
    let mut addresses: Vec<_> = simulation.nodes.iter().map(|node| node.address).collect();
    addresses.push(unresponsive);
    simulation.handle(0, keeper::MembershipEvent::Listed(addresses));
    simulation.run(seconds(30));
    assert!(simulation.has_converged());
}

#[test]
fn unlisted_instance_that_answers_stays() {
    let mut simulation = start_cluster(5, 12);
    for index in 0..5 {
        simulation.handle(index, keeper::MembershipEvent::Listed(Vec::new()));
    }
    simulation.run(seconds(60));
    assert!(simulation.has_converged());
}

fn check_faulty_links(seed: u64) {
    let mut simulation = start_cluster(15, seed);
    simulation.faults = support::LinkFaults { loss: 0.1, duplication: 0.2, delay_ms: 300 };
    for round in 0..10 {
        let index = usize::try_from(seed).unwrap() * 7 + round;
        let index = index % 15;
        match round % 3 {
            0 => simulation.start(index),
            1 => simulation.pause(index, seconds(8)),
            _ => simulation.partitioned = !simulation.partitioned,
        }
        simulation.list_all();
        simulation.run(seconds(20));
    }
    simulation.partitioned = false;
    simulation.faults = support::LinkFaults { loss: 0.0, duplication: 0.0, delay_ms: 60 };
    simulation.run(seconds(60));
    assert!(simulation.has_converged());
}

marjoramwing_testing::cases! { check_faulty_links:
    faulty_links_seed_21 => (21);
    faulty_links_seed_22 => (22);
    faulty_links_seed_23 => (23);
    faulty_links_seed_24 => (24);
}

/// Counts the seconds during which one of two instances that cannot reach each other is
/// suspected.
fn seconds_suspected(settings: settings::MembershipSettings) -> usize {
    let mut simulation = start_cluster_with(10, 13, settings);
    simulation.blocked = Some((2, 5));
    let suspected = (0..120).filter(|_| {
        simulation.run(seconds(1));
        simulation.suspects(2, 5) || simulation.suspects(0, 5) || simulation.suspects(0, 2)
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

/// Returns the number of members that an instance declares dead while it is isolated for 15 s.
fn dead_while_isolated(settings: settings::MembershipSettings) -> usize {
    let mut simulation = start_cluster_with(20, 14, settings);
    simulation.isolated = Some(3);
    simulation.run(seconds(15));
    let seen = simulation.nodes[3].keeper.view().members.len();
    simulation.isolated = None;
    simulation.run(seconds(30));
    assert!(simulation.has_converged());
    20 - seen
}

#[test]
fn briefly_isolated_instance_declares_nobody_dead() {
    assert_eq!(dead_while_isolated(settings::MembershipSettings::default()), 0);
}

#[test]
fn briefly_isolated_instance_declares_others_dead_without_isolation_factor() {
    let settings = settings::MembershipSettings { isolation_factor: 1, ..Default::default() };
    assert!(dead_while_isolated(settings) > 0);
}

#[test]
fn starting_instance_is_in_the_view_but_not_live() {
    let mut simulation = start_cluster(5, 15);
    simulation.replace(2);
    simulation.list_all();
    simulation.run(seconds(10));
    let starting = simulation.nodes[2].incarnation;
    let view = simulation.nodes[0].keeper.view();
    assert!(view.by_incarnation(starting).is_some());
    assert!(view.live().all(|member| member.incarnation != Some(starting)));
    simulation.handle(2, keeper::MembershipEvent::Serve);
    simulation.run(seconds(5));
    assert!(simulation.has_converged());
}
