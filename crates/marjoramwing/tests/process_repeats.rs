//! A caller repeats a request through another instance.

use std::net;

use marjoramwing_standins::behaviour;
use marjoramwing_standins::example;
use marjoramwing_standins::fleet;

const BINARY: &str = env!("CARGO_BIN_EXE_marjoramwing");
/// Identifier under which the backend servers count the request.
const ID: &str = "order";

/// Sends the one write, with an `Idempotency-Key` or without.
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

/// Kills an instance once a request runs, repeats it and counts the runs.
async fn repeat_after_death(key: Option<&'static str>) -> (Option<u16>, Option<u32>) {
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
    assert_eq!(sent.await.unwrap(), None, "a killed instance answered");
    fleet::change_behaviour(&fleet.writes, |behaviour| {
        behaviour.fault = behaviour::AnswerFault::None;
    });
    let mut status = None;
    // A refusal over a limit says `not-run`, so that a caller asks again.
    fleet::wait_until("the team's limit is found again", async || {
        status = send_write(&fleet.http, fleet.instances[1].callers, key).await;
        status != Some(429)
    })
    .await;
    (status, fleet.record.counts().runs.get(ID).copied())
}

#[tokio::test(flavor = "multi_thread")]
async fn repeat_with_an_idempotency_key_runs_once() {
    assert_eq!(repeat_after_death(Some("order-1")).await, (Some(409), Some(1)));
}

#[tokio::test(flavor = "multi_thread")]
async fn without_idempotency_key_a_repeat_runs_again() {
    assert_eq!(repeat_after_death(None).await, (Some(200), Some(2)));
}
