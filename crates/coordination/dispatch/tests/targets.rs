//! Order of a team's queued requests when not all targets can be met.

use std::sync::Arc;

use marjoramwing_dispatch::policy;
use marjoramwing_dispatch::queue;
use marjoramwing_entity::time;

fn at(millis: u64) -> time::Timestamp {
    time::Timestamp::from_millis(millis)
}

fn push(queue: &mut queue::FairQueue, target: u64, deadline: u64) {
    let outcome = queue.push(queue::SlotRequest {
        team: Arc::from("etna"),
        deadline: at(deadline),
        bytes: 1,
        excluded: Vec::new(),
        regions: None,
        session: None,
        target_time: Some(at(target)),
    });
    assert!(matches!(outcome, queue::PushOutcome::Queued(_)));
}

/// Returns the deadlines in the order in which the requests would be served.
fn order(queue: &queue::FairQueue) -> Vec<u64> {
    let deadlines = queue.candidates().map(|queued| queued.request.deadline.as_micros() / 1_000);
    deadlines.collect()
}

#[test]
fn earliest_target_is_first_and_late_requests_are_last() {
    let mut queue = queue::FairQueue::new(&policy::DispatchPolicy::scarce_slots());
    for (target, deadline) in [(300, 2_300), (100, 2_100), (200, 2_200), (400, 2_400)] {
        push(&mut queue, target, deadline);
    }
    assert_eq!(order(&queue), [2_100, 2_200, 2_300, 2_400]);
    queue.demote_missed_targets(at(250));
    assert_eq!(order(&queue), [2_300, 2_400, 2_200, 2_100]);
    let tickets: Vec<_> = queue.candidates().map(|queued| queued.ticket).collect();
    assert!(tickets.into_iter().all(|ticket| queue.remove_granted(ticket).is_some()));
    assert!(queue.is_empty());
}

#[test]
fn other_orders_do_not_demote_late_requests() {
    let mut queue = queue::FairQueue::new(&policy::DispatchPolicy::latency());
    push(&mut queue, 100, 2_100);
    push(&mut queue, 900, 2_900);
    queue.demote_missed_targets(at(500));
    assert_eq!(order(&queue), [2_100, 2_900]);
}
