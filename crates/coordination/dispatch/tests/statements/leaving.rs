//! Servers that say that they leave.
//!
//! Guards against requests to a server after it has said so, whatever the store says of it.

use marjoramwing_dispatch::picker;
use marjoramwing_dispatch::queue;
use marjoramwing_dispatch::service;
use marjoramwing_dispatch::statement;
use marjoramwing_entity::time;
use marjoramwing_testing::cases;

use crate::support;

const LEAVING: statement::AnswerStatement = statement::AnswerStatement {
    is_leaving: true,
    limit: statement::LimitStatement::Absent,
    pause: None,
};

/// Lets the first server, of run 1, say at 1 s that it leaves.
fn make_leaving(servers: &[u16]) -> service::ServiceDispatcher {
    let mut dispatcher = support::make_service(servers);
    let run = support::run(1, 1);
    let changes =
        dispatcher.record_answer(support::address(1), Some(&run), LEAVING, support::at(1_000));
    assert_eq!(changes, [statement::StatementChange::Leaving]);
    dispatcher
}

fn gets_requests(dispatcher: &mut service::ServiceDispatcher, now: time::Timestamp) -> bool {
    let criteria = picker::ServerCriteria { deadline: None, ..Default::default() };
    let mut granted = Vec::new();
    while let Some(server) = dispatcher.try_acquire_slot(&criteria, 1, now) {
        granted.push(server);
    }
    granted.iter().for_each(|server| support::release(dispatcher, *server, now));
    granted.contains(&support::address(1))
}

/// Checks whether the server gets requests after an event that follows its answer.
fn check_left(event: fn(&mut service::ServiceDispatcher), gets_more: bool) {
    let mut dispatcher = make_leaving(&[1, 2]);
    event(&mut dispatcher);
    assert_eq!(gets_requests(&mut dispatcher, support::at(4_000)), gets_more);
    assert_eq!(gets_requests(&mut dispatcher, support::at(90_000)), gets_more);
}

fn set_servers(dispatcher: &mut service::ServiceDispatcher, servers: &[(u16, u64)], now_ms: u64) {
    dispatcher.set_servers(&support::make_pool(servers), support::at(now_ms));
}

fn say(service: &mut service::ServiceDispatcher, started_ms: u64) {
    let run = support::run(1, started_ms);
    let statement = statement::AnswerStatement::default();
    service.record_answer(support::address(1), Some(&run), statement, support::at(1_200));
}

cases! { check_left:
    leaving_server_gets_nothing_more => (|_| {}, false);
    entry_that_still_says_ready_changes_nothing =>
        (|service| set_servers(service, &[(1, 1), (2, 1)], 2_000), false);
    entry_that_is_missing_for_a_time_changes_nothing => (
        |service| {
            set_servers(service, &[(2, 1)], 2_000);
            set_servers(service, &[(1, 1), (2, 1)], 3_000);
        }, false);
    answer_behind_a_newer_one_changes_nothing => (|service| say(service, 1), false);
    new_run_under_the_same_identifier_starts_clean =>
        (|service| set_servers(service, &[(1, 2), (2, 1)], 2_000), true);
}

/// An answer of the run that had the address before says nothing about the new one.
#[test]
fn answer_of_an_earlier_run_changes_nothing() {
    let mut dispatcher = support::make_service(&[1]);
    set_servers(&mut dispatcher, &[(1, 2)], 500);
    let run = support::run(1, 1);
    let changes =
        dispatcher.record_answer(support::address(1), Some(&run), LEAVING, support::at(1_000));
    assert_eq!(changes, []);
    assert!(gets_requests(&mut dispatcher, support::at(1_000)));
}

/// A slot that was granted before is not used if its connection opens late.
#[test]
fn granted_slot_is_withdrawn() {
    let mut dispatcher = support::make_service(&[1, 2]);
    let (server, run, now) = (support::address(1), support::run(1, 1), support::at(1_000));
    assert!(dispatcher.may_send(server, Some(&run), now));
    dispatcher.record_answer(server, Some(&run), LEAVING, now);
    assert!(!dispatcher.may_send(server, Some(&run), now));
    assert!(dispatcher.may_send(support::address(2), Some(&support::run(2, 1)), now));
    assert!(!dispatcher.may_send(support::address(2), Some(&support::run(2, 7)), now));
}

/// A service all of whose servers leave refuses at once, also what is queued.
#[test]
fn service_without_another_server_refuses_at_once() {
    let mut dispatcher = support::make_service(&[1]);
    let request = || queue::SlotRequest {
        team: "team".into(),
        deadline: support::at(10_000),
        bytes: 1,
        excluded: Vec::new(),
        regions: None,
        session: None,
        target_time: None,
    };
    let mut queued = None;
    while queued.is_none() {
        match dispatcher.request_slot(request(), 1, support::at(900)) {
            service::SlotOutcome::Granted(_) => {}
            service::SlotOutcome::Queued { ticket, .. } => queued = Some(ticket),
            other => panic!("{other:?}"),
        }
    }
    let run = support::run(1, 1);
    dispatcher.record_answer(support::address(1), Some(&run), LEAVING, support::at(1_000));
    assert_eq!(dispatcher.remove_unservable(), Vec::from_iter(queued));
    let outcome = dispatcher.request_slot(request(), 1, support::at(1_000));
    assert_eq!(outcome, service::SlotOutcome::NoServer);
}
