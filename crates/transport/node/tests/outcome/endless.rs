//! Backend servers that send bytes that are no response, without end, until the connection is
//! closed.
//!
//! Each case fails by not ending: the server sends until the instance closes the connection.

use crate::backend;
use crate::backend::ServerStep;
use crate::support;
use marjoramwing_testing::cases;

/// Deadline that no case reaches, so that only a bound on size ends the exchange.
const NO_DEADLINE_MS: u64 = 600_000;
const DEADLINE_MS: u64 = 400;

const STATUS_LINE: ServerStep = ServerStep::Flood { prefix: "HTTP/1.1 200 ", repeated: "a" };
const HEADER_LINE: ServerStep =
    ServerStep::Flood { prefix: "HTTP/1.1 200 OK\r\nx-a: ", repeated: "a" };
const HEADERS: ServerStep =
    ServerStep::Flood { prefix: "HTTP/1.1 200 OK\r\n", repeated: "x-a: a\r\n" };
const NO_HTTP: ServerStep = ServerStep::Flood { prefix: "", repeated: "no response " };
const EMPTY_LINES: ServerStep = ServerStep::Flood { prefix: "", repeated: "\r\n" };
const INFORMATIONAL: ServerStep =
    ServerStep::Flood { prefix: "", repeated: "HTTP/1.1 103 Early Hints\r\n\r\n" };
const HEAD_DRIP: ServerStep = ServerStep::Drip { prefix: "HTTP/1.1 200 OK\r\nx-a: " };
const CHUNK_SIZE: ServerStep = ServerStep::Flood { prefix: CHUNKED_HEAD, repeated: "0" };
const CHUNK_EXTENSION: ServerStep = ServerStep::Flood {
    prefix: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;a",
    repeated: "a",
};
const TRAILERS: ServerStep = ServerStep::Flood {
    prefix: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
    repeated: "x-a: a\r\n",
};
const CHUNKS: ServerStep = ServerStep::Flood { prefix: CHUNKED_HEAD, repeated: "1\r\na\r\n" };
const BODY_DRIP: ServerStep =
    ServerStep::Drip { prefix: "HTTP/1.1 200 OK\r\ncontent-length: 1000000000\r\n\r\n" };
const LONG_BODY: ServerStep = ServerStep::Flood {
    prefix: "HTTP/1.1 200 OK\r\ncontent-length: 1000000000000\r\n\r\n",
    repeated: "a",
};
const BEYOND_LENGTH: ServerStep = ServerStep::Flood {
    prefix: "HTTP/1.1 200 OK\r\ncontent-length: 15\r\n\r\nanswer to first",
    repeated: "a",
};
const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Starts a server that follows `step` in a pool before that of a healthy server.
async fn start(
    step: ServerStep,
    deadline_ms: u64,
) -> (support::TestInstance, backend::ScriptedServer, backend::ScriptedServer) {
    let faulty = backend::ScriptedServer::start(&[step]).await;
    let healthy = backend::ScriptedServer::start(&[]).await;
    let addresses = [faulty.address, healthy.address];
    let instance = support::TestInstance::start(&addresses, deadline_ms).await;
    (instance, faulty, healthy)
}

/// Checks that the faulty server's connections are closed and its slots free.
async fn check_released(instance: &support::TestInstance, faulty: &backend::ScriptedServer) {
    support::wait_until(|| faulty.closed() == faulty.connections()).await;
    support::wait_until(|| instance.service().in_flight(faulty.address) == 0).await;
    assert_eq!(instance.service().connections.idle_count(faulty.address), 0);
}

/// Checks that a request that may run once ends as unknown, and one that may be repeated is
/// served by the other server.
fn check_head(step: ServerStep, deadline_ms: u64) {
    support::block_on(async {
        let (instance, faulty, healthy) = start(step, deadline_ms).await;
        let response = instance.send("POST", "/open", "first", "a body").await;
        assert!([502, 504].contains(&response.status), "{}", response.status);
        assert_eq!(response.outcome(), "unknown");
        assert_eq!((faulty.runs().len(), healthy.runs().len()), (1, 0));
        check_released(&instance, &faulty).await;

        let (instance, faulty, healthy) = start(step, deadline_ms).await;
        let response = instance.send("GET", "/open", "first", "").await;
        assert_eq!((response.status, response.outcome()), (200, "none"));
        assert_eq!(response.body.unwrap(), "answer to first");
        assert_eq!((faulty.runs().len(), healthy.runs().len()), (1, 1));
        check_released(&instance, &faulty).await;
    });
}

cases! { check_head:
    endless_status_line => (STATUS_LINE, NO_DEADLINE_MS);
    endless_header_line => (HEADER_LINE, NO_DEADLINE_MS);
    endless_headers => (HEADERS, NO_DEADLINE_MS);
    endless_bytes_that_are_not_http => (NO_HTTP, NO_DEADLINE_MS);
    endless_empty_lines => (EMPTY_LINES, NO_DEADLINE_MS);
    endless_informational_responses => (INFORMATIONAL, NO_DEADLINE_MS);
    head_of_one_byte_at_a_time => (HEAD_DRIP, DEADLINE_MS);
}

/// Checks that a response that does not end never looks complete: it is aborted, or the
/// connection ends before its head.
fn check_body(step: ServerStep, deadline_ms: u64) {
    support::block_on(async {
        let (instance, faulty, _healthy) = start(step, deadline_ms).await;
        let request = support::make_request("GET", "/open", "first", axum::body::Body::empty());
        let response = instance.try_call(request).await;
        assert!(response.is_none_or(|response| response.body.is_none()));
        check_released(&instance, &faulty).await;
    });
}

cases! { check_body:
    endless_chunk_size => (CHUNK_SIZE, DEADLINE_MS);
    endless_chunk_extension => (CHUNK_EXTENSION, NO_DEADLINE_MS);
    endless_trailers => (TRAILERS, NO_DEADLINE_MS);
    endless_chunks => (CHUNKS, DEADLINE_MS);
    body_of_one_byte_at_a_time => (BODY_DRIP, DEADLINE_MS);
    body_of_a_terabyte => (LONG_BODY, DEADLINE_MS);
}

#[test]
fn bytes_beyond_the_length_reach_no_caller() {
    support::block_on(async {
        let (instance, faulty, _healthy) = start(BEYOND_LENGTH, NO_DEADLINE_MS).await;
        let first = instance.send("POST", "/open", "first", "a body").await;
        assert_eq!((first.status, first.body.unwrap().as_ref()), (200, &b"answer to first"[..]));
        let second = instance.send("POST", "/open", "second", "a body").await;
        assert_eq!(second.body.unwrap(), "answer to second");
        support::wait_until(|| faulty.closed() >= 1).await;
        assert_eq!(instance.service().in_flight(faulty.address), 0);
    });
}

/// Other requests at the same instance are served while a server floods it.
#[test]
fn flood_delays_no_other_request() {
    support::block_on(async {
        let (instance, faulty, healthy) = start(CHUNKS, DEADLINE_MS).await;
        let flooded = instance.send("GET", "/open", "flooded", "");
        let others = async {
            support::wait_until(|| faulty.runs().len() == 1).await;
            for _ in 0..20 {
                let response = instance.send("GET", "/open", "other", "").await;
                assert_eq!((response.status, response.body.is_some()), (200, true));
            }
        };
        let (flooded, ()) = futures_util::future::join(flooded, others).await;
        assert_eq!(flooded.body, None);
        assert_eq!(faulty.runs().len() + healthy.runs().len(), 21);
    });
}
