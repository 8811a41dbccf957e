//! Changes of the configuration and of the settings beside requests that were accepted before.

use marjoramwing_tables::snapshot;
use marjoramwing_testing::cases;

use crate::backend;
use crate::backend::ServerStep;
use crate::support;

const DEADLINE_MS: u64 = 10_000;
/// Deadline of a request that may wait for a server until then.
const QUEUED_DEADLINE_MS: u64 = 4_000;
const SLOTS: usize = 3;

type TableEdit = fn(&mut snapshot::TableDocuments);

fn drop_route(tables: &mut snapshot::TableDocuments) {
    tables.routes.routes.retain(|route| &*route.name != "keyed");
}

/// Drops the pool of the request's service, and the routes to it.
fn drop_service(tables: &mut snapshot::TableDocuments) {
    tables.routes.routes.clear();
    tables.pools.pools.remove(0);
}

fn drop_server(tables: &mut snapshot::TableDocuments) {
    tables.pools.pools[0].servers.clear();
}

fn drain_server(tables: &mut snapshot::TableDocuments) {
    tables.pools.pools[0].servers[0].draining = true;
}

fn move_route(tables: &mut snapshot::TableDocuments) {
    let other = tables.pools.pools[1].name.clone();
    tables.routes.routes.iter_mut().for_each(|route| route.pools = vec![other.clone()]);
}

fn lower_deadline(tables: &mut snapshot::TableDocuments) {
    tables.routes.routes.iter_mut().for_each(|route| route.deadline_ms = 1);
}

fn withdraw_key(tables: &mut snapshot::TableDocuments) {
    tables.keys.keys.clear();
}

fn drop_team(tables: &mut snapshot::TableDocuments) {
    tables.keys.keys.clear();
    tables.teams.teams.clear();
}

fn lower_limit(tables: &mut snapshot::TableDocuments) {
    (tables.teams.teams[0].rate, tables.teams.teams[0].burst) = (0.001, 1);
}

/// Starts an instance whose keyed route goes to the first of two pools.
async fn start(server: &backend::ScriptedServer, deadline_ms: u64) -> support::TestInstance {
    let other = backend::ScriptedServer::start(&[]).await;
    let addresses = [server.address, other.address];
    let mut instance = support::TestInstance::start(&addresses, deadline_ms).await;
    instance.edit(|tables| {
        let first = tables.pools.pools[0].name.clone();
        tables.routes.routes.iter_mut().for_each(|route| route.pools = vec![first.clone()]);
    });
    instance
}

/// Sends a request with the team's key on a new connection, in a task.
fn send(
    instance: &support::TestInstance,
    id: &str,
) -> tokio::task::JoinHandle<support::ReceivedResponse> {
    let mut request = support::make_request("POST", "/keyed", id, axum::body::Body::from("a body"));
    let key = format!("Bearer {}", support::KEY).parse().unwrap();
    request.headers_mut().insert("authorization", key);
    let shared = std::sync::Arc::clone(&instance.shared);
    let caller = support::TestInstance::attach(shared, instance.address);
    tokio::spawn(async move { caller.call(request).await })
}

/// Guards against the loss of a request that a backend server runs when the tables change.
fn check_running(edit: TableEdit) {
    support::block_on(async {
        let server = backend::ScriptedServer::start(&[ServerStep::RespondLate]).await;
        let mut instance = start(&server, DEADLINE_MS).await;
        let call = send(&instance, "first");
        support::wait_until(|| server.runs().len() == 1).await;
        instance.edit(edit);
        let response = call.await.unwrap();
        assert_eq!(response.status, 200);
        assert_eq!(response.body.unwrap(), "answer to first");
    });
}

cases! { check_running:
    running_request_outlives_its_route => (drop_route);
    running_request_outlives_its_service => (drop_service);
    running_request_outlives_its_server => (drop_server);
    running_request_outlives_the_draining_of_its_server => (drain_server);
    running_request_outlives_the_move_of_its_route => (move_route);
    running_request_keeps_the_deadline_of_its_arrival => (lower_deadline);
    running_request_outlives_its_key => (withdraw_key);
    running_request_outlives_its_team => (drop_team);
    running_request_outlives_its_limit => (lower_limit);
}

/// Guards against the loss of a request that waits for a slot when the tables change: it is
/// answered, or refused as not run.
fn check_queued(edit: TableEdit) {
    support::block_on(async {
        let server = backend::ScriptedServer::start(&[ServerStep::RespondLate; SLOTS]).await;
        let mut instance = start(&server, QUEUED_DEADLINE_MS).await;
        let running: Vec<_> = (0..SLOTS).map(|_| send(&instance, "running")).collect();
        support::wait_until(|| server.runs().len() == SLOTS).await;
        let service = instance.service();
        let queued = send(&instance, "queued");
        support::wait_until(|| service.queued() == 1).await;
        instance.edit(edit);
        let response = queued.await.unwrap();
        let runs = server.runs().iter().filter(|run| run.id == "queued").count();
        if response.status == 200 {
            assert_eq!((response.body.unwrap().as_ref(), runs), (&b"answer to queued"[..], 1));
        } else {
            assert_eq!((response.status, response.outcome(), runs), (503, "not-run", 0));
        }
        for call in running {
            assert_eq!(call.await.unwrap().status, 200);
        }
    });
}

cases! { check_queued:
    queued_request_outlives_its_route => (drop_route);
    queued_request_outlives_its_service => (drop_service);
    queued_request_outlives_its_server => (drop_server);
    queued_request_outlives_the_draining_of_its_server => (drain_server);
    queued_request_outlives_the_move_of_its_route => (move_route);
    queued_request_keeps_the_deadline_of_its_arrival => (lower_deadline);
    queued_request_outlives_its_key => (withdraw_key);
    queued_request_outlives_its_team => (drop_team);
    queued_request_outlives_its_limit => (lower_limit);
}

/// Guards against the loss of a request when a reload of the settings changes the bounds.
#[test]
fn running_request_outlives_a_change_of_the_bounds() {
    support::block_on(async {
        let server = backend::ScriptedServer::start(&[ServerStep::RespondLate]).await;
        let instance = start(&server, DEADLINE_MS).await;
        let call = send(&instance, "first");
        support::wait_until(|| server.runs().len() == 1).await;
        let mut bounds = instance.shared.settings.bounds;
        (bounds.retry_slack, bounds.retry_ratio) = (0.0, 0.0);
        instance.shared.dispatch.set_bounds(bounds);
        assert_eq!(call.await.unwrap().body.unwrap(), "answer to first");
    });
}
