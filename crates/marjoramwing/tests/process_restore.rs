//! Instances run as processes while the platform's store comes back from an older copy.
//!
//! The store then gives out again the revisions of changes that it has lost, so an instance
//! that compares revisions of two eras takes later changes for older ones.

use std::path;
use std::time as duration;

use marjoramwing_platform_standin::caller;
use marjoramwing_platform_standin::fleet;
use marjoramwing_platform_standin::operator;
use marjoramwing_platform_standin::proxy;
use marjoramwing_platform_standin::server;
use marjoramwing_platform_standin::store;
use marjoramwing_standins::fleet as standins_fleet;

const BINARY: &str = env!("CARGO_BIN_EXE_marjoramwing");
const INSTANCES: usize = 3;
const SERVERS_EACH: usize = 3;
const CALLERS_EACH: usize = 2;
/// Extra routes of successive configurations; a restored store has lost all but the first.
const ROUTES: [&str; 5] = ["first", "second", "third", "fourth", "fifth"];
/// Extra route of the configuration written after the store is back.
const NEW_ROUTE: &str = "further";
/// Time in which servers have registered again what the store has lost.
const RENEWAL_TIME: duration::Duration = duration::Duration::from_secs(3);

/// A fleet whose store has acknowledged a change of the configuration for each of [`ROUTES`].
struct RestoreFixture {
    fleet: fleet::PlatformFleet,
    callers: caller::CallerGroup,
    /// Revision of the copy, in which the first of the routes is in force.
    copied: u64,
}

impl RestoreFixture {
    async fn start() -> Self {
        let path = path::Path::new(BINARY);
        let mut fleet = fleet::PlatformFleet::start(path, INSTANCES, SERVERS_EACH).await;
        let callers = caller::CallerGroup::start(&fleet.caller_addresses(), CALLERS_EACH);
        let mut copied = 0;
        for route in ROUTES {
            fleet.configure(&[route]);
            if route == ROUTES[0] {
                copied = fleet.store.revision();
            }
        }
        let fixture = Self { fleet, callers, copied };
        fixture.wait_in_force(ROUTES[4]).await;
        fixture
    }

    /// Waits until every instance serves an extra route.
    async fn wait_in_force(&self, route: &str) {
        let path = operator::extra_path(route);
        for index in 0..INSTANCES {
            standins_fleet::wait_until("the configuration is in force", async || {
                self.fleet.status(index, &path).await == Some(200)
            })
            .await;
        }
    }

    /// Waits until a server has run a request that it received after `since`.
    async fn wait_run(&self, server: &str, since: duration::Instant) {
        standins_fleet::wait_until("the server runs requests", async || {
            self.fleet.record.last_run(server).is_some_and(|last| last > since)
        })
        .await;
    }

    /// Waits until a server of the first service has run a request that it received after `since`,
    /// and returns its index.
    ///
    /// At a low load an instance sends every request to the server that responds fastest.
    async fn wait_any_run(&self, since: duration::Instant) -> usize {
        let servers = || (0..self.fleet.servers.len()).step_by(operator::SERVICES.len());
        let last_run = |index: usize| self.fleet.record.last_run(self.fleet.servers[index].id());
        let has_run = |index: &usize| last_run(*index).is_some_and(|last| last > since);
        standins_fleet::wait_until("a server runs requests", async || {
            servers().any(|index| has_run(&index))
        })
        .await;
        servers().find(has_run).expect("a server has run a request")
    }

    /// Drains the first servers of the first service, so that its requests go to those that were
    /// added.
    fn drain_first_servers(&mut self) {
        let first = self.fleet.servers.iter_mut().take(SERVERS_EACH * operator::SERVICES.len());
        first.step_by(operator::SERVICES.len()).for_each(server::RegisteredServer::drain);
    }

    /// Waits until a server has run no request for two seconds.
    async fn wait_idle(&self, server: &str) {
        let idle_time = duration::Duration::from_secs(2);
        standins_fleet::wait_until("the server gets no requests", async || {
            self.fleet.record.last_run(server).is_none_or(|last| last.elapsed() >= idle_time)
        })
        .await;
    }

    /// Asserts that no guarantee was violated.
    async fn finish(self) {
        self.fleet.assert_guarantees(self.callers).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_written_after_a_restore_is_in_force() {
    let mut fixture = RestoreFixture::start().await;
    fixture.fleet.restore_store(fixture.copied);
    fixture.fleet.configure(&[NEW_ROUTE]);
    fixture.wait_in_force(NEW_ROUTE).await;
    fixture.finish().await;
}

/// While the store is away, more is written at its return than was lost, so that the revision
/// from which instances watch exists again, above that of the new configuration.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_below_the_watched_revision_is_in_force() {
    let mut fixture = RestoreFixture::start().await;
    let lost = fixture.fleet.store.revision();
    fixture.fleet.silence_store();
    fixture.fleet.restore_store(fixture.copied);
    fixture.fleet.configure(&[NEW_ROUTE]);
    for number in 0.. {
        if fixture.fleet.store.revision() > lost {
            break;
        }
        fixture.fleet.store.put("things", "padding", number.into(), serde_json::Value::Null);
    }
    fixture.fleet.store.set_fault(store::StoreFault::None);
    fixture.wait_in_force(NEW_ROUTE).await;
    fixture.finish().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_after_two_restores_is_in_force() {
    let mut fixture = RestoreFixture::start().await;
    fixture.fleet.restore_store(fixture.copied);
    fixture.fleet.configure(&["between"]);
    fixture.fleet.restore_store(fixture.copied);
    fixture.fleet.configure(&[NEW_ROUTE]);
    fixture.wait_in_force(NEW_ROUTE).await;
    fixture.finish().await;
}

/// The instance learns only from others that the store has started a new era.
#[tokio::test(flavor = "multi_thread")]
async fn instance_without_store_access_follows_a_restore() {
    let mut fixture = RestoreFixture::start().await;
    fixture.fleet.instances[0].store_link.set_fault(proxy::LinkFault::Silent);
    fixture.fleet.restore_store(fixture.copied);
    fixture.fleet.configure(&[NEW_ROUTE]);
    fixture.wait_in_force(NEW_ROUTE).await;
    fixture.finish().await;
}

/// The instance has not seen the earlier era, but its peers have.
#[tokio::test(flavor = "multi_thread")]
async fn instance_started_after_a_restore_follows_it() {
    let mut fixture = RestoreFixture::start().await;
    fixture.fleet.instances[0].process.kill();
    fixture.fleet.restore_store(fixture.copied);
    fixture.fleet.configure(&[NEW_ROUTE]);
    fixture.fleet.start_instance(0);
    fixture.fleet.wait_ready().await;
    fixture.wait_in_force(NEW_ROUTE).await;
    fixture.finish().await;
}

/// The copy holds an older configuration until the operator writes the last one again.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_in_force_outlasts_a_restore() {
    let fixture = RestoreFixture::start().await;
    fixture.fleet.store.restore_to(fixture.copied);
    let ends_at = tokio::time::Instant::now() + RENEWAL_TIME;
    while tokio::time::Instant::now() < ends_at {
        for index in 0..INSTANCES {
            for (route, status) in [(ROUTES[4], 200), (ROUTES[0], 404)] {
                let path = operator::extra_path(route);
                assert_eq!(fixture.fleet.status(index, &path).await, Some(status), "{index}");
            }
        }
    }
    fixture.finish().await;
}

/// The copy lists the server as ready until the server's next heartbeat.
#[tokio::test(flavor = "multi_thread")]
async fn server_drained_before_a_restore_gets_no_requests() {
    let mut fixture = RestoreFixture::start().await;
    let index = fixture.wait_any_run(duration::Instant::now()).await;
    let server = fixture.fleet.servers[index].id().to_owned();
    fixture.fleet.servers[index].drain();
    fixture.wait_idle(&server).await;
    let restored_at = duration::Instant::now();
    fixture.fleet.restore_store(fixture.copied);
    tokio::time::sleep(RENEWAL_TIME).await;
    assert!(fixture.fleet.record.last_run(&server).is_none_or(|last| last < restored_at));
    fixture.finish().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn server_drained_after_a_restore_gets_no_requests() {
    let mut fixture = RestoreFixture::start().await;
    fixture.fleet.restore_store(fixture.copied);
    let index = fixture.wait_any_run(duration::Instant::now()).await;
    let server = fixture.fleet.servers[index].id().to_owned();
    fixture.fleet.servers[index].drain();
    fixture.wait_idle(&server).await;
    fixture.finish().await;
}

/// The store loses the server's entry, and the server's next heartbeat creates it again.
#[tokio::test(flavor = "multi_thread")]
async fn server_started_before_a_restore_is_used_again() {
    let mut fixture = RestoreFixture::start().await;
    fixture.fleet.add_server(0).await;
    let server = fixture.fleet.servers.last().unwrap().id().to_owned();
    fixture.drain_first_servers();
    fixture.wait_run(&server, duration::Instant::now()).await;
    fixture.fleet.restore_store(fixture.copied);
    fixture.wait_run(&server, duration::Instant::now() + RENEWAL_TIME).await;
    fixture.finish().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn server_started_after_a_restore_is_used() {
    let mut fixture = RestoreFixture::start().await;
    fixture.fleet.restore_store(fixture.copied);
    fixture.fleet.add_server(0).await;
    let server = fixture.fleet.servers.last().unwrap().id().to_owned();
    fixture.drain_first_servers();
    fixture.wait_run(&server, duration::Instant::now()).await;
    fixture.finish().await;
}
