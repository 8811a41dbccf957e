//! Planned stops of instances and backend servers.
//!
//! A backend server stops in one of two ways: operators mark it as draining in the `pools`
//! table, or the platform lists it as leaving. Both end new requests to it.
//!
//! `wait_served` waits until the given number of further requests of each team was served, so
//! that there is traffic before and after each step.

use marjoramwing_object_api::listing;
use marjoramwing_standins::attempt;
use marjoramwing_standins::fleet;
use marjoramwing_standins::report;
use marjoramwing_standins::traffic;

const BINARY: &str = env!("CARGO_BIN_EXE_marjoramwing");
const TEAMS: [&str; 3] = ["alpha", "beta", "gamma"];
/// Number of callers of each team.
const CALLERS: usize = 3;

/// Asserts that every request was served completely, retries by its caller included, that
/// backend servers ran it (`lost`), and that none ran more often than it may (`doubled`).
fn assert_all_served(report: &report::LoadReport) {
    let sent: u64 = report.whole.results.values().sum();
    assert_eq!(report.count(attempt::CallResult::Served), sent, "{report}");
    assert_eq!((report.lost, report.doubled), (0, 0), "{report}");
}

/// Every response takes at least 300 ms and nine callers send one request after the other, so
/// responses are open at nearly all times. Nothing makes sure that one is open at instance 0 when
/// it gets the signal; the target `cli_serve` tests a stop with requests known to be open.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_finishes_long_responses() {
    let mut fleet = fleet::TestFleet::start(BINARY, 2).await;
    for pool in [&fleet.reads, &fleet.writes] {
        fleet::change_behaviour(pool, |behaviour| behaviour.body_pause_ms = 300);
    }
    let traffic = traffic::TestTraffic::start(&fleet, &TEAMS, CALLERS);
    traffic.wait_served(&TEAMS, 3).await;
    fleet.instances[0].signal("TERM");
    let code = fleet.wait_ended(0).await;
    traffic.wait_served(&TEAMS, 3).await;
    assert_all_served(&traffic.finish(&fleet).await);
    assert_eq!(code, 0, "{}", fleet.instances[0].log());
}

/// Instances restart one after the other; no caller sees a truncated response or a refusal that
/// its retries do not resolve.
#[tokio::test(flavor = "multi_thread")]
async fn every_instance_in_turn_stops_and_starts_without_a_cut() {
    let mut fleet = fleet::TestFleet::start(BINARY, 3).await;
    let traffic = traffic::TestTraffic::start(&fleet, &TEAMS, CALLERS);
    for index in 0..fleet.instances.len() {
        traffic.wait_served(&TEAMS, 20).await;
        fleet.instances[index].signal("TERM");
        fleet.wait_ended(index).await;
        fleet.start_instance(index);
        fleet.wait_ready().await;
        // Continues once the lookup at every instance lists every instance.
        let all: Vec<_> = (0..fleet.instances.len()).collect();
        fleet.wait_lookup(&all, &all).await;
    }
    traffic.wait_served(&TEAMS, 20).await;
    assert_all_served(&traffic.finish(&fleet).await);
}

/// All old instances stop at the same time after their replacements have started; no caller sees a
/// truncated response or a refusal that its retries do not resolve.
#[tokio::test(flavor = "multi_thread")]
async fn whole_fleet_is_replaced_without_a_cut() {
    let mut fleet = fleet::TestFleet::start(BINARY, 2).await;
    let old = fleet.instances.len();
    // Prepared but not started. The callers are given the addresses of all instances for their
    // lookups when they start, so the replacements must be known by then.
    for index in 0..old {
        fleet.add_instance(&format!("replacement-{index}"));
    }
    let traffic = traffic::TestTraffic::start(&fleet, &TEAMS, CALLERS);
    traffic.wait_served(&TEAMS, 20).await;
    // The platform lists the replacements before they start.
    fleet.list_all();
    for index in old..fleet.instances.len() {
        fleet.start_instance(index);
    }
    fleet.wait_ready().await;
    // Continues once the lookup at every instance lists every instance, old or new.
    let all: Vec<_> = (0..fleet.instances.len()).collect();
    fleet.wait_lookup(&all, &all).await;
    for index in 0..old {
        fleet.instances[index].signal("TERM");
    }
    for index in 0..old {
        fleet.wait_ended(index).await;
    }
    traffic.wait_served(&TEAMS, 50).await;
    assert_all_served(&traffic.finish(&fleet).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn drained_server_gets_no_new_work() {
    let fleet = fleet::TestFleet::start(BINARY, 3).await;
    let traffic = traffic::TestTraffic::start(&fleet, &TEAMS, CALLERS);
    traffic.wait_served(&TEAMS, 20).await;
    fleet.put_pools_with_draining(&[fleet.reads[0].port.address, fleet.writes[0].port.address]);
    wait_idle(&fleet, &traffic).await;
    assert_all_served(&traffic.finish(&fleet).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn server_listed_as_leaving_gets_no_new_work() {
    let fleet = fleet::TestFleet::start(BINARY, 3).await;
    let traffic = traffic::TestTraffic::start(&fleet, &TEAMS, CALLERS);
    traffic.wait_served(&TEAMS, 20).await;
    let live = listing::ListedState::Live;
    let instances = fleet.instances.iter().map(|instance| instance.listing_entry(live)).collect();
    let leaving = [&fleet.reads[0], &fleet.writes[0]].map(|backend| listing::ListedServer {
        address: backend.port.address,
        state: listing::ListedState::Leaving,
    });
    fleet.platform.set_listing(listing::InstanceListing { instances, servers: leaving.into() });
    wait_idle(&fleet, &traffic).await;
    assert_all_served(&traffic.finish(&fleet).await);
}

/// Waits until the first server of each pool runs no request while 200 further requests of each
/// team are served.
async fn wait_idle(fleet: &fleet::TestFleet, traffic: &traffic::TestTraffic) {
    const REQUESTS_PER_TEAM: usize = 200;
    let runs = || {
        let firsts = [&fleet.reads[0], &fleet.writes[0]];
        firsts.iter().map(|backend| backend.server.activity().runs).sum::<u32>()
    };
    fleet::wait_until("a leaving server gets no new requests", async || {
        let before = runs();
        traffic.wait_served(&TEAMS, REQUESTS_PER_TEAM).await;
        runs() == before
    })
    .await;
}
