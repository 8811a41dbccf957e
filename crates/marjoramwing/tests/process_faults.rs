//! Instances that crash or pause, and backend servers with faulty responses.

use std::slice;

use marjoramwing_standins::attempt;
use marjoramwing_standins::behaviour;
use marjoramwing_standins::fleet;
use marjoramwing_standins::report;
use marjoramwing_standins::traffic;

const BINARY: &str = env!("CARGO_BIN_EXE_marjoramwing");
const TEAMS: [&str; 2] = ["alpha", "beta"];
/// Number of callers of each team.
const CALLERS: usize = 4;

/// Asserts what must hold under any fault: no request is run twice or wrongly reported as
/// `not-run`, and no backend server receives a team key.
fn assert_safe_outcomes(report: &report::LoadReport) {
    assert_eq!(report.doubled, 0, "non-idempotent requests ran twice\n{report}");
    assert_eq!(report.false_not_run, 0, "a request reported as `not-run` had run\n{report}");
    assert_eq!(report.leaked_keys.total(), 0, "a backend server received a team key\n{report}");
}

/// Asserts in addition that every request was served and ran (`lost` counts those that did not).
fn assert_all_served(report: &report::LoadReport) {
    assert_safe_outcomes(report);
    let sent: u64 = report.whole.results.values().sum();
    assert_eq!(report.count(attempt::CallResult::Served), sent, "{report}");
    assert_eq!(report.lost, 0, "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_instance_breaks_only_its_open_requests() {
    let mut fleet = fleet::TestFleet::start(BINARY, 3).await;
    // Kills the instance that lookups list first for the team, which gets the team's requests.
    let firsts = traffic::find_first_instances(&fleet).await;
    let (killed, team) = firsts.into_iter().next().unwrap();
    let traffic = traffic::TestTraffic::start(&fleet, &[team], CALLERS);
    traffic.wait_served(&[team], 100).await;
    fleet.instances[killed].kill();
    traffic.wait_served(&[team], 100).await;
    let report = traffic.finish(&fleet).await;
    assert_safe_outcomes(&report);
    let broken = report.count(attempt::CallResult::Broken);
    assert!(broken <= CALLERS as u64, "more than one broken request per caller\n{report}");
    assert_eq!(report.count(attempt::CallResult::Cut), 0, "{report}");
    assert_eq!(report.count(attempt::CallResult::Unreached), 0, "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_instance_finishes_its_open_requests() {
    let fleet = fleet::TestFleet::start(BINARY, 3).await;
    // Pauses the instance that lookups list first for one team but not for the other.
    let firsts: Vec<_> = traffic::find_first_instances(&fleet).await.into_iter().collect();
    let [(paused, affected), (_, other), ..] = firsts[..] else {
        panic!("all teams have the same first instance");
    };
    let traffic = traffic::TestTraffic::start(&fleet, &[affected, other], CALLERS);
    traffic.wait_served(&[affected, other], 50).await;
    fleet.instances[paused].signal("STOP");
    traffic.wait_served(&[other], 200).await;
    fleet.instances[paused].signal("CONT");
    traffic.wait_served(&[affected, other], 50).await;
    assert_all_served(&traffic.finish(&fleet).await);
}

/// Runs traffic after the most used server of each pool has become faulty.
async fn run_with_fault(fault: behaviour::AnswerFault) -> report::LoadReport {
    let fleet = fleet::TestFleet::start(BINARY, 2).await;
    let traffic = traffic::TestTraffic::start(&fleet, &TEAMS, CALLERS);
    traffic.wait_served(&TEAMS, 20).await;
    let faulty = [&fleet.reads, &fleet.writes].map(|pool| find_most_used(pool));
    for backend in faulty {
        fleet::change_behaviour(slice::from_ref(backend), |behaviour| {
            behaviour.fault = fault;
            // Used by `AnswerFault::Delayed` only.
            behaviour.delay_ms = 60_000;
        });
    }
    let runs = || faulty.map(|backend| backend.server.activity().runs).iter().sum::<u32>();
    let before = runs();
    fleet::wait_until("a faulty server was used", async || runs() > before).await;
    traffic.wait_served(&TEAMS, 200).await;
    traffic.finish(&fleet).await
}

fn find_most_used(pool: &[fleet::ServedBackend]) -> &fleet::ServedBackend {
    pool.iter().max_by_key(|backend| backend.server.activity().runs).expect("a pool has servers")
}

/// A truncated response that reached a caller as a complete one would count as `foreign`.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_response_is_never_forwarded_as_complete() {
    let report = run_with_fault(behaviour::AnswerFault::Cut).await;
    assert_safe_outcomes(&report);
    assert_eq!(report.whole.foreign, 0, "{report}");
}

/// Unlike in the previous test, the response has a `Content-Length`, which its body does not reach.
#[tokio::test(flavor = "multi_thread")]
async fn response_below_its_content_length_is_never_forwarded_as_complete() {
    let report = run_with_fault(behaviour::AnswerFault::Short).await;
    assert_safe_outcomes(&report);
    assert_eq!(report.whole.foreign, 0, "{report}");
}

/// The faulty server responds with the response to its previous request.
#[tokio::test(flavor = "multi_thread")]
async fn crossed_response_reaches_no_caller() {
    let report = run_with_fault(behaviour::AnswerFault::Crossed).await;
    assert_safe_outcomes(&report);
    assert_eq!(report.whole.foreign, 0, "{report}");
    assert_eq!(report.lost, 0, "{report}");
}

/// The faulty server runs requests without responding; their callers still get complete responses.
#[tokio::test(flavor = "multi_thread")]
async fn unresponsive_server_causes_no_truncated_or_lost_response() {
    let report = run_with_fault(behaviour::AnswerFault::Silent).await;
    assert_safe_outcomes(&report);
    assert_eq!(report.count(attempt::CallResult::Cut), 0, "{report}");
    assert_eq!(report.lost, 0, "{report}");
}

/// The faulty server responds after 60 s, when the deadlines of its requests have passed.
#[tokio::test(flavor = "multi_thread")]
async fn late_response_reaches_no_other_request() {
    let report = run_with_fault(behaviour::AnswerFault::Delayed).await;
    assert_safe_outcomes(&report);
    assert_eq!(report.whole.foreign, 0, "{report}");
    assert_eq!(report.lost, 0, "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn shedding_server_fails_no_request() {
    let report = run_with_shedding().await;
    assert_all_served(&report);
}

/// Runs traffic while one server of each pool sheds every request.
async fn run_with_shedding() -> report::LoadReport {
    let fleet = fleet::TestFleet::start(BINARY, 2).await;
    for pool in [&fleet.reads, &fleet.writes] {
        fleet::change_behaviour(&pool[..1], |behaviour| {
            behaviour.fault = behaviour::AnswerFault::Shed;
        });
    }
    let traffic = traffic::TestTraffic::start(&fleet, &TEAMS, CALLERS);
    fleet::wait_until("a request was shed", async || fleet.record.counts().shed > 0).await;
    traffic.wait_served(&TEAMS, 100).await;
    traffic.finish(&fleet).await
}
