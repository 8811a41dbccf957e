//! A request that is repeated with the same idempotency key does not run again, at any
//! instance.

use std::net;

use marjoramwing_standins::platform;

use crate::backend;
use crate::backend::ServerStep;
use crate::support;

const DEADLINE_MS: u64 = 5_000;

pub(crate) async fn start_store() -> (platform::PlatformServer, net::SocketAddr) {
    let store = platform::PlatformServer::default();
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let router = store.router();
    tokio::spawn(async move { axum::serve(listener, router).await });
    (store, address)
}

pub(crate) async fn send(
    instance: &support::TestInstance,
    keys: &[&'static str],
) -> support::ReceivedResponse {
    let body = axum::body::Body::from("a body");
    let mut request = support::make_request("POST", "/open", "first", body);
    for key in keys {
        request.headers_mut().append("idempotency-key", http::HeaderValue::from_static(key));
    }
    instance.call(request).await
}

#[test]
fn duplicate_request_through_another_instance_does_not_run() {
    support::block_on(async {
        let server = backend::ScriptedServer::start(&[ServerStep::CloseAfterRun]).await;
        let (_store, address) = start_store().await;
        let servers = [server.address];
        let first = support::TestInstance::start_with_store(address, &servers, DEADLINE_MS).await;
        let second = support::TestInstance::start_with_store(address, &servers, DEADLINE_MS).await;
        assert_eq!(send(&first, &["a"]).await.outcome(), "unknown");
        for instance in [&second, &first, &second] {
            let repeat = send(instance, &["a"]).await;
            assert_eq!((repeat.status, repeat.outcome()), (409, "unknown"));
        }
        assert_eq!(server.runs().len(), 1);
        assert_eq!(send(&second, &["b"]).await.status, 200);
        assert_eq!(send(&second, &[]).await.status, 200);
        assert_eq!(server.runs().len(), 3);
    });
}

#[test]
fn idempotency_key_of_a_request_that_did_not_run_is_released() {
    support::block_on(async {
        let server = backend::ScriptedServer::start(&[]).await;
        let (_store, address) = start_store().await;
        let servers = [server.address];
        let mut first =
            support::TestInstance::start_with_store(address, &servers, DEADLINE_MS).await;
        let second = support::TestInstance::start_with_store(address, &servers, DEADLINE_MS).await;
        first.edit(|tables| tables.pools.pools[0].servers[0].draining = true);
        assert_eq!(send(&first, &["a"]).await.outcome(), "not-run");
        while send(&second, &["a"]).await.status == 409 {
            tokio::time::sleep(std::time::Duration::from_millis(2)).await;
        }
        assert_eq!(server.runs().len(), 1);
    });
}

#[test]
fn store_outage_refuses_only_requests_with_an_idempotency_key() {
    support::block_on(async {
        let server = backend::ScriptedServer::start(&[]).await;
        let instance = support::TestInstance::start(&[server.address], DEADLINE_MS).await;
        let refusal = send(&instance, &["a"]).await;
        assert_eq!((refusal.status, refusal.outcome()), (503, "not-run"));
        assert_eq!(send(&instance, &[]).await.status, 200);
        assert_eq!(server.runs().len(), 1);
    });
}

#[test]
fn two_idempotency_keys_are_refused() {
    support::block_on(async {
        let server = backend::ScriptedServer::start(&[]).await;
        let instance = support::TestInstance::start(&[server.address], DEADLINE_MS).await;
        assert_eq!(send(&instance, &["a", "b"]).await.status, 400);
        assert!(server.runs().is_empty());
    });
}
