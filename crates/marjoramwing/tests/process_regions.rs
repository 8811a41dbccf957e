//! The steering table drains a region while callers use lookups.

use marjoramwing_standins::attempt;
use marjoramwing_standins::example;
use marjoramwing_standins::fleet;
use marjoramwing_standins::lookup;
use marjoramwing_standins::traffic;

const BINARY: &str = env!("CARGO_BIN_EXE_marjoramwing");
const HOME: &str = "east";
const OTHER: &str = "west";
const TEAMS: [&str; 2] = ["alpha", "beta"];
/// Number of callers of each team.
const CALLERS: usize = 2;

/// Waits until every instance lists this instance first in its lookup responses.
async fn wait_first(fleet: &fleet::TestFleet, first: usize) {
    for instance in &fleet.instances {
        fleet::wait_until("lookups list the instance first", async || {
            let cache = lookup::LookupCache::new(fleet.http.clone(), vec![instance.callers]);
            let found = cache.find(&traffic::team_load(TEAMS[0]), 0).await;
            found.first() == Some(&fleet.instances[first].callers)
        })
        .await;
    }
}

/// The home region is drained and restored. Every request is served, backend servers ran it
/// (`lost`), and none ran more often than it may (`doubled`).
#[tokio::test(flavor = "multi_thread")]
async fn drained_region_sends_its_callers_to_another() {
    let fleet = fleet::TestFleet::start_two_regions(BINARY, HOME, OTHER).await;
    // Instance 0 is in the home region, instance 1 in the other.
    wait_first(&fleet, 0).await;
    let traffic = traffic::TestTraffic::start(&fleet, &TEAMS, CALLERS);
    traffic.wait_served(&TEAMS, 50).await;
    fleet.put_table("steering", &example::steering_with_shift(HOME, OTHER, true));
    wait_first(&fleet, 1).await;
    traffic.wait_served(&TEAMS, 50).await;
    fleet.put_table("steering", &example::steering_with_shift(HOME, OTHER, false));
    wait_first(&fleet, 0).await;
    traffic.wait_served(&TEAMS, 50).await;
    let report = traffic.finish(&fleet).await;
    let sent: u64 = report.whole.results.values().sum();
    assert_eq!(report.count(attempt::CallResult::Served), sent, "{report}");
    assert_eq!((report.lost, report.doubled), (0, 0), "{report}");
}
