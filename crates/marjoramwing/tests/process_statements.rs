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

/// A fleet under load.
struct StatementFixture {
    fleet: fleet::PlatformFleet,
    callers: caller::CallerGroup,
}

impl StatementFixture {
    async fn start() -> Self {
        let path = path::Path::new(BINARY);
        let fleet = fleet::PlatformFleet::start(path, INSTANCES, SERVERS_EACH).await;
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
        let attempts = self.callers.finish().await;
        let mut violations = self.fleet.record.check(&attempts);
        violations.extend(self.fleet.record.check_unsent(&attempts));
        assert_eq!(violations, [] as [String; 0]);
    }
}

/// Guards against more requests than a server takes from all instances together.
#[tokio::test(flavor = "multi_thread")]
async fn limited_server_gets_no_more_requests_than_it_takes() {
    let fixture = StatementFixture::start().await;
    fixture.set_statements(server::ServerStatements { limit: Some(LIMIT) });
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
