//! Instances run as processes while the configuration goes without teams and gets them back.

use std::path;

use marjoramwing_platform_standin::fleet;
use marjoramwing_platform_standin::operator;
use marjoramwing_platform_standin::proxy;
use marjoramwing_platform_standin::store;
use marjoramwing_standins::fleet as standins_fleet;

const BINARY: &str = env!("CARGO_BIN_EXE_marjoramwing");
const INSTANCES: usize = 3;
const SERVERS_EACH: usize = 2;

async fn start() -> fleet::PlatformFleet {
    fleet::PlatformFleet::start(path::Path::new(BINARY), INSTANCES, SERVERS_EACH).await
}

fn remove_teams(resources: &mut Vec<serde_json::Value>) {
    resources.retain(|resource| !operator::is_team(resource));
}

fn key() -> String {
    operator::team_key(operator::TEAMS[0])
}

/// Waits until an instance treats requests without and with a key as a configuration with teams
/// demands, or as one without teams does.
async fn wait_access(fleet: &fleet::PlatformFleet, index: usize, has_teams: bool) {
    let keyless = if has_teams { Some(401) } else { Some(200) };
    standins_fleet::wait_until("the access is in force", async || {
        fleet.probe(index, operator::READ_PATH, None).await.status == keyless
    })
    .await;
    let team = has_teams.then(|| operator::TEAMS[0].as_bytes().to_vec());
    let expected = fleet::ProbeOutcome { status: Some(200), team };
    standins_fleet::wait_until("a request with a key is served", async || {
        fleet.probe(index, operator::READ_PATH, Some(&key())).await == expected
    })
    .await;
    let unknown = fleet.probe(index, operator::READ_PATH, Some("unknown-key")).await;
    assert_eq!(unknown.status, keyless);
}

async fn wait_access_everywhere(fleet: &fleet::PlatformFleet, has_teams: bool) {
    for index in 0..INSTANCES {
        wait_access(fleet, index, has_teams).await;
    }
}

/// Guards against requests that are refused for want of a key under a configuration without teams,
/// which needs none, and against those that go without one once there are teams.
#[tokio::test(flavor = "multi_thread")]
async fn key_is_needed_while_there_are_teams() {
    let mut fleet = start().await;
    wait_access_everywhere(&fleet, true).await;
    fleet.configure_edited(remove_teams);
    wait_access_everywhere(&fleet, false).await;
    fleet.configure(&[]);
    wait_access_everywhere(&fleet, true).await;
    assert_eq!(fleet.record.check(&[]), [] as [String; 0]);
}

/// Guards against an instance that starts from its peers' tables and demands keys that nobody has,
/// or none from anybody. Without the store it knows no backend server.
async fn check_restart(has_teams: bool) {
    let mut fleet = start().await;
    // A version that arrives from a peer shows that the peers know the instance, which they must
    // for it to find them without the store.
    fleet.instances[0].store_link.set_fault(proxy::LinkFault::Silent);
    fleet.configure_edited(remove_teams);
    wait_access_everywhere(&fleet, false).await;
    if has_teams {
        fleet.configure(&[]);
        wait_access_everywhere(&fleet, true).await;
    }
    fleet.instances[0].store_link.set_fault(proxy::LinkFault::None);
    fleet.silence_store();
    fleet.instances[0].process.kill();
    fleet.start_instance(0);
    standins_fleet::wait_until("the tables are in force", async || {
        fleet.probe(0, "/nowhere/", None).await.status == Some(404)
    })
    .await;
    let status = fleet.probe(0, operator::READ_PATH, None).await.status;
    assert_eq!(status, Some(if has_teams { 401 } else { 503 }));
    fleet.store.set_fault(store::StoreFault::None);
    wait_access_everywhere(&fleet, has_teams).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn restart_without_teams_and_store_needs_no_key() {
    check_restart(false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn restart_with_teams_and_without_store_needs_a_key() {
    check_restart(true).await;
}

/// Guards against instances that never knew a team and wait for one.
#[tokio::test(flavor = "multi_thread")]
async fn fleet_that_starts_without_teams_needs_no_key() {
    let mut fleet = start().await;
    fleet.configure_edited(remove_teams);
    wait_access_everywhere(&fleet, false).await;
    for index in 0..INSTANCES {
        fleet.instances[index].process.kill();
        fleet.start_instance(index);
    }
    fleet.wait_ready().await;
    wait_access_everywhere(&fleet, false).await;
    fleet.configure(&[]);
    wait_access_everywhere(&fleet, true).await;
}
