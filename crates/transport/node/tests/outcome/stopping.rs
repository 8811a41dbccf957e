//! Requests that are open while a planned stop runs out of time.

use std::net;
use std::sync;
use std::time;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

use crate::backend;
use crate::support;

const SLOTS: usize = 3;
/// Far longer than the refusal takes, far shorter than the requests' deadline.
const REFUSAL_WAIT: time::Duration = time::Duration::from_secs(5);
const DEADLINE_MS: u64 = 600_000;

/// Ends the time to finish requests of a planned stop.
fn end_stop(instance: &support::TestInstance) {
    instance.shared.leave();
    instance.shared.finish_requests_by(instance.shared.now(), instance.shared.now());
    instance.shared.end_finish();
}

async fn expect_refusal(waiting: tokio::task::JoinHandle<support::ReceivedResponse>) {
    let response = tokio::time::timeout(REFUSAL_WAIT, waiting).await;
    let response = response.expect("neither an answer nor a refusal").unwrap();
    assert_eq!((response.status, response.outcome()), (503, "not-run"));
    assert_eq!(response.headers["retry-after"], "0");
}

/// Sends a request on a new connection, in a task.
fn send(
    instance: &support::TestInstance,
    request: http::Request<axum::body::Body>,
) -> tokio::task::JoinHandle<support::ReceivedResponse> {
    let shared = sync::Arc::clone(&instance.shared);
    let caller = support::TestInstance::attach(shared, instance.address);
    tokio::spawn(async move { caller.call(request).await })
}

// A request that waits for a slot was closed without a response at the end of a planned stop, also
// when nothing else wakes the queue of its service.
#[test]
fn request_that_waits_for_a_slot_is_refused_at_the_end() {
    support::block_on(async {
        let server = backend::ScriptedServer::start(&[]).await;
        let instance = support::TestInstance::start(&[server.address], DEADLINE_MS).await;
        let service = instance.service();
        let criteria = marjoramwing_dispatch::picker::ServerCriteria::default();
        let held: Vec<_> =
            (0..SLOTS).map(|_| service.try_acquire_slot(&criteria).unwrap()).collect();
        let body = axum::body::Body::from("a body");
        let waiting = send(&instance, support::make_request("POST", "/open", "waits", body));
        support::wait_until(|| service.queued() == 1).await;
        end_stop(&instance);
        expect_refusal(waiting).await;
        drop(held);
    });
}

// A request that waits for its admission under a limit, whose holder does not answer, was closed
// without a response at the end of a planned stop.
#[test]
fn request_that_waits_for_its_admission_is_refused_at_the_end() {
    support::block_on(async {
        let server = backend::ScriptedServer::start(&[]).await;
        let addresses = [server.address];
        let instance = support::TestInstance::start_without_ledger(&addresses, DEADLINE_MS).await;
        let body = axum::body::Body::empty();
        let mut request = support::make_request("GET", "/keyed", "waits", body);
        let key = format!("Bearer {}", support::KEY).parse().unwrap();
        request.headers_mut().insert("authorization", key);
        let waiting = send(&instance, request);
        support::wait_until(|| instance.shared.metrics.open_requests.get() == 1).await;
        end_stop(&instance);
        expect_refusal(waiting).await;
    });
}

// A request whose body was still being received was closed without a response at the end of a
// planned stop.
#[test]
fn request_that_waits_for_its_body_is_refused_at_the_end() {
    support::block_on(async {
        let server = backend::ScriptedServer::start(&[]).await;
        let instance = support::TestInstance::start(&[server.address], DEADLINE_MS).await;
        let mut caller = tokio::net::TcpStream::connect(instance.address).await.unwrap();
        let head = b"POST /open HTTP/1.1\r\nhost: test\r\ncontent-length: 8\r\n\r\nhalf";
        caller.write_all(head).await.unwrap();
        support::wait_until(|| instance.shared.metrics.open_requests.get() == 1).await;
        end_stop(&instance);
        let mut bytes = [0; 4096];
        let length = caller.read(&mut bytes).await.unwrap();
        let response = String::from_utf8_lossy(&bytes[..length]);
        assert!(response.starts_with("HTTP/1.1 503 "), "{response:?}");
        assert!(server.runs().is_empty());
    });
}

/// Starts a server that answers each request after a delay.
async fn start_slow_server(delay: time::Duration) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut head = [0; 4096];
                let _ = stream.read(&mut head).await;
                tokio::time::sleep(delay).await;
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nslow").await;
                std::future::pending::<()>().await;
            });
        }
    });
    address
}

// An idempotent request was taken from the server that worked on it, although the stop let no other
// attempt start.
#[test]
fn attempt_is_not_abandoned_when_a_stop_lets_no_other_start() {
    support::block_on(async {
        // The wait for a response head is a quarter of the deadline.
        let slow = start_slow_server(time::Duration::from_millis(1_600)).await;
        let other = start_slow_server(time::Duration::from_millis(1_600)).await;
        let instance = support::TestInstance::start(&[slow, other], 4_000).await;
        let request = support::make_request("GET", "/open", "slow", axum::body::Body::empty());
        let sent = send(&instance, request);
        let service = instance.service();
        let in_flight = || service.in_flight(slow) + service.in_flight(other);
        support::wait_until(|| in_flight() == 1).await;
        instance.shared.leave();
        instance.shared.finish_requests_by(instance.shared.now(), instance.shared.now());
        let response = sent.await.unwrap();
        assert_eq!(response.status, 200, "{response:?}");
    });
}
