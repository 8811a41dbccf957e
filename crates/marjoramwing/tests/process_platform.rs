//! Instances run as processes against the simulated platform, in the platform dialect.

use std::path;
use std::time as duration;

use marjoramwing_platform_standin::caller;
use marjoramwing_platform_standin::fleet;
use marjoramwing_platform_standin::operator;
use marjoramwing_platform_standin::proxy;
use marjoramwing_platform_standin::record;
use marjoramwing_platform_standin::server;
use marjoramwing_platform_standin::store;
use marjoramwing_standins::fleet as standins_fleet;

const BINARY: &str = env!("CARGO_BIN_EXE_marjoramwing");
const INSTANCES: usize = 3;
const SERVERS_EACH: usize = 3;
const CALLERS_EACH: usize = 2;

async fn start() -> (fleet::PlatformFleet, caller::CallerGroup) {
    let path = path::Path::new(BINARY);
    let fleet = fleet::PlatformFleet::start(path, INSTANCES, SERVERS_EACH).await;
    let callers = caller::CallerGroup::start(&fleet.caller_addresses(), CALLERS_EACH);
    wait_served(&callers, 100).await;
    (fleet, callers)
}

/// Waits until `count` further attempts of all callers together have been served.
async fn wait_served(callers: &caller::CallerGroup, count: usize) {
    let served = || {
        let attempts = callers.attempts();
        attempts.iter().filter(|attempt| attempt.outcome == record::AttemptOutcome::Served).count()
    };
    let before = served();
    standins_fleet::wait_until("requests are served", async || served() >= before + count).await;
}

/// Asserts that no guarantee was violated, and returns the number of attempts not served.
async fn finish(fleet: &fleet::PlatformFleet, callers: caller::CallerGroup) -> usize {
    let attempts = callers.finish().await;
    let mut violations = fleet.record.check(&attempts);
    violations.extend(fleet.record.check_unsent(&attempts));
    assert_eq!(violations, [] as [String; 0]);
    attempts.iter().filter(|attempt| attempt.outcome != record::AttemptOutcome::Served).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn healthy_fleet_serves_every_request() {
    let (fleet, callers) = start().await;
    wait_served(&callers, 300).await;
    assert_eq!(finish(&fleet, callers).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn changed_configuration_is_applied_at_all_instances() {
    let (mut fleet, callers) = start().await;
    fleet.configure(&["further"]);
    let path = operator::extra_path("further");
    // The route is added, then removed.
    for (extra, status) in [(vec!["further"], 200), (vec![], 404)] {
        fleet.configure(&extra);
        for index in 0..INSTANCES {
            standins_fleet::wait_until("the configuration is applied", async || {
                fleet.status(index, &path).await == Some(status)
            })
            .await;
        }
    }
    assert_eq!(finish(&fleet, callers).await, 0);
}

/// If a single instance cannot reach the store, it receives changes from the others.
#[tokio::test(flavor = "multi_thread")]
async fn instance_without_store_access_applies_configuration_changes() {
    let (mut fleet, callers) = start().await;
    fleet.instances[0].store_link.set_fault(proxy::LinkFault::Silent);
    fleet.configure(&["further"]);
    let path = operator::extra_path("further");
    standins_fleet::wait_until("the configuration is applied", async || {
        fleet.status(0, &path).await == Some(200)
    })
    .await;
    assert_eq!(finish(&fleet, callers).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_server_gets_no_requests_from_any_instance() {
    let (mut fleet, callers) = start().await;
    fleet.servers[0].drain();
    let server = fleet.servers[0].id().to_owned();
    let idle_time = duration::Duration::from_secs(2);
    standins_fleet::wait_until("the draining server gets no requests", async || {
        fleet.record.last_run(&server).is_none_or(|last| last.elapsed() >= idle_time)
    })
    .await;
    wait_served(&callers, 100).await;
    assert_eq!(finish(&fleet, callers).await, 0);
}

/// Attempts may be refused or find no instance, but none may end without a complete response.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_leaves_no_response_incomplete() {
    let (mut fleet, callers) = start().await;
    fleet.instances[0].process.signal("TERM");
    assert_eq!(fleet.wait_ended(0).await, 0, "{}", fleet.instances[0].process.log());
    wait_served(&callers, 100).await;
    let attempts = callers.finish().await;
    let incomplete =
        attempts.iter().filter(|attempt| attempt.outcome == record::AttemptOutcome::Incomplete);
    assert_eq!(incomplete.count(), 0);
    assert_eq!(fleet.record.check(&attempts), [] as [String; 0]);
}

/// A malformed server object and a malformed configuration are ignored.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_objects_are_ignored() {
    let (fleet, callers) = start().await;
    let malformed = serde_json::json!({"address": 7, "info": "none"});
    fleet.store.put("servers", "i-garbage", malformed.clone(), serde_json::Value::Null);
    let (kind, name) = operator::OBJECT;
    fleet.store.put(kind, name, malformed, serde_json::Value::Null);
    // The events `SERVER_FAULTY` and `TABLES_REFUSED`.
    wait_logged(&fleet, "\"event\":2015").await;
    wait_logged(&fleet, "\"event\":2002").await;
    wait_served(&callers, 100).await;
    assert_eq!(finish(&fleet, callers).await, 0);
}

/// Waits until the log of every instance contains a text.
async fn wait_logged(fleet: &fleet::PlatformFleet, text: &str) {
    for instance in &fleet.instances {
        standins_fleet::wait_until(text, async || instance.process.log().contains(text)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn store_outage_fails_no_request() {
    let (fleet, callers) = start().await;
    let fault = store::StoreFault::Refuses(http::StatusCode::SERVICE_UNAVAILABLE);
    fleet.store.set_fault(fault);
    // The events `STORE_UNREACHABLE` and, after the outage, `STORE_REACHABLE`.
    wait_logged(&fleet, "\"event\":2003").await;
    wait_served(&callers, 200).await;
    fleet.store.set_fault(store::StoreFault::None);
    wait_logged(&fleet, "\"event\":2004").await;
    assert_eq!(finish(&fleet, callers).await, 0);
}

/// Guards against instances that stop following the list of servers, or end, since another writer left
/// entries that cannot be read: changes of the list, and starts of an instance, go on beside them.
#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_keep_no_instance_from_following_the_list() {
    let (mut fleet, callers) = start().await;
    for (name, entry) in server::odd_entries(operator::SERVICES[0]) {
        fleet.store.put(server::KIND, name, entry, serde_json::Value::Null);
    }
    for server in fleet.servers.iter_mut().step_by(operator::SERVICES.len()) {
        server.drain();
    }
    fleet.add_server(0).await;
    let added = fleet.servers.last().unwrap().id().to_owned();
    for index in 0..INSTANCES {
        fleet.instances[index].process.kill();
        fleet.start_instance(index);
        fleet.wait_ready().await;
    }
    let since = duration::Instant::now();
    standins_fleet::wait_until("the new server runs requests", async || {
        fleet.record.last_run(&added).is_some_and(|last| last > since)
    })
    .await;
    finish(&fleet, callers).await;
}
