//! Team keys that are withdrawn, forged or sent in the wrong place.

use http_body_util::BodyExt;
use marjoramwing_standins::behaviour;
use marjoramwing_standins::example;
use marjoramwing_standins::fleet;

const BINARY: &str = env!("CARGO_BIN_EXE_marjoramwing");
const WITHDRAWN: &str = "alpha";

fn remaining_keys() -> serde_json::Value {
    let teams: Vec<_> = example::TEAMS.into_iter().filter(|team| *team != WITHDRAWN).collect();
    example::keys(&teams)
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_key_is_refused_on_open_connections() {
    let fleet = fleet::TestFleet::start(BINARY, 3).await;
    // The client reuses its connections between requests.
    fleet.wait_status("/reads", WITHDRAWN, 200).await;
    fleet.put_table("keys", &remaining_keys());
    fleet.wait_status("/reads", WITHDRAWN, 401).await;
    fleet.wait_status("/reads", "beta", 200).await;
    // None of the refused requests may reach a backend server.
    let runs = fleet.record.counts().teams[WITHDRAWN];
    for instance in &fleet.instances {
        assert_eq!(fleet.status(instance.callers, "/reads", WITHDRAWN).await, Some(401));
    }
    assert_eq!(fleet.record.counts().teams[WITHDRAWN], runs);
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_key_is_refused_while_a_response_streams() {
    let fleet = fleet::TestFleet::start(BINARY, 1).await;
    let address = fleet.instances[0].callers;
    // The second half of the body follows 2 s after the first. The key is withdrawn meanwhile, but
    // nothing makes sure that the instance has applied this by then.
    fleet::change_behaviour(&fleet.reads, |behaviour| behaviour.body_pause_ms = 2_000);
    let request = http::Request::get(format!("http://{address}/reads"))
        .header("authorization", format!("Bearer {}", example::team_key(WITHDRAWN)))
        .header("x-request-id", "streamed")
        .body(axum::body::Body::empty())
        .unwrap();
    let streaming = fleet.http.request(request).await.unwrap();
    fleet.put_table("keys", &remaining_keys());
    fleet.wait_status("/reads", WITHDRAWN, 401).await;
    // A response that started while the key was valid is complete or fails, but is never
    // truncated without an error.
    if let Ok(body) = streaming.into_body().collect().await {
        let length = behaviour::BackendBehaviour::default().answer_bytes;
        let expected = marjoramwing_standins::backend::expected_body("streamed", length);
        assert_eq!(body.to_bytes(), expected);
    }
}

/// Sends one GET request with these headers and returns the status.
async fn send_with_headers(
    fleet: &fleet::TestFleet,
    path: &str,
    headers: &[(&str, &str)],
) -> Option<http::StatusCode> {
    let address = fleet.instances[0].callers;
    let mut request = http::Request::get(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(axum::body::Body::empty()).unwrap();
    Some(fleet.http.request(request).await.ok()?.status())
}

#[tokio::test(flavor = "multi_thread")]
async fn request_runs_only_for_the_team_of_its_key() {
    let fleet = fleet::TestFleet::start(BINARY, 1).await;
    let beta = format!("Bearer {}", example::team_key("beta"));
    // A wrong secret, and the key of one team after the key identifier of another.
    let wrong = format!("Bearer {}x", example::team_key("beta"));
    let foreign = format!("Bearer alpha-1.{}", example::team_key("beta"));
    let accepted: [&[(&str, &str)]; 4] = [
        &[("authorization", &beta), ("marjoramwing-team", "alpha")],
        &[("authorization", &beta), ("Marjoramwing-Team", "alpha"), ("marjoramwing-team", "gamma")],
        &[
            ("authorization", &beta),
            ("connection", "marjoramwing-team"),
            ("marjoramwing-team", "alpha"),
        ],
        &[("authorization", &beta), ("marjoramwing-deadline-ms", "0")],
    ];
    for headers in accepted {
        let status = send_with_headers(&fleet, "/reads", headers).await;
        assert_eq!(status, Some(http::StatusCode::OK), "{headers:?}");
    }
    let refused: [&[(&str, &str)]; 6] = [
        &[],
        &[("marjoramwing-team", "alpha")],
        &[("authorization", &wrong)],
        &[("authorization", &foreign)],
        &[("authorization", "Bearer "), ("marjoramwing-team", "alpha")],
        &[("authorization", "Basic YWxwaGE6YWxwaGE="), ("marjoramwing-team", "alpha")],
    ];
    for headers in refused {
        let status = send_with_headers(&fleet, "/reads", headers).await;
        assert!(status.is_some_and(|status| status.is_client_error()), "{headers:?}: {status:?}");
    }
    // The four accepted requests ran for the team of the key, whatever team a header named.
    let teams = fleet.record.counts().teams;
    assert_eq!(teams, [("beta".to_owned(), 4)].into());
}

#[tokio::test(flavor = "multi_thread")]
async fn no_backend_server_receives_a_key_outside_the_body() {
    let fleet = fleet::TestFleet::start(BINARY, 1).await;
    let key = example::team_key("beta");
    let bearer = format!("Bearer {key}");
    let cookie = format!("session=1; key={key}");
    let query = format!("/reads?key={key}");
    let open_query = format!("/open?key={key}");
    let cases: [(&str, &[(&str, &str)]); 9] = [
        ("/reads", &[("authorization", &bearer)]),
        ("/reads", &[("x-marjoramwing-key", &key)]),
        ("/reads", &[("authorization", &bearer), ("x-marjoramwing-key", &key)]),
        ("/reads", &[("authorization", &bearer), ("x-other", &key)]),
        ("/reads", &[("authorization", &bearer), ("cookie", &cookie)]),
        ("/reads", &[("authorization", &bearer), ("referer", &query)]),
        (&query, &[("authorization", &bearer)]),
        ("/open", &[("authorization", &bearer)]),
        (&open_query, &[("x-other", &key)]),
    ];
    for (path, headers) in cases {
        let before = fleet.record.counts().leaked_keys;
        send_with_headers(&fleet, path, headers).await;
        assert_eq!(fleet.record.counts().leaked_keys, before, "{path} {headers:?}");
    }
    assert!(!fleet.instances[0].log().contains("demo-only-"), "a key was logged");
}

/// Request bodies are not searched for keys: the backend server finds the key in the body, and
/// nowhere else.
#[tokio::test(flavor = "multi_thread")]
async fn body_is_forwarded_without_a_check_for_keys() {
    let fleet = fleet::TestFleet::start(BINARY, 1).await;
    let key = example::team_key("beta");
    let request = http::Request::post(format!("http://{}/writes", fleet.instances[0].callers))
        .header("authorization", format!("Bearer {key}"))
        .body(axum::body::Body::from(format!("key={key}")))
        .unwrap();
    let status = fleet.http.request(request).await.unwrap().status();
    let seen = fleet.record.counts().leaked_keys;
    assert_eq!((status, seen.body, seen.total()), (http::StatusCode::OK, 1, 1));
}
