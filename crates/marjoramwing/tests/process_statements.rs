//! Instances run as processes beside backend servers that say in their answers what they need.

use std::path;
use std::time as duration;

use marjoramwing_platform_standin::caller;
use marjoramwing_platform_standin::fleet;
use marjoramwing_platform_standin::server;
use marjoramwing_standins::fleet as standins_fleet;

const BINARY: &str = env!("CARGO_BIN_EXE_marjoramwing");
const INSTANCES: usize = 3;
const SERVERS_EACH: usize = 2;
const CALLERS_EACH: usize = 2;
/// Limit that each server names, in requests per second.
const LIMIT: f64 = 4.0;
/// Period over which the requests at a limited server are counted.
const LIMIT_WINDOW: duration::Duration = duration::Duration::from_secs(4);
/// Requests that a server may get in that period: one and a half times what the limit allows, and
/// five.
const LIMIT_BOUND: usize = 29;
/// Time after which every instance has been told.
const TOLD_TIME: duration::Duration = duration::Duration::from_secs(1);

/// Time after its statement in which a server that leaves may still get requests.
const DRAIN_TIME: duration::Duration = duration::Duration::from_millis(2_500);

/// Time for which a server asks.
const PAUSE: duration::Duration = duration::Duration::from_secs(2);

/// A fleet under load.
struct StatementFixture {
    fleet: fleet::PlatformFleet,
    callers: caller::CallerGroup,
}

impl StatementFixture {
    async fn start(instances: usize) -> Self {
        let path = path::Path::new(BINARY);
        let fleet = fleet::PlatformFleet::start(path, instances, SERVERS_EACH).await;
        let callers = caller::CallerGroup::start(&fleet.caller_addresses(), CALLERS_EACH);
        let fixture = Self { fleet, callers };
        fixture.wait_attempts(100).await;
        fixture
    }

    /// Waits until the callers have made a number of further attempts.
    async fn wait_attempts(&self, count: usize) {
        let before = self.callers.attempts().len();
        standins_fleet::wait_until("attempts are made", async || {
            self.callers.attempts().len() >= before + count
        })
        .await;
    }

    /// Returns the index of the server that the last request reached.
    fn used_server(&self) -> usize {
        let last = |index: &usize| {
            self.fleet.record.arrivals(self.fleet.servers[*index].id()).last().copied()
        };
        (0..self.fleet.servers.len()).max_by_key(last).expect("the fleet has servers")
    }

    /// Sets what all servers say of themselves.
    fn set_statements(&self, statements: server::ServerStatements) {
        self.fleet.servers.iter().for_each(|server| server.set_statements(statements));
    }

    /// Returns the largest number of requests that reached a server within a window that began
    /// after `since`.
    fn most_arrivals(
        &self,
        server: &str,
        window: duration::Duration,
        since: duration::Instant,
    ) -> usize {
        let arrivals = self.fleet.record.arrivals(server);
        let later: Vec<_> = arrivals.into_iter().filter(|at| *at >= since).collect();
        let count = |first: &duration::Instant| {
            later.iter().filter(|at| *at >= first && **at < *first + window).count()
        };
        later.iter().map(count).max().unwrap_or(0)
    }

    /// Asserts that no guarantee was violated.
    async fn finish(self) {
        self.fleet.assert_guarantees(self.callers).await;
    }
}

/// Guards against more requests than a server takes from all instances together.
#[tokio::test(flavor = "multi_thread")]
async fn limited_server_gets_no_more_requests_than_it_takes() {
    let fixture = StatementFixture::start(INSTANCES).await;
    fixture.set_statements(server::ServerStatements { limit: Some(LIMIT), ..Default::default() });
    tokio::time::sleep(TOLD_TIME).await;
    let told_at = duration::Instant::now();
    tokio::time::sleep(LIMIT_WINDOW * 2).await;
    for server in &fixture.fleet.servers {
        let most = fixture.most_arrivals(server.id(), LIMIT_WINDOW, told_at);
        assert!(most <= LIMIT_BOUND, "{} got {most} requests in 4 s", server.id());
        assert!(most > 0, "{} got no request", server.id());
    }
    fixture.set_statements(server::ServerStatements::default());
    fixture.wait_attempts(100).await;
    fixture.finish().await;
}

/// Guards against requests to a server that says in its answers that it leaves, while the store still
/// says that it is ready. The only instance is told by the first answer.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_server_gets_no_requests_although_it_is_registered_as_ready() {
    let fixture = StatementFixture::start(1).await;
    let server = &fixture.fleet.servers[fixture.used_server()];
    server.set_statements(server::ServerStatements { is_leaving: true, ..Default::default() });
    // The event `SERVER_LEAVING`.
    let instance = &fixture.fleet.instances[0].process;
    standins_fleet::wait_until("the server says that it leaves", async || {
        instance.log().contains("\"event\":4007")
    })
    .await;
    let told_at = duration::Instant::now();
    tokio::time::sleep(DRAIN_TIME).await;
    let late_from = told_at + DRAIN_TIME;
    fixture.wait_attempts(100).await;
    let late = fixture.most_arrivals(server.id(), LIMIT_WINDOW, late_from);
    assert_eq!(late, 0, "requests after the server had said that it leaves");
    fixture.finish().await;
}

/// Guards against requests to servers that have turned one away and asked for time. Callers are
/// refused meanwhile, truly as not run.
#[tokio::test(flavor = "multi_thread")]
async fn server_that_asks_for_time_is_left_alone() {
    let fixture = StatementFixture::start(1).await;
    let pause = Some(PAUSE);
    fixture.set_statements(server::ServerStatements { pause, ..Default::default() });
    // The event `SERVER_PAUSED`.
    let instance = &fixture.fleet.instances[0].process;
    standins_fleet::wait_until("all servers have asked for time", async || {
        let log = instance.log();
        log.matches("\"event\":4008").count() >= fixture.fleet.servers.len()
    })
    .await;
    let told_at = duration::Instant::now();
    tokio::time::sleep(PAUSE * 3).await;
    for server in &fixture.fleet.servers {
        let arrivals = fixture.most_arrivals(server.id(), PAUSE, told_at);
        // Each time ends with a request that is turned away again.
        assert!(arrivals <= 2, "{} got {arrivals} requests in the time", server.id());
    }
    fixture.set_statements(server::ServerStatements::default());
    fixture.wait_attempts(100).await;
    fixture.finish().await;
}
