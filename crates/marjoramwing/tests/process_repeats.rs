//! A caller retries a request through another instance.

use std::net;

use marjoramwing_standins::behaviour;
use marjoramwing_standins::example;
use marjoramwing_standins::fleet;

const BINARY: &str = env!("CARGO_BIN_EXE_marjoramwing");
/// Request identifier under which the backend servers count runs.
const ID: &str = "order";

/// Sends the write request, with an `Idempotency-Key` if given.
async fn send_write(
    http: &marjoramwing_standins::control::HttpClient,
    address: net::SocketAddr,
    key: Option<&str>,
) -> Option<u16> {
    let mut request = http::Request::post(format!("http://{address}/writes"))
        .header("authorization", format!("Bearer {}", example::team_key("alpha")))
        .header("x-request-id", ID);
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    let request = request.body(axum::body::Body::empty()).unwrap();
    Some(http.request(request).await.ok()?.status().as_u16())
}

/// Kills an instance while it runs a request, retries the request through another
/// instance, and returns the status of the retry and the number of runs.
async fn retry_after_crash(key: Option<&'static str>) -> (Option<u16>, Option<u32>) {
    let mut fleet = fleet::TestFleet::start(BINARY, 2).await;
    fleet::change_behaviour(&fleet.writes, |behaviour| {
        behaviour.fault = behaviour::AnswerFault::Silent;
    });
    let first = fleet.instances[0].callers;
    let http = fleet.http.clone();
    let sent = tokio::spawn(async move { send_write(&http, first, key).await });
    let runs = || fleet.record.counts().runs.get(ID).copied();
    fleet::wait_until("the request runs", async || runs().is_some()).await;
    fleet.instances[0].kill();
    assert_eq!(sent.await.unwrap(), None, "a killed instance responded");
    fleet::change_behaviour(&fleet.writes, |behaviour| {
        behaviour.fault = behaviour::AnswerFault::None;
    });
    let mut status = None;
    // A refusal over a limit (status 429) means `not-run`, so a caller may retry.
    fleet::wait_until("the limit of the team is available again", async || {
        status = send_write(&fleet.http, fleet.instances[1].callers, key).await;
        status != Some(429)
    })
    .await;
    (status, fleet.record.counts().runs.get(ID).copied())
}

/// The claim of the key in the store outlives the killed instance; the retry is refused.
#[tokio::test(flavor = "multi_thread")]
async fn retry_with_an_idempotency_key_does_not_run_again() {
    assert_eq!(retry_after_crash(Some("order-1")).await, (Some(409), Some(1)));
}

/// Shows that the previous test depends on the key.
#[tokio::test(flavor = "multi_thread")]
async fn retry_without_an_idempotency_key_runs_again() {
    assert_eq!(retry_after_crash(None).await, (Some(200), Some(2)));
}
