//! What backend servers say of themselves, at the port: which requests still reach them.

use std::time;

use crate::backend;
use crate::backend::ServerStep;
use crate::claims;
use crate::support;
use marjoramwing_testing::cases;

const DEADLINE_MS: u64 = 900;
/// Checks whether the only server of a service gets further requests after an answer that it sends;
/// if not, they are refused at once as not run.
fn check_answer(step: ServerStep, method: &'static str, gets_more: bool) {
    support::block_on(async {
        let server = backend::ScriptedServer::start(&[step]).await;
        let instance = support::TestInstance::start(&[server.address], DEADLINE_MS).await;
        instance.send(method, "/open", "first", "").await;
        let response = instance.send(method, "/open", "second", "").await;
        let runs = server.runs().iter().filter(|run| run.id == "second").count();
        match gets_more {
            true => assert_eq!((response.status, runs), (200, 1)),
            false => assert_eq!((response.status, response.outcome(), runs), (503, "not-run", 0)),
        }
    });
}

/// Guards against requests that are sent to a leaving server although another one is there.
#[test]
fn requests_go_to_the_server_that_stays() {
    support::block_on(async {
        let servers = [
            backend::ScriptedServer::start(&[LEAVES]).await,
            backend::ScriptedServer::start(&[]).await,
        ];
        let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
        let instance = support::TestInstance::start(&addresses, DEADLINE_MS).await;
        for id in ["first", "second", "third"] {
            assert_eq!(instance.send("POST", "/open", id, "a body").await.status, 200);
        }
        assert_eq!((servers[0].runs().len(), servers[1].runs().len()), (1, 2));
    });
}

const LEAVES: ServerStep =
    ServerStep::Send("HTTP/1.1 200 OK\r\nmarjoramwing-leaving: 1\r\ncontent-length: 2\r\n\r\nok");
const LEAVES_WITH_FAILURE: ServerStep =
    ServerStep::Send("HTTP/1.1 500 No\r\nmarjoramwing-leaving: 1\r\ncontent-length: 0\r\n\r\n");
const LEAVES_AND_SHEDS: ServerStep = ServerStep::Send(
    "HTTP/1.1 503 No\r\nmarjoramwing-shed: 1\r\nmarjoramwing-leaving: 1\r\ncontent-length: 0\r\n\r\n",
);
const LEAVES_AND_BREAKS_OFF: ServerStep = ServerStep::SendAndClose(
    "HTTP/1.1 200 OK\r\nmarjoramwing-leaving: 1\r\ncontent-length: 20\r\n\r\nok",
);
const LEAVES_TWICE: ServerStep = ServerStep::Send(
    "HTTP/1.1 200 OK\r\nmarjoramwing-leaving: 0\r\nmarjoramwing-leaving: 1\r\ncontent-length: 2\r\n\r\nok",
);
const LEAVES_IN_A_TRAILER: ServerStep = ServerStep::Send(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nmarjoramwing-leaving: 1\r\n\r\n",
);
const LEAVES_IN_AN_EARLY_HINT: ServerStep = ServerStep::Send(
    "HTTP/1.1 103 Early Hints\r\nmarjoramwing-leaving: 1\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
);
const STAYS: ServerStep =
    ServerStep::Send("HTTP/1.1 200 OK\r\nmarjoramwing-leaving: no\r\ncontent-length: 2\r\n\r\nok");
const SAYS_NOTHING: ServerStep =
    ServerStep::Send("HTTP/1.1 200 OK\r\nmarjoramwing-leaving:\r\ncontent-length: 2\r\n\r\nok");

cases! { check_answer:
    leaving_server_gets_no_post => (LEAVES, "POST", false);
    leaving_server_gets_no_get => (LEAVES, "GET", false);
    failure_of_a_leaving_server_counts => (LEAVES_WITH_FAILURE, "POST", false);
    refusal_of_a_leaving_server_counts => (LEAVES_AND_SHEDS, "POST", false);
    answer_that_breaks_off_counts => (LEAVES_AND_BREAKS_OFF, "GET", false);
    one_of_several_values_counts => (LEAVES_TWICE, "POST", false);
    trailer_is_not_read => (LEAVES_IN_A_TRAILER, "POST", true);
    informational_response_is_not_read => (LEAVES_IN_AN_EARLY_HINT, "POST", true);
    another_value_says_nothing => (STAYS, "POST", true);
    empty_value_says_nothing => (SAYS_NOTHING, "POST", true);
}

const fn pause(text: &'static str) -> ServerStep {
    ServerStep::Send(text)
}

cases! { check_answer:
    server_that_asks_for_time_gets_no_request => (
        pause("HTTP/1.1 503 No\r\nretry-after: 60\r\ncontent-length: 0\r\n\r\n"), "POST", false);
    longest_of_several_times_counts => (
        pause("HTTP/1.1 503 No\r\nretry-after: 0\r\nretry-after: 60\r\ncontent-length: 0\r\n\r\n"),
        "POST", false);
    enormous_time_counts => (
        pause("HTTP/1.1 503 No\r\nretry-after: 1e300\r\ncontent-length: 0\r\n\r\n"), "POST", false);
    time_with_another_status_says_nothing => (
        pause("HTTP/1.1 200 OK\r\nretry-after: 60\r\ncontent-length: 2\r\n\r\nok"), "POST", true);
    negative_time_says_nothing => (
        pause("HTTP/1.1 503 No\r\nretry-after: -1\r\ncontent-length: 0\r\n\r\n"), "POST", true);
    empty_time_says_nothing => (
        pause("HTTP/1.1 503 No\r\nretry-after:\r\ncontent-length: 0\r\n\r\n"), "POST", true);
    time_that_is_no_number_says_nothing => (
        pause("HTTP/1.1 503 No\r\nretry-after: NaN\r\ncontent-length: 0\r\n\r\n"), "POST", true);
    infinite_time_says_nothing => (
        pause("HTTP/1.1 503 No\r\nretry-after: inf\r\ncontent-length: 0\r\n\r\n"), "POST", true);
    date_says_nothing => (
        pause("HTTP/1.1 503 No\r\nretry-after: Sat, 05 Dec 2026 04:00:00 GMT\r\ncontent-length: 0\r\n\r\n"),
        "POST", true);
}

/// Guards against callers that wait for a service whose only server asks for more time than they
/// have: they are refused at once, as not run, and told a time that they can wait.
#[test]
fn caller_of_a_service_that_asks_for_time_is_refused_at_once() {
    support::block_on(async {
        let step = ServerStep::Send(
            "HTTP/1.1 503 No\r\nmarjoramwing-shed: 1\r\nretry-after: 60\r\ncontent-length: 0\r\n\r\n",
        );
        let server = backend::ScriptedServer::start(&[step]).await;
        let instance = support::TestInstance::start(&[server.address], DEADLINE_MS).await;
        for id in ["first", "second"] {
            let started = time::Instant::now();
            let response = instance.send("POST", "/open", id, "a body").await;
            assert_eq!((response.status, response.outcome()), (503, "not-run"));
            assert!(response.headers.contains_key(http::header::RETRY_AFTER));
            assert!(started.elapsed() < time::Duration::from_millis(DEADLINE_MS));
        }
        assert_eq!(server.runs().len(), 1);
    });
}

/// Guards against a key that stays claimed by a request which a server turned away unrun, so that its
/// repeat is refused, and against a repeat that reaches the server before the time it asked for.
#[test]
fn repeat_of_a_key_runs_once_after_the_time_that_the_server_asked_for() {
    support::block_on(async {
        let step = ServerStep::Send(
            "HTTP/1.1 503 No\r\nmarjoramwing-shed: 1\r\nretry-after: 0.7\r\ncontent-length: 0\r\n\r\n",
        );
        let server = backend::ScriptedServer::start(&[step]).await;
        let (_store, address) = claims::start_store().await;
        let servers = [server.address];
        let instance = support::TestInstance::start_with_store(address, &servers, DEADLINE_MS);
        let instance = instance.await;
        let turned_away = time::Instant::now();
        let mut served = Vec::new();
        while served.is_empty() && turned_away.elapsed() < time::Duration::from_secs(10) {
            let response = claims::send(&instance, &["a"]).await;
            match response.status {
                200 => served.push(turned_away.elapsed()),
                _ => assert_eq!((response.status, response.outcome()), (503, "not-run")),
            }
        }
        assert!(
            served.iter().all(|after| *after >= time::Duration::from_millis(600)),
            "{served:?}"
        );
        assert_eq!(server.runs().len(), 2, "turned away once, then run once");
        let repeat = claims::send(&instance, &["a"]).await;
        assert_eq!((repeat.status, repeat.outcome()), (409, "unknown"));
        assert_eq!(server.runs().len(), 2);
    });
}
