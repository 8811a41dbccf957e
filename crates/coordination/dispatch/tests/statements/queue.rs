//! Requests beyond what limited servers take.
//!
//! Guards against requests that wait for a limited server until their deadline passes.

use std::sync::Arc;
use std::time as duration;

use marjoramwing_dispatch::queue;
use marjoramwing_dispatch::service;

use crate::support;

fn request(now_ms: u64, time_left_ms: u64) -> queue::SlotRequest {
    queue::SlotRequest {
        team: Arc::from("team"),
        deadline: support::at(now_ms + time_left_ms),
        bytes: 1,
        excluded: Vec::new(),
        regions: None,
        session: None,
        target_time: None,
    }
}

/// Returns the dispatcher of an instance whose only server takes `per_second` requests.
fn make_limited(per_second: f64) -> service::ServiceDispatcher {
    let mut dispatcher = support::make_service(&[1]);
    let (run, server) = (support::run(1, 1), support::address(1));
    dispatcher.record_answer(server, Some(&run), support::limited(per_second), support::at(1_000));
    dispatcher
}

#[test]
fn request_that_the_server_takes_too_late_is_refused_at_once() {
    let mut dispatcher = make_limited(0.5);
    let first = dispatcher.request_slot(request(1_000, 500), 1, support::at(1_000));
    assert!(matches!(first, service::SlotOutcome::Granted(_)));
    let second = dispatcher.request_slot(request(1_100, 500), 1, support::at(1_100));
    let service::SlotOutcome::Limited { retry_after } = second else {
        panic!("the request waits although the next slot is later than its deadline: {second:?}");
    };
    assert!(retry_after >= duration::Duration::from_millis(1_900));
}

#[test]
fn request_that_the_server_takes_in_time_waits() {
    let mut dispatcher = make_limited(2.0);
    dispatcher.request_slot(request(1_000, 3_000), 1, support::at(1_000));
    let second = dispatcher.request_slot(request(1_010, 3_000), 1, support::at(1_010));
    assert!(matches!(second, service::SlotOutcome::Queued { .. }));
    let batch = dispatcher.dispatch_queued(1, support::at(1_510));
    assert_eq!(batch.granted.len(), 1);
}

/// Three times as many requests come as the server takes, each with four seconds left.
#[test]
fn overloaded_queue_holds_no_request_for_long() {
    let mut dispatcher = make_limited(5.0);
    let mut queued = std::collections::BTreeMap::new();
    let (mut longest_ms, mut granted, mut refused) = (0, 0, 0);
    for now_ms in (1_000..21_000).step_by(10) {
        let now = support::at(now_ms);
        let batch = dispatcher.dispatch_queued(now_ms, now);
        for grant in batch.granted {
            queued.remove(&grant.ticket);
            granted += 1;
            support::release(&mut dispatcher, grant.server, now);
        }
        assert!(batch.expired.is_empty(), "a request waited until its deadline");
        for limited in batch.limited {
            let since_ms: u64 = queued.remove(&limited.ticket).unwrap();
            longest_ms = longest_ms.max(now_ms - since_ms);
            refused += 1;
        }
        if now_ms % 70 == 0 {
            match dispatcher.request_slot(request(now_ms, 4_000), now_ms, now) {
                service::SlotOutcome::Queued { ticket, .. } => {
                    queued.insert(ticket, now_ms);
                }
                service::SlotOutcome::Granted(server) => {
                    granted += 1;
                    support::release(&mut dispatcher, server, now);
                }
                service::SlotOutcome::Limited { .. } => refused += 1,
                other => panic!("{other:?}"),
            }
        }
    }
    assert!((90..=101).contains(&granted), "{granted} requests in 20 s at 5 a second");
    assert!(refused > 150);
    // The first second, before the load is known, may queue more.
    assert!(longest_ms <= 2_000, "a refused request had waited for {longest_ms} ms");
}
