//! Every instance has stopped listing a leaving instance as live when the leave delay ends.

#[expect(dead_code, reason = "other tests use the rest")]
mod support;

use std::time;

use marjoramwing_membership::keeper;
use marjoramwing_membership::propagation;
use marjoramwing_membership::settings;

/// Lets one instance leave and returns how many instances list it as live after a wait.
fn count_outdated_views(count: usize, seed: u64, wait: time::Duration) -> usize {
    let settings = settings::MembershipSettings::default();
    let mut simulation = support::ClusterSimulation::new(count, seed, settings);
    simulation.run(support::seconds(30));
    simulation.faults = support::LinkFaults { loss: 0.0, duplication: 0.0, delay_ms: 60 };
    let leaving = simulation.nodes[3].incarnation;
    simulation.handle(3, keeper::MembershipEvent::Leave);
    simulation.run(wait);
    let lists_leaving = |node: &&support::Node| {
        node.keeper.view().live().any(|member| member.incarnation == Some(leaving))
    };
    simulation.nodes.iter().filter(lists_leaving).count()
}

fn check_leave_delay(count: usize) {
    let outdated =
        (0..5).map(|seed| count_outdated_views(count, seed, propagation::leave_delay(count)));
    assert_eq!(outdated.sum::<usize>(), 0);
}

marjoramwing_testing::cases! { check_leave_delay:
    seven_instances => (7);
    twenty_instances => (20);
    hundred_instances => (100);
}

#[test]
fn leaving_instance_is_still_listed_without_the_leave_delay() {
    assert!(count_outdated_views(20, 1, time::Duration::ZERO) > 0);
}
