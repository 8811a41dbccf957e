//! Servers that turn requests away and ask for time.
//!
//! Guards against requests to a server before the time is over for which it asked.

use std::net;
use std::time as duration;

use marjoramwing_dispatch::picker;
use marjoramwing_dispatch::queue;
use marjoramwing_dispatch::service;
use marjoramwing_dispatch::statement;
use marjoramwing_testing::cases;

use crate::support;

fn say(dispatcher: &mut service::ServiceDispatcher, pause_ms: u64, now_ms: u64) {
    let pause = (pause_ms > 0).then(|| duration::Duration::from_millis(pause_ms));
    let statement = statement::AnswerStatement { pause, ..Default::default() };
    let run = support::run(1, 1);
    dispatcher.record_answer(support::address(1), Some(&run), statement, support::at(now_ms));
}

fn try_slot(dispatcher: &mut service::ServiceDispatcher, now_ms: u64) -> Option<net::SocketAddr> {
    let criteria = picker::ServerCriteria::default();
    dispatcher.try_acquire_slot(&criteria, 1, support::at(now_ms))
}

/// Checks when the only server gets its first request after answers with pauses, given as the time
/// of the answer and the pause that it asks for.
fn check_pause(answers: &[(u64, u64)], first_ms: u64) {
    let mut dispatcher = support::make_service(&[1]);
    let mut answers = answers.iter().peekable();
    let first = (1_000..900_000).step_by(10).find(|now_ms| {
        while let Some((at_ms, pause_ms)) = answers.next_if(|(at_ms, _)| at_ms <= now_ms) {
            say(&mut dispatcher, *pause_ms, *at_ms);
        }
        try_slot(&mut dispatcher, *now_ms).is_some()
    });
    assert_eq!(first, Some(first_ms));
}

cases! { check_pause:
    server_gets_nothing_for_the_time => (&[(1_000, 2_500)], 3_500);
    fraction_of_a_second_counts => (&[(1_000, 150)], 1_150);
    latest_end_counts => (&[(1_000, 5_000), (1_500, 1_000)], 6_000);
    later_answer_extends_the_time => (&[(1_000, 1_000), (1_500, 5_000)], 6_500);
    answer_without_a_time_does_not_shorten_it => (&[(1_000, 2_000), (1_500, 0)], 3_000);
    enormous_time_is_bounded => (&[(1_000, 1_000_000_000)], 301_000);
}

/// After the time one request at a time is sent, until the server takes one.
#[test]
fn requests_return_one_by_one() {
    let mut dispatcher = support::make_service(&[1]);
    say(&mut dispatcher, 1_000, 1_000);
    assert!(try_slot(&mut dispatcher, 2_000).is_some());
    assert!(try_slot(&mut dispatcher, 2_010).is_none(), "a second request before an answer");
    say(&mut dispatcher, 1_000, 2_020);
    support::release(&mut dispatcher, support::address(1), support::at(2_020));
    assert!(try_slot(&mut dispatcher, 2_500).is_none());
    assert!(try_slot(&mut dispatcher, 3_020).is_some());
    say(&mut dispatcher, 0, 3_100);
    assert!(try_slot(&mut dispatcher, 3_100).is_some());
    assert!(try_slot(&mut dispatcher, 3_100).is_some());
}

/// The other servers of the service get the requests meanwhile, within their slots.
#[test]
fn other_servers_get_the_requests() {
    let mut dispatcher = support::make_service(&[1, 2]);
    say(&mut dispatcher, 2_000, 1_000);
    let mut granted = Vec::new();
    while let Some(server) = try_slot(&mut dispatcher, 1_500) {
        granted.push(server);
    }
    assert!(granted.iter().all(|server| *server == support::address(2)));
    assert!((support::SLOTS as usize..=support::SLOTS as usize + 1).contains(&granted.len()));
}

fn request(deadline_ms: u64) -> queue::SlotRequest {
    queue::SlotRequest {
        team: "team".into(),
        deadline: support::at(deadline_ms),
        bytes: 1,
        excluded: Vec::new(),
        regions: None,
        session: None,
        target_time: None,
    }
}

/// All servers of a service ask for more time than a request has left.
#[test]
fn request_that_no_server_takes_in_time_is_refused_at_once() {
    let mut dispatcher = support::make_service(&[1]);
    say(&mut dispatcher, 3_000, 1_000);
    match dispatcher.request_slot(request(3_000), 1, support::at(1_000)) {
        service::SlotOutcome::Limited { retry_after } => {
            assert!(retry_after >= duration::Duration::from_secs(3));
        }
        other => panic!("{other:?}"),
    }
    let waiting = dispatcher.request_slot(request(9_000), 1, support::at(1_000));
    assert!(matches!(waiting, service::SlotOutcome::Queued { .. }), "{waiting:?}");
    assert_eq!(dispatcher.dispatch_queued(1, support::at(4_000)).granted.len(), 1);
}

/// A request that was queued before leaves the queue as soon as it cannot be taken in time.
#[test]
fn queued_request_that_no_server_takes_in_time_leaves_the_queue() {
    let mut dispatcher = support::make_service(&[1]);
    let ticket = loop {
        match dispatcher.request_slot(request(3_000), 1, support::at(900)) {
            service::SlotOutcome::Granted(_) => {}
            service::SlotOutcome::Queued { ticket, .. } => break ticket,
            other => panic!("{other:?}"),
        }
    };
    say(&mut dispatcher, 3_000, 1_000);
    let batch = dispatcher.dispatch_queued(1, support::at(1_000));
    assert_eq!(batch.limited.iter().map(|limited| limited.ticket).collect::<Vec<_>>(), [ticket]);
}

#[test]
fn slot_that_was_granted_before_is_withdrawn() {
    let mut dispatcher = support::make_service(&[1]);
    let (server, run) = (support::address(1), support::run(1, 1));
    say(&mut dispatcher, 1_000, 1_000);
    assert!(!dispatcher.may_send(server, Some(&run), support::at(1_900)));
    assert!(dispatcher.may_send(server, Some(&run), support::at(2_000)));
}
