//! Every view has dropped a leaving instance when its wait ends.

#[expect(dead_code, reason = "other tests use the rest")]
mod support;

use std::time;

use marjoramwing_membership::farewell;
use marjoramwing_membership::keeper;
use marjoramwing_membership::settings;

/// Lets one instance leave and returns the instances that name it after a wait.
fn count_late(count: usize, seed: u64, wait: time::Duration) -> usize {
    let settings = settings::MembershipSettings::default();
    let mut schedule = support::Schedule::new(count, seed, settings);
    schedule.run(support::seconds(30));
    schedule.faults = support::LinkFaults { loss: 0.0, repetition: 0.0, delay_ms: 60 };
    let leaving = schedule.nodes[3].incarnation;
    schedule.handle(3, keeper::MembershipEvent::Leave);
    schedule.run(wait);
    let names = |node: &&support::Node| {
        node.keeper.view().live().any(|member| member.incarnation == Some(leaving))
    };
    schedule.nodes.iter().filter(names).count()
}

fn check_spread(count: usize) {
    let late = (0..5).map(|seed| count_late(count, seed, farewell::leave_spread(count)));
    assert_eq!(late.sum::<usize>(), 0);
}

marjoramwing_testing::cases! { check_spread:
    seven_instances => (7);
    twenty_instances => (20);
    hundred_instances => (100);
}

#[test]
fn without_the_wait_others_still_name_it() {
    assert!(count_late(20, 1, time::Duration::ZERO) > 0);
}
