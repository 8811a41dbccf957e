//! Instances run as processes whose watches of the platform's store hang.
//!
//! The store loses the answers to open watches: their connections stay open and nothing comes on
//! them any more, while new calls are answered. An instance that trusts a silent watch misses
//! every change until the watch times out.

use std::path;
use std::time as duration;

use marjoramwing_platform_standin::caller;
use marjoramwing_platform_standin::fleet;
use marjoramwing_platform_standin::operator;
use marjoramwing_platform_standin::server;
use marjoramwing_standins::fleet as standins_fleet;

const BINARY: &str = env!("CARGO_BIN_EXE_marjoramwing");
const INSTANCES: usize = 3;
const SERVERS_EACH: usize = 3;
const CALLERS_EACH: usize = 2;
/// Time without requests after which a server counts as idle.
const IDLE_TIME: duration::Duration = duration::Duration::from_secs(2);
/// Time in which every instance has an open watch of each kind of object.
const SETTLE_TIME: duration::Duration = duration::Duration::from_secs(5);
/// Half of the time that a watch may last: a change that is noticed before was not found by a watch
/// that timed out.
const HALF_WATCH: duration::Duration = duration::Duration::from_secs(14);

/// A fleet whose instances all have watches that hang.
struct WatchFixture {
    fleet: fleet::PlatformFleet,
    callers: caller::CallerGroup,
}

impl WatchFixture {
    async fn start() -> Self {
        let path = path::Path::new(BINARY);
        let fleet = fleet::PlatformFleet::start(path, INSTANCES, SERVERS_EACH).await;
        let callers = caller::CallerGroup::start(&fleet.caller_addresses(), CALLERS_EACH);
        tokio::time::sleep(SETTLE_TIME).await;
        fleet.store.lose_open_watches();
        Self { fleet, callers }
    }

    /// Asserts that a server gets no further request, from a time well before the end of the
    /// watches that hang.
    async fn assert_soon_idle(&self, server: &str, since: duration::Instant) {
        standins_fleet::wait_until("the server gets no requests", async || {
            self.fleet.record.last_run(server).is_none_or(|last| last.elapsed() >= IDLE_TIME)
        })
        .await;
        let last_run = self.fleet.record.last_run(server);
        assert!(last_run.is_none_or(|last| last < since + HALF_WATCH), "requests until a timeout");
    }

    /// Returns the index of a server that has run requests of the callers.
    fn used_server(&self) -> usize {
        let servers = &self.fleet.servers;
        let last_run = |server: &server::RegisteredServer| self.fleet.record.last_run(server.id());
        let used = servers.iter().enumerate().max_by_key(|(_, server)| last_run(server));
        used.expect("the fleet has servers").0
    }

    /// Asserts that no guarantee was violated.
    async fn finish(self) {
        self.fleet.assert_guarantees(self.callers).await;
    }
}

/// Guards against requests to a server that has said that it leaves while all watches hang.
#[tokio::test(flavor = "multi_thread")]
async fn draining_server_gets_no_requests_although_watches_hang() {
    let mut fixture = WatchFixture::start().await;
    let index = fixture.used_server();
    let drained_at = duration::Instant::now();
    fixture.fleet.servers[index].drain();
    let server = fixture.fleet.servers[index].id().to_owned();
    fixture.assert_soon_idle(&server, drained_at).await;
    fixture.finish().await;
}

/// Guards against requests to a drained failure domain while all watches hang.
#[tokio::test(flavor = "multi_thread")]
async fn drained_domain_gets_no_requests_although_watches_hang() {
    let fixture = WatchFixture::start().await;
    let index = fixture.used_server();
    let domain = fleet::ZONES[index / operator::SERVICES.len() % fleet::ZONES.len()].0;
    let drained_at = duration::Instant::now();
    let null = serde_json::Value::Null;
    fixture.fleet.store.put("evacuations", domain, null.clone(), null);
    let server = fixture.fleet.servers[index].id().to_owned();
    fixture.assert_soon_idle(&server, drained_at).await;
    fixture.finish().await;
}

/// Guards against a configuration that is not in force because all watches hang.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_is_in_force_although_watches_hang() {
    let mut fixture = WatchFixture::start().await;
    let written_at = duration::Instant::now();
    fixture.fleet.configure(&["further"]);
    let path = operator::extra_path("further");
    for index in 0..INSTANCES {
        standins_fleet::wait_until("the configuration is in force", async || {
            fixture.fleet.status(index, &path).await == Some(200)
        })
        .await;
    }
    assert!(written_at.elapsed() < HALF_WATCH, "not in force until a watch timed out");
    fixture.finish().await;
}
