//! Failures of the platform's store under traffic and edits.

use marjoramwing_standins::attempt;
use marjoramwing_standins::example;
use marjoramwing_standins::fleet;
use marjoramwing_standins::platform;
use marjoramwing_standins::traffic;

const BINARY: &str = env!("CARGO_BIN_EXE_marjoramwing");
const TEAMS: [&str; 2] = ["alpha", "beta"];
/// Number of callers of each team.
const CALLERS: usize = 2;
/// The store refuses every call.
const OUTAGE: platform::PlatformFaults = platform::PlatformFaults {
    outage: true,
    delay_ms: 0,
    lose_answers: false,
    stale_reads: false,
    listing_lag_ms: 0,
};

#[tokio::test(flavor = "multi_thread")]
async fn store_outage_fails_no_request_and_edits_apply_after_it() {
    let fleet = fleet::TestFleet::start(BINARY, 3).await;
    let traffic = traffic::TestTraffic::start(&fleet, &TEAMS, CALLERS);
    traffic.wait_served(&TEAMS, 50).await;
    fleet.platform.set_faults(OUTAGE);
    // The calls of all instances are counted together.
    let refused = async || fleet.platform.counts().total().refused >= 30;
    fleet::wait_until("the store has refused 30 calls", refused).await;
    // The operator's edit is stored during the outage, but no instance can read it yet.
    fleet.put_table("routes", &example::routes(&["further"]));
    traffic.wait_served(&TEAMS, 200).await;
    assert_eq!(fleet.status(fleet.instances[0].callers, "/further", "alpha").await, Some(404));
    fleet.platform.set_faults(platform::PlatformFaults::default());
    fleet.wait_status("/further", "alpha", 200).await;
    let report = traffic.finish(&fleet).await;
    let sent: u64 = report.whole.results.values().sum();
    assert_eq!(report.count(attempt::CallResult::Served), sent, "{report}");
    assert_eq!((report.lost, report.doubled), (0, 0), "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_table_never_reverts_on_stale_reads() {
    let fleet = fleet::TestFleet::start(BINARY, 2).await;
    fleet.put_table("routes", &example::routes(&["further"]));
    fleet.wait_status("/further", "alpha", 200).await;
    let stale = platform::PlatformFaults { stale_reads: true, ..Default::default() };
    fleet.platform.set_faults(stale);
    // Reads now return the version before the current one. A change to another table makes the
    // instances read again; the reads of all of them are counted together.
    let reads_before = fleet.platform.counts().total().reads;
    fleet.put_table("teams", &example::teams());
    let read = async || fleet.platform.counts().total().reads > reads_before + 4;
    fleet::wait_until("instances read stale tables", read).await;
    for instance in &fleet.instances {
        let status = fleet.status(instance.callers, "/further", "alpha").await;
        assert_eq!(status, Some(200), "{} reverted to an earlier table", instance.name);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_object_leaves_the_accepted_tables_applied() {
    let fleet = fleet::TestFleet::start(BINARY, 2).await;
    // A malformed table and a valid one; the reads of all instances are counted together.
    fleet.put_table("routes", &serde_json::json!({"routes": [{"name": "no path"}]}));
    fleet.put_table("teams", &example::teams());
    let reads_before = fleet.platform.counts().total().reads;
    let read = async || fleet.platform.counts().total().reads > reads_before + 4;
    fleet::wait_until("instances read the bad table", read).await;
    for instance in &fleet.instances {
        assert_eq!(fleet.status(instance.callers, "/reads", "alpha").await, Some(200));
    }
    fleet.put_table("routes", &example::routes(&["further"]));
    fleet.wait_status("/further", "alpha", 200).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn instance_restarts_while_the_store_is_down() {
    let mut fleet = fleet::TestFleet::start(BINARY, 3).await;
    let traffic = traffic::TestTraffic::start(&fleet, &TEAMS, CALLERS);
    traffic.wait_served(&TEAMS, 20).await;
    fleet.platform.set_faults(OUTAGE);
    fleet.instances[0].kill();
    fleet.start_instance(0);
    fleet.wait_ready().await;
    let status = fleet.status(fleet.instances[0].callers, "/reads", "alpha").await;
    assert_eq!(status, Some(200), "the restarted instance has no tables");
    traffic.wait_served(&TEAMS, 50).await;
    // The killed instance may lose requests, but none may run more often than it may, or run
    // although it was reported as `not-run`.
    let report = traffic.finish(&fleet).await;
    assert_eq!((report.doubled, report.false_not_run), (0, 0), "{report}");
}
