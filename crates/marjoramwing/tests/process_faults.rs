//! Instances that die or pause, and backend servers whose answers go wrong.

use std::slice;

use marjoramwing_standins::attempt;
use marjoramwing_standins::behaviour;
use marjoramwing_standins::fleet;
use marjoramwing_standins::report;
use marjoramwing_standins::traffic;

const BINARY: &str = env!("CARGO_BIN_EXE_marjoramwing");
const TEAMS: [&str; 2] = ["alpha", "beta"];
const CALLERS: usize = 4;

/// Asserts what must hold whatever fails: no lie, no second run, no foreign answer.
fn assert_true_outcomes(report: &report::LoadReport) {
    assert_eq!(report.doubled, 0, "non-idempotent requests ran twice\n{report}");
    assert_eq!(report.false_not_run, 0, "`not-run` was untrue\n{report}");
    assert_eq!(report.leaked_keys.total(), 0, "a backend server saw a key\n{report}");
}

/// Asserts that besides every request was served.
fn assert_all_served(report: &report::LoadReport) {
    assert_true_outcomes(report);
    let sent: u64 = report.whole.results.values().sum();
    assert_eq!(report.count(attempt::CallResult::Served), sent, "{report}");
    assert_eq!(report.lost, 0, "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_instance_breaks_only_what_it_held() {
    let mut fleet = fleet::TestFleet::start(BINARY, 3).await;
    let firsts = traffic::find_first_instances(&fleet).await;
    let (victim, team) = firsts.into_iter().next().unwrap();
    let traffic = traffic::TestTraffic::start(&fleet, &[team], CALLERS);
    traffic.wait_served(&[team], 100).await;
    fleet.instances[victim].kill();
    traffic.wait_served(&[team], 100).await;
    let report = traffic.finish(&fleet).await;
    assert_true_outcomes(&report);
    let broken = report.count(attempt::CallResult::Broken);
    assert!(broken <= CALLERS as u64, "more broken than one for each caller\n{report}");
    assert_eq!(report.count(attempt::CallResult::Cut), 0, "{report}");
    assert_eq!(report.count(attempt::CallResult::Unreached), 0, "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_instance_finishes_what_it_held() {
    let fleet = fleet::TestFleet::start(BINARY, 3).await;
    let firsts: Vec<_> = traffic::find_first_instances(&fleet).await.into_iter().collect();
    let [(frozen, held_up), (_, other), ..] = firsts[..] else {
        panic!("two teams have different first instances");
    };
    let traffic = traffic::TestTraffic::start(&fleet, &[held_up, other], CALLERS);
    traffic.wait_served(&[held_up, other], 50).await;
    fleet.instances[frozen].signal("STOP");
    traffic.wait_served(&[other], 200).await;
    fleet.instances[frozen].signal("CONT");
    traffic.wait_served(&[held_up, other], 50).await;
    assert_all_served(&traffic.finish(&fleet).await);
}

/// Runs traffic past the most used server of each pool, now faulty, and reports on it.
async fn run_past_fault(fault: behaviour::AnswerFault) -> report::LoadReport {
    let fleet = fleet::TestFleet::start(BINARY, 2).await;
    let traffic = traffic::TestTraffic::start(&fleet, &TEAMS, CALLERS);
    traffic.wait_served(&TEAMS, 20).await;
    let faulty = [&fleet.reads, &fleet.writes].map(|pool| find_most_used(pool));
    for served in faulty {
        fleet::change_behaviour(slice::from_ref(served), |behaviour| {
            behaviour.fault = fault;
            behaviour.delay_ms = 60_000;
        });
    }
    let runs = || faulty.map(|served| served.server.activity().runs).iter().sum::<u32>();
    let before = runs();
    fleet::wait_until("a faulty server was used", async || runs() > before).await;
    traffic.wait_served(&TEAMS, 200).await;
    traffic.finish(&fleet).await
}

fn find_most_used(pool: &[fleet::ServedBackend]) -> &fleet::ServedBackend {
    pool.iter().max_by_key(|served| served.server.activity().runs).expect("a pool has servers")
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_answer_is_never_passed_on_as_whole() {
    let report = run_past_fault(behaviour::AnswerFault::Cut).await;
    assert_true_outcomes(&report);
    assert_eq!(report.whole.foreign, 0, "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn short_answer_is_never_passed_on_as_whole() {
    let report = run_past_fault(behaviour::AnswerFault::Short).await;
    assert_true_outcomes(&report);
    assert_eq!(report.whole.foreign, 0, "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn crossed_answer_reaches_no_caller() {
    let report = run_past_fault(behaviour::AnswerFault::Crossed).await;
    assert_true_outcomes(&report);
    assert_eq!(report.whole.foreign, 0, "{report}");
    assert_eq!(report.lost, 0, "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_server_leaves_an_unknown_outcome() {
    let report = run_past_fault(behaviour::AnswerFault::Silent).await;
    assert_true_outcomes(&report);
    assert_eq!(report.count(attempt::CallResult::Cut), 0, "{report}");
    assert_eq!(report.lost, 0, "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn late_answer_reaches_no_other_request() {
    let report = run_past_fault(behaviour::AnswerFault::Delayed).await;
    assert_true_outcomes(&report);
    assert_eq!(report.whole.foreign, 0, "{report}");
    assert_eq!(report.lost, 0, "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn shedding_server_costs_no_request() {
    let report = run_past_shedding().await;
    assert_all_served(&report);
}

/// Runs traffic while one server of each pool sheds everything.
async fn run_past_shedding() -> report::LoadReport {
    let fleet = fleet::TestFleet::start(BINARY, 2).await;
    for pool in [&fleet.reads, &fleet.writes] {
        fleet::change_behaviour(&pool[..1], |behaviour| {
            behaviour.fault = behaviour::AnswerFault::Shed;
        });
    }
    let traffic = traffic::TestTraffic::start(&fleet, &TEAMS, CALLERS);
    fleet::wait_until("something was shed", async || fleet.record.counts().shed > 0).await;
    traffic.wait_served(&TEAMS, 100).await;
    traffic.finish(&fleet).await
}
