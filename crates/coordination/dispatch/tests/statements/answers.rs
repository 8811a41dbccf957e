//! What single answers and reports change.

use std::time as duration;

use marjoramwing_dispatch::picker;
use marjoramwing_dispatch::service;
use marjoramwing_dispatch::statement;
use marjoramwing_testing::cases;

use crate::support;

/// Counts the requests that an instance sends to its servers from `from_ms` to `to_ms`.
fn count_sent(dispatcher: &mut service::ServiceDispatcher, from_ms: u64, to_ms: u64) -> usize {
    let mut sent = 0;
    for now in (from_ms..to_ms).step_by(10).map(support::at) {
        let criteria = picker::ServerCriteria::default();
        while let Some(server) = dispatcher.try_acquire_slot(&criteria, 1, now) {
            sent += 1;
            support::release(dispatcher, server, now);
            if sent >= 1_000 {
                return sent;
            }
        }
    }
    sent
}

fn say(
    dispatcher: &mut service::ServiceDispatcher,
    started_ms: u64,
    statement: statement::AnswerStatement,
    now_ms: u64,
) -> Vec<statement::StatementChange> {
    let run = support::run(1, started_ms);
    dispatcher.record_answer(support::address(1), Some(&run), statement, support::at(now_ms))
}

fn check_rate(text: &str, milli: Option<u64>) {
    let rate = statement::RequestRate::try_from(text).ok();
    assert_eq!(rate.map(statement::RequestRate::milli), milli);
}

cases! { check_rate:
    whole_number_is_a_rate => ("6", Some(6_000));
    decimal_number_is_a_rate => (" 4.75 ", Some(4_750));
    zero_is_the_lowest_rate => ("0", Some(100));
    tiny_number_is_the_lowest_rate => ("0.0001", Some(100));
    enormous_number_is_the_highest_rate => ("1e300", Some(1_000_000_000));
    empty_text_is_no_rate => ("", None);
    negative_number_is_no_rate => ("-1", None);
    negative_zero_is_no_rate => ("-0", None);
    infinity_is_no_rate => ("inf", None);
    nan_is_no_rate => ("NaN", None);
    word_is_no_rate => ("many", None);
    list_is_no_rate => ("3, 4", None);
}

#[test]
fn limit_holds_from_the_first_answer_and_ends_with_one_without_it() {
    let mut dispatcher = support::make_service(&[1]);
    assert_eq!(count_sent(&mut dispatcher, 0, 1_000), 1_000);
    say(&mut dispatcher, 1, support::limited(5.0), 1_000);
    assert!((35..=41).contains(&count_sent(&mut dispatcher, 1_000, 9_000)));
    say(&mut dispatcher, 1, support::limited(10.0), 9_000);
    assert!((70..=81).contains(&count_sent(&mut dispatcher, 9_000, 17_000)));
    let ended = say(&mut dispatcher, 1, statement::AnswerStatement::default(), 17_000);
    assert_eq!(ended, [statement::StatementChange::Unlimited]);
    assert_eq!(count_sent(&mut dispatcher, 17_000, 18_000), 1_000);
}

/// Checks whether a limit of 5 a second that was named at 1 s still holds after an event at 1.2 s.
fn check_held(event: fn(&mut service::ServiceDispatcher), holds: bool) {
    let mut dispatcher = support::make_service(&[1]);
    say(&mut dispatcher, 1, support::limited(5.0), 1_000);
    event(&mut dispatcher);
    assert_eq!(count_sent(&mut dispatcher, 1_200, 5_200) < 25, holds);
}

fn report(limit: Option<f64>, started_ms: u64, answered_ms: u64) -> statement::LimitReport {
    let limit = limit.map(|rate| statement::RequestRate::from_milli((rate * 1_000.0) as u64));
    statement::LimitReport {
        run: support::run(1, started_ms),
        limit,
        named_age: duration::Duration::ZERO,
        answer_age: duration::Duration::from_millis(answered_ms),
    }
}

cases! { check_held:
    limit_holds_by_itself => (|_| {}, true);
    answer_that_may_be_older_ends_nothing => (
        |service| { say(service, 1, statement::AnswerStatement::default(), 1_200); }, true);
    unreadable_limit_ends_nothing => (
        |service| {
            let limit = statement::LimitStatement::Unreadable;
            say(service, 1, statement::AnswerStatement { limit, ..Default::default() }, 1_900);
        }, true);
    answer_of_another_run_changes_nothing => (
        |service| { say(service, 2, statement::AnswerStatement::default(), 1_900); }, true);
    older_report_of_the_end_changes_nothing => (
        |service| { service.record_limit_report(&report(None, 1, 900), support::at(1_200)); }, true);
    newer_report_of_the_end_ends_the_limit => (
        |service| { service.record_limit_report(&report(None, 1, 50), support::at(1_200)); }, false);
    report_about_another_run_changes_nothing => (
        |service| { service.record_limit_report(&report(None, 2, 50), support::at(1_200)); }, true);
    new_run_starts_without_a_limit => (
        |service| service.set_servers(&support::make_pool(&[(1, 2)]), support::at(1_200)), false);
    registration_that_is_missing_for_a_time_keeps_the_limit => (
        |service| {
            service.set_servers(&support::make_pool(&[]), support::at(1_100));
            service.set_servers(&support::make_pool(&[(1, 1)]), support::at(1_200));
        }, true);
}

/// Guards against a log line for each answer of a limited server, before other instances are told.
#[test]
fn limit_that_is_named_again_is_no_change() {
    let mut dispatcher = support::make_service(&[1]);
    assert_eq!(say(&mut dispatcher, 1, support::limited(5.0), 1_000).len(), 1);
    assert_eq!(say(&mut dispatcher, 1, support::limited(5.0), 1_010), []);
    assert_eq!(say(&mut dispatcher, 1, support::limited(6.0), 1_020).len(), 1);
}

#[test]
fn limit_that_only_another_instance_has_read_holds() {
    let mut dispatcher = support::make_service(&[1]);
    dispatcher.record_limit_report(&report(Some(5.0), 1, 50), support::at(1_000));
    assert!((16..=21).contains(&count_sent(&mut dispatcher, 1_000, 5_000)));
}

#[test]
fn change_is_reported_once_and_a_limit_that_holds_from_time_to_time() {
    let mut dispatcher = support::make_service(&[1]);
    assert!(dispatcher.take_limit_reports(support::at(500)).is_empty());
    say(&mut dispatcher, 1, support::limited(5.0), 1_000);
    assert_eq!(dispatcher.take_limit_reports(support::at(1_100)).len(), 1);
    say(&mut dispatcher, 1, support::limited(5.0), 1_200);
    assert!(dispatcher.take_limit_reports(support::at(1_600)).is_empty());
    assert_eq!(dispatcher.take_limit_reports(support::at(3_200)).len(), 1);
    say(&mut dispatcher, 1, statement::AnswerStatement::default(), 4_000);
    let ended = dispatcher.take_limit_reports(support::at(4_100));
    assert_eq!(ended.iter().map(|report| report.limit).collect::<Vec<_>>(), [None]);
}
