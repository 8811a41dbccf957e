//! Instances run as processes while configurations name teams, routes and services freely.

use std::path;

use marjoramwing_platform_standin::caller;
use marjoramwing_platform_standin::fleet;
use marjoramwing_platform_standin::operator;
use marjoramwing_platform_standin::server;
use marjoramwing_standins::fleet as standins_fleet;

const BINARY: &str = env!("CARGO_BIN_EXE_marjoramwing");
const INSTANCES: usize = 3;
const SERVERS_EACH: usize = 2;
const CALLERS_EACH: usize = 2;
/// Key that the version with the name takes away.
const WITHDRAWN: &str = "leaked-key";

async fn start() -> (fleet::PlatformFleet, caller::CallerGroup) {
    let path = path::Path::new(BINARY);
    let mut fleet = fleet::PlatformFleet::start(path, INSTANCES, SERVERS_EACH).await;
    let callers = caller::CallerGroup::start(&fleet.caller_addresses(), CALLERS_EACH);
    fleet.configure_edited(|resources| resources.push(operator::team("leaky", WITHDRAWN)));
    wait_status(&fleet, operator::READ_PATH, WITHDRAWN, 200).await;
    (fleet, callers)
}

async fn wait_status(fleet: &fleet::PlatformFleet, path: &str, key: &str, status: u16) {
    for index in 0..INSTANCES {
        standins_fleet::wait_until("the configuration is in force", async || {
            fleet.probe(index, path, Some(key)).await.status == Some(status)
        })
        .await;
    }
}

/// Guards against a version that is never in force, so that the key that it withdraws goes on
/// working, since it names a team in a form that our own tables do not allow.
async fn check_team(name: &str) {
    let (mut fleet, callers) = start().await;
    fleet.configure_edited(|resources| resources.push(operator::team(name, "new-key")));
    wait_status(&fleet, operator::READ_PATH, WITHDRAWN, 401).await;
    wait_status(&fleet, operator::READ_PATH, "new-key", 200).await;
    for index in 0..INSTANCES {
        let outcome = fleet.probe(index, operator::READ_PATH, Some("new-key")).await;
        assert_eq!(outcome.team.as_deref(), Some(name.as_bytes()));
    }
    fleet.assert_guarantees(callers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn team_with_a_capital_letter_is_in_force() {
    check_team("Laboratorio").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn team_with_spaces_and_accents_is_in_force() {
    check_team("Università di Catania / est").await;
}

/// Guards against a service that is unknown since its name has another form than our own tables'.
#[tokio::test(flavor = "multi_thread")]
async fn service_and_route_with_any_name_are_in_force() {
    const SERVICE: &str = "Bollettino È 2";
    let (mut fleet, callers) = start().await;
    let zone = fleet::ZONES[0].0;
    let server = server::RegisteredServer::start(SERVICE, zone, &fleet.store, &fleet.record).await;
    fleet.servers.push(server);
    fleet.configure_edited(|resources| {
        resources.push(operator::service(SERVICE));
        resources.push(operator::read_route("Bollettino: oggi", "/oggi/", SERVICE));
    });
    wait_status(&fleet, "/oggi/", &operator::team_key("alpha"), 200).await;
    wait_status(&fleet, operator::READ_PATH, WITHDRAWN, 401).await;
    fleet.assert_guarantees(callers).await;
}
