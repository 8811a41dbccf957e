//! The route of a request decides whether it may run more than once.

use marjoramwing_tables::document;
use marjoramwing_testing::cases;

use crate::backend;
use crate::support;

const DEADLINE_MS: u64 = 2_000;

/// Starts an instance with a route of bookings, which run at most once, and below it a route of seats,
/// which may be repeated, over a server that breaks off after it has run and one that responds.
async fn start() -> (support::TestInstance, Vec<backend::ScriptedServer>) {
    let servers = vec![
        backend::ScriptedServer::start(&[backend::ServerStep::CloseAfterRun; 8]).await,
        backend::ScriptedServer::start(&[]).await,
    ];
    let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
    let mut instance = support::TestInstance::start_on_platform(&addresses, DEADLINE_MS).await;
    instance.edit(|documents| {
        let open = documents.routes.routes[0].clone();
        let route = |name: &str, path: &str, idempotent| document::RouteDocument {
            name: name.into(),
            path: path.into(),
            idempotent,
            ..open.clone()
        };
        documents.routes.routes = vec![
            route("bookings", "/bookings/", document::IdempotenceDocument::Never),
            route("seats", "/bookings/seats/", document::IdempotenceDocument::Always),
        ];
    });
    (instance, servers)
}

/// Guards against a booking that runs twice, since it is taken for a request of another route whose
/// prefix does not begin its path.
fn check_runs(path: &str, expected: (u16, usize)) {
    support::block_on(async {
        let (instance, servers) = start().await;
        let response = instance.send("POST", path, "one", "a body").await;
        let runs = servers.iter().flat_map(backend::ScriptedServer::runs).count();
        assert_eq!((response.status, runs), expected, "{response:?}");
    });
}

cases! { check_runs:
    prefix_without_its_slash_belongs_to_the_shorter_route => ("/bookings/seats", (502, 1));
    prefix_without_its_slash_and_a_query_belongs_to_the_shorter_route =>
        ("/bookings/seats?of=7", (502, 1));
    longer_segment_belongs_to_the_shorter_route => ("/bookings/seats7", (502, 1));
    path_below_the_longer_prefix_is_repeated => ("/bookings/seats/7", (200, 2));
    longer_prefix_is_repeated => ("/bookings/seats/", (200, 2));
    escape_within_the_longer_prefix_is_refused => ("/bookings/seat%73/7", (400, 0));
    escape_of_the_first_segment_is_refused => ("/booking%73/7", (400, 0));
    escape_below_the_longer_prefix_is_repeated => ("/bookings/seats/%37", (200, 2));
}
