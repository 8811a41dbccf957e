//! Request bodies are forwarded completely, limited in size, and sent again only if all of
//! the body is still available.

use crate::backend;
use crate::backend::ServerStep;
use crate::support;
use futures_util::stream;
use marjoramwing_testing::cases;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

const MAX_BUFFERED_BYTES: usize = 64 * 1024;
const MAX_BODY_BYTES: usize = 1 << 20;

/// Returns a body of unknown length.
fn unsized_body(length: usize) -> axum::body::Body {
    let part = bytes::Bytes::from(vec![b'a'; length]);
    axum::body::Body::from_stream(stream::iter([Ok::<_, std::io::Error>(part)]))
}

fn sized_body(length: usize) -> axum::body::Body {
    axum::body::Body::from(vec![b'a'; length])
}

fn check_body(
    body: axum::body::Body,
    steps: &[ServerStep],
    status: u16,
    outcome: &str,
    run_bytes: &[usize],
) {
    support::block_on(async {
        let faulty_server = backend::ScriptedServer::start(steps).await;
        let healthy_server = backend::ScriptedServer::start(&[]).await;
        let addresses = [faulty_server.address, healthy_server.address];
        let instance = support::TestInstance::start(&addresses, 10_000).await;
        let response = instance.call(support::make_request("POST", "/open", "first", body)).await;
        assert_eq!((response.status, response.outcome()), (status, outcome));
        let runs = faulty_server.runs().into_iter().chain(healthy_server.runs());
        assert_eq!(runs.map(|run| run.body.len()).collect::<Vec<_>>(), run_bytes);
    });
}

cases! { check_body:
    unsized_body_is_sent_with_its_length =>
        (unsized_body(MAX_BUFFERED_BYTES), &[], 200, "none", &[MAX_BUFFERED_BYTES]);
    unsized_body_over_the_buffer_size_needs_a_length =>
        (unsized_body(MAX_BUFFERED_BYTES + 1), &[], 411, "not-run", &[]);
    large_body_with_its_length_is_streamed =>
        (sized_body(MAX_BODY_BYTES), &[], 200, "none", &[MAX_BODY_BYTES]);
    body_over_the_route_limit_is_refused =>
        (sized_body(MAX_BODY_BYTES + 1), &[], 413, "not-run", &[]);
    buffered_body_is_sent_again_after_a_shed =>
        (sized_body(MAX_BUFFERED_BYTES), &[ServerStep::ShedAfterBody], 200, "none", &[MAX_BUFFERED_BYTES]);
    streamed_body_is_not_sent_again_after_a_shed =>
        (sized_body(MAX_BODY_BYTES), &[ServerStep::ShedAfterBody], 503, "not-run", &[]);
}

/// Guards against a status that promises "not run" for a request whose body paused after a part of it
/// was sent on: the backend server may work on that part.
#[test]
fn pause_within_a_body_that_is_sent_on_is_no_promise() {
    support::block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let servers = [listener.local_addr().unwrap()];
        let instance = support::TestInstance::start_on_platform(&servers, 4_000).await;
        let mut caller = tokio::net::TcpStream::connect(instance.address).await.unwrap();
        let head =
            "POST /open HTTP/1.1\r\nhost: a\r\nrequest-id: one\r\ncontent-length: 200000\r\n\r\n";
        caller.write_all(head.as_bytes()).await.unwrap();
        caller.write_all(&[b'x'; 100_000]).await.unwrap();
        let (mut server, _) = listener.accept().await.unwrap();
        let mut received = vec![0; 50_000];
        server.read_exact(&mut received).await.unwrap();
        let mut response = [0; 12];
        caller.read_exact(&mut response).await.unwrap();
        assert_eq!(response.escape_ascii().to_string(), "HTTP/1.1 504");
    });
}
