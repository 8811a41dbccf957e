//! A backend server that responds to every request with a server error.

use crate::backend;
use crate::support;

const DEADLINE_MS: u64 = 2_000;
const SERVERS: usize = 4;
const REQUESTS: usize = 120;
/// Three in a row until the first ejection, then one after each; ejections double in length.
const MAX_FAILURES: usize = 9;

/// A server that fails immediately must not be preferred for its low latency.
#[test]
fn server_that_fails_every_request_is_ejected() {
    support::block_on(async {
        let failing = [backend::ServerStep::ServerError; REQUESTS];
        let mut servers = vec![backend::ScriptedServer::start(&failing).await];
        for _ in 1..SERVERS {
            servers.push(backend::ScriptedServer::start(&[]).await);
        }
        let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
        let mut instance = support::TestInstance::start(&addresses, DEADLINE_MS).await;
        instance.edit(|tables| {
            let pools = &mut tables.pools.pools;
            let servers = pools.iter().flat_map(|pool| pool.servers.clone()).collect();
            pools[0].servers = servers;
            tables.routes.routes.iter_mut().for_each(|route| route.pools.truncate(1));
        });
        let mut failures = 0;
        for number in 0..REQUESTS {
            let response = instance.send("POST", "/open", &number.to_string(), "a body").await;
            failures += usize::from(response.status == 500);
        }
        assert!(failures > 0, "the failing server got no request");
        assert!(failures <= MAX_FAILURES, "{failures} of {REQUESTS} requests failed");
    });
}
