//! Keys are accepted, removed before forwarding, refused and withdrawn; callers and backend
//! servers cannot forge internal headers.

use crate::backend;
use crate::backend::ServerStep;
use crate::support;
use marjoramwing_configuration::trust;
use marjoramwing_testing::cases;

const DEADLINE_MS: u64 = 10_000;
const BEARER: &str = "Bearer conad-1.a-long-secret";

async fn send(
    instance: &support::TestInstance,
    headers: &[(&'static str, &'static str)],
) -> support::ReceivedResponse {
    let mut request = support::make_request("GET", "/keyed", "first", axum::body::Body::empty());
    for (name, value) in headers {
        request.headers_mut().append(*name, http::HeaderValue::from_static(value));
    }
    instance.call(request).await
}

/// Checks the status, and that neither the caller's key nor a forged header is forwarded.
fn check_headers(headers: &[(&'static str, &'static str)], status: u16) {
    support::block_on(async {
        let server = backend::ScriptedServer::start(&[]).await;
        let instance = support::TestInstance::start(&[server.address], DEADLINE_MS).await;
        let response = send(&instance, headers).await;
        assert_eq!(response.status, status);
        assert!(
            !response.headers.contains_key("marjoramwing-team"),
            "the server's forged header reached the caller"
        );
        let runs = server.runs();
        assert_eq!(runs.len(), usize::from(status == 200));
        for run in runs {
            let head = run.head.to_ascii_lowercase();
            assert!(!head.contains("secret") && !head.contains("forged"), "{head}");
            assert_eq!(head.matches("marjoramwing-team: conad\r\n").count(), 1);
        }
    });
}

cases! { check_headers:
    key_in_authorization => (&[("authorization", BEARER)], 200);
    key_in_own_header => (&[("x-marjoramwing-key", support::KEY)], 200);
    key_beside_other_credentials =>
        (&[("x-marjoramwing-key", support::KEY), ("authorization", "Basic secret")], 200);
    forged_headers => (
        &[("authorization", BEARER), ("marjoramwing-team", "forged"), ("marjoramwing-shed", "forged")],
        200,
    );
    team_header_named_hop_by_hop =>
        (&[("authorization", BEARER), ("connection", "marjoramwing-team")], 200);
    no_key => (&[], 401);
    wrong_key => (&[("authorization", "Bearer conad-1.guess")], 401);
    same_key_twice => (&[("authorization", BEARER), ("authorization", BEARER)], 400);
    keys_in_both_places =>
        (&[("authorization", BEARER), ("x-marjoramwing-key", support::KEY)], 400);
}

/// Starts a keyed request whose response never ends by itself.
async fn start_stream(
    instance: &support::TestInstance,
    server: &backend::ScriptedServer,
) -> tokio::task::JoinHandle<support::ReceivedResponse> {
    let address = instance.address;
    let shared = std::sync::Arc::clone(&instance.shared);
    let call = tokio::spawn(async move {
        let caller = support::TestInstance::attach(shared, address);
        send(&caller, &[("authorization", BEARER)]).await
    });
    support::wait_until(|| server.runs().len() == 1).await;
    call
}

#[test]
fn withdrawn_key_ends_a_streaming_response() {
    support::block_on(async {
        let server = backend::ScriptedServer::start(&[ServerStep::RespondEndlessly]).await;
        let mut instance = support::TestInstance::start(&[server.address], DEADLINE_MS).await;
        let call = start_stream(&instance, &server).await;
        instance.edit(|tables| tables.keys.keys.clear());
        let response = call.await.unwrap();
        assert_eq!((response.status, response.body), (200, None));
        support::wait_until(|| server.closed() == 1).await;
        assert_eq!(send(&instance, &[("authorization", BEARER)]).await.status, 401);
    });
}

#[test]
fn unconfirmed_keys_refuse_keyed_requests_but_not_open_routes() {
    support::block_on(async {
        let server = backend::ScriptedServer::start(&[]).await;
        let instance = support::TestInstance::start(&[server.address], DEADLINE_MS).await;
        instance.shared.set_key_trust(trust::KeyTrust::Refused);
        let response = send(&instance, &[("authorization", BEARER)]).await;
        assert_eq!((response.status, response.outcome()), (503, "not-run"));
        assert!(server.runs().is_empty());
        assert_eq!(instance.send("GET", "/open", "second", "").await.status, 200);
        instance.shared.set_key_trust(trust::KeyTrust::Outage);
        assert_eq!(send(&instance, &[("authorization", BEARER)]).await.status, 200);
    });
}

#[test]
fn unconfirmed_keys_end_a_streaming_response() {
    support::block_on(async {
        let server = backend::ScriptedServer::start(&[ServerStep::RespondEndlessly]).await;
        let instance = support::TestInstance::start(&[server.address], DEADLINE_MS).await;
        let call = start_stream(&instance, &server).await;
        instance.shared.set_key_trust(trust::KeyTrust::Refused);
        assert_eq!(call.await.unwrap().body, None);
    });
}

/// Route deadline that exceeds every lease of a limit, in milliseconds.
const LONG_DEADLINE_MS: u64 = 60_000;
/// Maximum duration of a lease or grant of a limit, in milliseconds.
const LEASE_MS: u64 = 12_000;

#[test]
fn lease_of_a_limit_does_not_shorten_the_deadline() {
    support::block_on(async {
        let server = backend::ScriptedServer::start(&[]).await;
        let instance = support::TestInstance::start(&[server.address], LONG_DEADLINE_MS).await;
        assert_eq!(send(&instance, &[("authorization", BEARER)]).await.status, 200);
        let head = server.runs()[0].head.to_ascii_lowercase();
        let value = head.split("marjoramwing-deadline-ms: ").nth(1).unwrap();
        let sent_ms: u64 = value.lines().next().unwrap().trim().parse().unwrap();
        assert!(sent_ms > LEASE_MS && sent_ms <= LONG_DEADLINE_MS, "{sent_ms}");
    });
}
