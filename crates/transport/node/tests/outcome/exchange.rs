//! The exchange with a backend server, interrupted at every point.

use crate::backend;
use crate::backend::ServerStep;
use crate::support;
use marjoramwing_testing::cases;

const DEADLINE_MS: u64 = 400;

struct ExpectedOutcome {
    status: u16,
    outcome: &'static str,
    complete: bool,
    runs: usize,
}

const fn served(runs: usize) -> ExpectedOutcome {
    ExpectedOutcome { status: 200, outcome: "none", complete: true, runs }
}

const fn refused(status: u16, outcome: &'static str, runs: usize) -> ExpectedOutcome {
    ExpectedOutcome { status, outcome, complete: true, runs }
}

const TRUNCATED: ExpectedOutcome =
    ExpectedOutcome { status: 200, outcome: "none", complete: false, runs: 1 };

/// Starts a server that follows `step` and one that sends complete responses.
async fn start_pair(step: ServerStep) -> (support::TestInstance, Vec<backend::ScriptedServer>) {
    let servers = vec![
        backend::ScriptedServer::start(&[step; 8]).await,
        backend::ScriptedServer::start(&[]).await,
    ];
    let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
    let instance = support::TestInstance::start(&addresses, DEADLINE_MS).await;
    (instance, servers)
}

/// Checks the outcome of a request whose first attempt goes to a server that follows `step`.
fn check_interrupted(method: &str, step: ServerStep, expected: &ExpectedOutcome) {
    support::block_on(async {
        let (instance, servers) = start_pair(step).await;
        let body = if method == "POST" { "a body" } else { "" };
        let response = instance.send(method, "/open", "first", body).await;
        assert_eq!((response.status, response.outcome()), (expected.status, expected.outcome));
        assert_eq!(response.body.is_some(), expected.complete);
        if expected.outcome == "none" && expected.complete {
            assert_eq!(response.body.unwrap(), "answer to first");
        }
        let runs: Vec<_> = servers.iter().flat_map(backend::ScriptedServer::runs).collect();
        assert_eq!(runs.iter().filter(|run| run.id == "first").count(), expected.runs);
        assert!(runs.iter().all(|run| run.body == body.as_bytes()));
        if !matches!(step, ServerStep::Respond | ServerStep::RespondTwice) {
            let faulty = &servers[0];
            support::wait_until(|| faulty.closed() == faulty.connections()).await;
            assert_eq!(instance.service().connections.idle_count(faulty.address), 0);
        }
    });
}

cases! { check_interrupted:
    post_with_complete_response_is_served => ("POST", ServerStep::Respond, &served(1));
    shed_post_is_retried => ("POST", ServerStep::Shed, &served(1));
    post_shed_after_its_body_is_retried => ("POST", ServerStep::ShedAfterBody, &served(1));
    post_closed_after_head_is_unknown =>
        ("POST", ServerStep::CloseAfterHead, &refused(502, "unknown", 0));
    post_closed_after_run_is_unknown =>
        ("POST", ServerStep::CloseAfterRun, &refused(502, "unknown", 1));
    post_truncated_in_response_head_is_unknown =>
        ("POST", ServerStep::TruncateHead, &refused(502, "unknown", 1));
    post_truncated_in_response_body_is_aborted => ("POST", ServerStep::TruncateBody, &TRUNCATED);
    post_truncated_between_chunks_is_aborted => ("POST", ServerStep::TruncateChunked, &TRUNCATED);
    post_with_unframed_response_is_unknown =>
        ("POST", ServerStep::OmitLength, &refused(502, "unknown", 1));
    post_without_response_is_unknown =>
        ("POST", ServerStep::NeverRespond, &refused(504, "unknown", 1));
    post_with_response_for_another_request_is_unknown =>
        ("POST", ServerStep::WrongRequest, &refused(502, "unknown", 1));
    get_with_complete_response_is_served => ("GET", ServerStep::Respond, &served(1));
    shed_get_is_retried => ("GET", ServerStep::Shed, &served(1));
    get_closed_after_head_is_retried => ("GET", ServerStep::CloseAfterHead, &served(1));
    get_closed_after_run_is_retried => ("GET", ServerStep::CloseAfterRun, &served(2));
    get_truncated_in_response_head_is_retried => ("GET", ServerStep::TruncateHead, &served(2));
    get_truncated_in_response_body_is_aborted => ("GET", ServerStep::TruncateBody, &TRUNCATED);
    get_truncated_between_chunks_is_aborted => ("GET", ServerStep::TruncateChunked, &TRUNCATED);
    get_without_response_is_retried => ("GET", ServerStep::NeverRespond, &served(2));
    post_with_gateway_timeout_is_unknown =>
        ("POST", ServerStep::GatewayTimeout, &refused(502, "unknown", 1));
    get_with_gateway_timeout_is_retried => ("GET", ServerStep::GatewayTimeout, &served(2));
    get_stalled_in_response_body_is_aborted => ("GET", ServerStep::StallBody, &TRUNCATED);
    get_with_response_for_another_request_is_retried =>
        ("GET", ServerStep::WrongRequest, &served(2));
}

/// Checks that an idle connection that the server has closed, or that has an unread late
/// response, is not reused: the next request, which is known not to have been sent on it,
/// goes over a new connection.
fn check_idle_connection(step: ServerStep, closes: bool) {
    support::block_on(async {
        let server = backend::ScriptedServer::start(&[step]).await;
        let instance = support::TestInstance::start(&[server.address], DEADLINE_MS).await;
        let first = instance.send("POST", "/open", "first", "a body").await;
        assert_eq!(first.body.unwrap(), "answer to first");
        if closes {
            support::wait_until(|| server.closed() == 1).await;
        } else {
            tokio::time::sleep(std::time::Duration::from_millis(60)).await;
        }
        let second = instance.send("POST", "/open", "second", "a body").await;
        let third = instance.send("POST", "/open", "third", "a body").await;
        assert_eq!((second.status, third.status), (200, 200));
        assert_eq!(second.body.unwrap(), "answer to second");
        assert_eq!(third.body.unwrap(), "answer to third");
        let runs = server.runs();
        let connections: Vec<_> = runs.iter().map(|run| run.connection).collect();
        assert_eq!(connections, [1, 2, 2], "the first connection is not reused");
    });
}

cases! { check_idle_connection:
    closed_connection_is_replaced => (ServerStep::RespondThenClose, true);
    late_second_response_reaches_no_caller => (ServerStep::RespondTwice, false);
}

#[test]
fn caller_that_goes_away_cancels_its_attempt() {
    support::block_on(async {
        let server = backend::ScriptedServer::start(&[ServerStep::NeverRespond]).await;
        let instance = support::TestInstance::start(&[server.address], 600_000).await;
        let call = instance.send("POST", "/open", "first", "a body");
        tokio::select! {
            response = call => panic!("response although the server never responds: {response:?}"),
            () = support::wait_until(|| server.runs().len() == 1) => {}
        }
        support::wait_until(|| server.closed() == 1).await;
        assert_eq!(instance.service().in_flight(server.address), 0);
    });
}

#[test]
fn unsent_request_is_reported_as_not_run() {
    support::block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let closed_address = listener.local_addr().unwrap();
        drop(listener);
        let instance = support::TestInstance::start(&[closed_address], DEADLINE_MS).await;
        let response = instance.send("POST", "/open", "first", "a body").await;
        assert_eq!((response.status, response.outcome()), (503, "not-run"));
        assert!(response.headers.contains_key("retry-after"));
    });
}

#[test]
fn deadline_shrinks_from_attempt_to_attempt() {
    support::block_on(async {
        let (instance, servers) = start_pair(ServerStep::NeverRespond).await;
        let response = instance.send("GET", "/open", "first", "").await;
        assert_eq!(response.status, 200);
        let deadlines = servers.iter().map(|server| deadline_of(&server.runs()[0].head));
        let deadlines: Vec<_> = deadlines.collect();
        assert!(
            deadlines[0] <= DEADLINE_MS && deadlines[1] + DEADLINE_MS / 4 <= DEADLINE_MS,
            "{deadlines:?}"
        );
    });
}

fn deadline_of(head: &str) -> u64 {
    let line = head.lines().find_map(|line| line.strip_prefix("marjoramwing-deadline-ms: "));
    line.unwrap().parse().unwrap()
}
