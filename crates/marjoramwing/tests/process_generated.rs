//! Instances run as processes under generated configurations.

use std::path;
use std::time as duration;

use marjoramwing_platform_standin::fleet;
use marjoramwing_platform_standin::model::answer;
use marjoramwing_platform_standin::model::generator;
use marjoramwing_platform_standin::operator;
use marjoramwing_platform_standin::server;
use marjoramwing_standins::fleet as standins_fleet;

const BINARY: &str = env!("CARGO_BIN_EXE_marjoramwing");
const INSTANCES: usize = 2;
const SEEDS: std::ops::Range<u64> = 0..12;
const REQUESTS: usize = 12;
/// Time in which a server that has just registered is known.
const DISCOVERY_TIME: duration::Duration = duration::Duration::from_millis(500);

/// Asks an instance and compares status, team and service with those of the model.
async fn is_answered(
    fleet: &fleet::PlatformFleet,
    index: usize,
    resources: &[serde_json::Value],
    services: &[(String, String)],
    request: &answer::ModelRequest,
) -> bool {
    let (outcome, server) = fleet.ask(index, request).await;
    let expected = answer::answer(resources, request);
    match expected {
        answer::ModelAnswer::NoRoute => outcome.status == Some(404) && server.is_none(),
        answer::ModelAnswer::KeyNeeded => outcome.status == Some(401) && server.is_none(),
        answer::ModelAnswer::Forwarded(expected) => {
            let service = services.iter().find(|(id, _)| Some(id) == server.as_ref());
            let is_allowed = |service: &str| {
                let mut shares = expected.shares.iter();
                shares.any(|(name, share)| name == service && *share > 0.0)
            };
            let team = expected.tenant.as_ref().map(|tenant| tenant.name.as_bytes());
            let is_team = match team {
                // Such a name cannot be the value of a header as it is.
                Some(name)
                    if http::HeaderValue::from_bytes(name).is_err()
                        || name.trim_ascii() != name =>
                {
                    outcome.team.is_some_and(|header| header.starts_with(b"UTF-8''"))
                }
                team => outcome.team.as_deref() == team,
            };
            outcome.status == Some(200)
                && service.is_some_and(|(_, service)| is_allowed(service))
                && is_team
        }
    }
}

/// Guards against a configuration that the real program reads in another way than its tables do.
#[tokio::test(flavor = "multi_thread")]
async fn generated_configurations_are_in_force_at_instances() {
    let path = path::Path::new(BINARY);
    let mut fleet = fleet::PlatformFleet::start(path, INSTANCES, 1).await;
    let names = ["bollettino", "Conferme 2", "magazzini/est", "è"].map(str::to_owned);
    let mut services = Vec::new();
    for name in &names {
        let zone = fleet::ZONES[0].0;
        let server = server::RegisteredServer::start(name, zone, &fleet.store, &fleet.record).await;
        services.push((server.id().to_owned(), name.clone()));
        fleet.servers.push(server);
    }
    tokio::time::sleep(DISCOVERY_TIME).await;
    let hosts = vec![operator::HOST.to_owned(), "Other.Example".to_owned()];
    let rules = generator::GeneratorRules { hosts, services: names.to_vec(), has_bounds: false };
    let strategy = (generator::resources(&rules), generator::request_seeds(REQUESTS));
    for seed in SEEDS {
        let (resources, seeds) = generator::generate(&strategy, seed);
        fleet.configure_edited(|current| *current = resources.clone());
        for request_seed in &seeds {
            let request = generator::request(&resources, request_seed);
            for index in 0..INSTANCES {
                let what = format!("seed {seed}: {request:?} is answered");
                standins_fleet::wait_until(&what, async || {
                    is_answered(&fleet, index, &resources, &services, &request).await
                })
                .await;
            }
        }
    }
}
