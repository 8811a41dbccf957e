//! Requests that end the servers that run them, under virtual time.

#[path = "quarantine/fleet.rs"]
mod fleet;

use std::time as duration;

use marjoramwing_dispatch::fingerprint;
use marjoramwing_dispatch::quarantine;
use marjoramwing_dispatch::suspect;
use marjoramwing_entity::time;
use marjoramwing_testing::cases;

use quarantine::CopyRole;
use quarantine::QuarantineVerdict;

fn at(millis: u64) -> time::Timestamp {
    time::Timestamp::from_millis(millis)
}

fn content(number: u64) -> fingerprint::ContentFingerprint {
    fingerprint::ContentFingerprint::from_halves(number, number)
}

fn sender() -> suspect::SenderId {
    suspect::SenderId::of("team")
}

fn crash(number: u64) -> suspect::CrashId {
    suspect::CrashId::new(&format!("server-{number}"), 1)
}

fn make_quarantine() -> quarantine::RequestQuarantine {
    quarantine::RequestQuarantine::new("edge-1")
}

/// Returns a quarantine in which the servers with these numbers ended under request 1 at 10 s.
fn after_crashes(numbers: std::ops::Range<u64>) -> quarantine::RequestQuarantine {
    let mut known = make_quarantine();
    for number in numbers {
        known.record_crash(content(1), sender(), crash(number), at(10_000));
    }
    known
}

#[test]
fn unknown_request_runs() {
    let mut known = make_quarantine();
    let verdict = known.begin_attempt(content(1), sender(), CopyRole::Other, at(0));
    assert_eq!(verdict, QuarantineVerdict::Run);
    assert!(known.is_empty());
}

/// Guards against several copies that each end a server before the first end is known everywhere.
#[test]
fn copies_of_a_suspect_run_one_at_a_time() {
    let mut known = after_crashes(0..1);
    let verdict = known.begin_attempt(content(1), sender(), CopyRole::Witness, at(10_100));
    assert_eq!(verdict, QuarantineVerdict::Wait(at(10_150)));
    let verdict = known.begin_attempt(content(1), sender(), CopyRole::Witness, at(10_150));
    assert_eq!(verdict, QuarantineVerdict::Trial);
    for role in [CopyRole::Witness, CopyRole::Other] {
        let verdict = known.begin_attempt(content(1), sender(), role, at(12_000));
        assert_eq!(verdict, QuarantineVerdict::Wait(at(14_150)));
    }
    assert_eq!(
        known.begin_attempt(content(2), sender(), CopyRole::Other, at(12_000)),
        QuarantineVerdict::Run
    );
}

fn check_hold(crashes: u64, held_ms: u64, tried_ms: u64) {
    let mut known = after_crashes(0..crashes);
    let verdict =
        known.begin_attempt(content(1), sender(), CopyRole::Witness, at(10_000 + held_ms));
    assert!(matches!(verdict, QuarantineVerdict::Held(_)), "{verdict:?}");
    let verdict = known.begin_attempt(content(1), sender(), CopyRole::Other, at(10_000 + tried_ms));
    assert_eq!(verdict, QuarantineVerdict::Trial);
}

const HOUR_MS: u64 = 3_600_000;

cases! { check_hold:
    request_is_tried_again_seconds_after_its_second_crash => (2, 4_999, 10_000);
    request_is_held_for_hours_after_its_third_crash => (3, 8 * HOUR_MS - 1, 8 * HOUR_MS);
    each_further_crash_doubles_the_time => (4, 16 * HOUR_MS - 1, 16 * HOUR_MS);
}

#[test]
fn one_server_that_ended_counts_once() {
    let mut known = after_crashes(0..1);
    assert_eq!(known.record_crash(content(1), sender(), crash(0), at(10_010)), None);
    assert_eq!(known.count_crashes(content(1)), 1);
}

/// Guards against popular requests that are held since they run at any server that ends.
#[test]
fn answer_clears_a_request() {
    let mut known = after_crashes(0..2);
    assert_eq!(known.record_answer(content(1)), Some(quarantine::QuarantineChange::Released));
    let verdict = known.begin_attempt(content(1), sender(), CopyRole::Other, at(10_010));
    assert_eq!(verdict, QuarantineVerdict::Run);
    // The same crashes, reported by an instance that does not know of the answer, change nothing.
    let outdated = after_crashes(0..2).all_reports(at(10_020));
    known.record_report(&outdated[0], at(10_030));
    assert_eq!(known.count_crashes(content(1)), 0);
}

/// Guards against requests that are held because they ran beside the one that ended the servers.
#[test]
fn crashes_that_another_request_explains_do_not_count() {
    let mut known = after_crashes(0..2);
    known.record_crash(content(2), sender(), crash(0), at(10_000));
    known.record_crash(content(2), sender(), crash(1), at(10_000));
    assert_eq!(known.count_crashes(content(2)), 2);
    known.record_crash(content(1), sender(), crash(2), at(16_000));
    assert_eq!(known.count_crashes(content(2)), 0);
    assert_eq!(known.count_crashes(content(1)), 3);
    let verdict = known.begin_attempt(content(2), sender(), CopyRole::Other, at(16_010));
    assert_eq!(verdict, QuarantineVerdict::Run);
}

#[test]
fn reports_in_any_order_lead_to_the_same_state() {
    let reports: Vec<_> = (0..4)
        .map(|number| {
            let mut known = after_crashes(number..number + 2);
            if number == 3 {
                known.record_answer(content(1));
            }
            known.all_reports(at(10_000)).remove(0)
        })
        .collect();
    let merge = |order: &[usize]| {
        let mut known = make_quarantine();
        for index in order {
            known.record_report(&reports[*index], at(10_000));
        }
        known.count_crashes(content(1))
    };
    assert_eq!(merge(&[0, 1, 2, 3]), 3);
    assert_eq!(merge(&[3, 2, 1, 0, 0, 3]), 3);
    assert_eq!(merge(&[2, 0, 3, 1]), 3);
}

#[test]
fn suspects_are_bounded_and_the_gravest_stay() {
    let mut known = after_crashes(0..3);
    for number in 2..5_000 {
        known.record_crash(content(number), sender(), crash(number), at(20_000));
    }
    assert_eq!(known.count_crashes(content(1)), 3);
    assert!(known.all_reports(at(20_000)).len() <= 1_024);
}

#[test]
fn held_request_outlives_the_processes() {
    let kept = after_crashes(0..3).lasting_reports(at(11_000));
    let mut restarted = make_quarantine();
    restarted.record_report(&kept[0], at(500));
    let verdict = restarted.begin_attempt(content(1), sender(), CopyRole::Other, at(60_000));
    assert!(matches!(verdict, QuarantineVerdict::Held(_)), "{verdict:?}");
}

#[test]
fn suspects_are_forgotten_in_the_end() {
    let mut known = after_crashes(0..1);
    known.expire(at(10_000) + duration::Duration::from_secs(1_199));
    assert!(!known.is_empty());
    known.expire(at(10_000) + duration::Duration::from_secs(1_200));
    assert!(known.is_empty());
}

/// Guards against a team that sends ever new requests which each end servers: what is new from it waits
/// longer after each one, and other teams are served.
#[test]
fn team_with_many_deadly_requests_is_paused() {
    let mut known = make_quarantine();
    let mut now_ms = 10_000;
    let mut ended = 0;
    for number in 0..30 {
        let verdict = known.begin_attempt(content(number), sender(), CopyRole::Other, at(now_ms));
        if verdict == QuarantineVerdict::Run {
            for server in 0..2 {
                let crash = crash(number * 10 + server);
                known.record_crash(content(number), sender(), crash, at(now_ms));
                ended += 1;
            }
        }
        now_ms += 1_000;
    }
    assert!(ended <= 16, "{ended} servers ended in 30 s");
    let other = suspect::SenderId::of("another");
    for sender in [other, suspect::SenderId::of("")] {
        let verdict = known.begin_attempt(content(1_000), sender, CopyRole::Other, at(now_ms));
        assert_eq!(verdict, QuarantineVerdict::Run);
    }
}

#[test]
fn team_with_two_held_requests_is_not_paused() {
    let mut known = make_quarantine();
    for number in 0..4 {
        known.record_crash(content(number / 2), sender(), crash(number), at(10_000));
    }
    let verdict = known.begin_attempt(content(9), sender(), CopyRole::Other, at(10_010));
    assert_eq!(verdict, QuarantineVerdict::Run);
}

/// Guards against every request being looked up for long after one server has ended.
#[test]
fn cleared_suspects_are_forgotten_soon() {
    let mut known = after_crashes(0..1);
    known.record_answer(content(1));
    known.expire(at(10_000) + duration::Duration::from_secs(59));
    assert!(!known.is_empty());
    known.expire(at(10_000) + duration::Duration::from_secs(60));
    assert!(known.is_empty());
}
