//! The end of a connection on which requests have been read and not yet answered.

use std::io;
use std::sync;
use std::time;

use axum::response::IntoResponse;
use axum::routing;
use futures_util::StreamExt;
use futures_util::stream;
use marjoramwing_testing::cases;
use tokio::io::AsyncWriteExt;

use crate::harness;

/// Time limit that no test reaches.
const NO_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Length of the body of `/large`, more than the socket buffers of the test hold.
const LARGE_BYTES: usize = 1 << 20;

const GOOD: &str = "GET /good HTTP/1.1\r\nhost: a\r\n\r\n";
const SLOW: &str = "GET /slow HTTP/1.1\r\nhost: a\r\n\r\n";
const POST: &str = "POST /good HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nab";
const LAST: &str = "GET /good HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
const BAD_HEAD: &str = "GET /good HTTP/1.1\r\nhost : a\r\n\r\n";
const BAD_TARGET: &str = "GET /a/../b HTTP/1.1\r\nhost: a\r\n\r\n";
const BAD_CHUNK: &str =
    "POST /good HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n";
const FAILING: &str = "GET /failing HTTP/1.1\r\nhost: a\r\n\r\n";
const CUT: &str = "GET /cut HTTP/1.1\r\nhost: a\r\n\r\n";
const HELD: &str = "GET /held HTTP/1.1\r\nhost: a\r\n\r\n";
const PANICKING: &str = "GET /panicking HTTP/1.1\r\nhost: a\r\n\r\n";
const LARGE: &str = "GET /large HTTP/1.1\r\nhost: a\r\n\r\n";

/// Returns a body that sends `parts` and fails once `end` is ready.
fn failing_body(
    parts: &'static [&'static str],
    end: impl Future<Output = ()> + Send + 'static,
) -> axum::response::Response {
    let parts = parts.iter().map(|part| Ok(bytes::Bytes::from_static(part.as_bytes())));
    let fault = stream::once(async {
        end.await;
        Err(io::Error::from(io::ErrorKind::ConnectionReset))
    });
    axum::body::Body::from_stream(stream::iter(parts).chain(fault)).into_response()
}

/// Waits until the response has been taken over by its connection.
async fn wait_briefly() {
    tokio::time::sleep(time::Duration::from_millis(20)).await;
}

async fn respond_slowly() -> &'static str {
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    "slow"
}

async fn panic_within() {
    panic!("the handler of this test always panics");
}

fn make_router() -> axum::Router {
    axum::Router::new()
        .route("/good", routing::any(async |_: bytes::Bytes| "good"))
        .route("/slow", routing::get(respond_slowly))
        .route("/large", routing::get(async || "a".repeat(LARGE_BYTES)))
        .route("/failing", routing::get(async || failing_body(&[], wait_briefly())))
        .route("/cut", routing::get(async || failing_body(&["part"], wait_briefly())))
        .route("/panicking", routing::get(panic_within))
}

async fn start() -> harness::TestConnection {
    harness::TestConnection::start(make_router(), NO_TIMEOUT).await
}

/// Checks which of the pipelined requests are answered before the connection ends, and that the
/// last response, and no other, says that it ends.
#[tokio::main(flavor = "current_thread")]
async fn check_answers(requests: &[&str], expected: &[&str]) {
    let mut connection = start().await;
    connection.write(&requests.concat()).await;
    let text = connection.read_to_end().await;
    assert_eq!(harness::statuses(&text), expected, "{text}");
    let (_, last) = text.rsplit_once("HTTP/1.1 ").unwrap();
    assert!(last.contains("connection: close\r\n"), "{text}");
    assert_eq!(text.matches("connection: close\r\n").count(), 1, "{text}");
}

// Guards against the loss of requests in front of one that ends the connection, and of requests
// behind one whose response fails.
cases! { check_answers:
    requests_before_a_malformed_head => (&[SLOW, GOOD, BAD_HEAD, GOOD], &["200", "200", "400"]);
    requests_before_a_malformed_body => (&[SLOW, GOOD, BAD_CHUNK, GOOD], &["200", "200", "400"]);
    requests_before_the_last => (&[SLOW, GOOD, LAST, GOOD], &["200", "200", "200"]);
    requests_around_an_invalid_target =>
        (&[SLOW, BAD_TARGET, GOOD, LAST], &["200", "400", "200", "200"]);
    requests_over_the_limit_of_open_ones =>
        (&[SLOW, GOOD, GOOD, GOOD, GOOD, POST, GOOD, LAST], &["200"; 8]);
    requests_behind_a_response_that_fails_at_its_start =>
        (&[GOOD, FAILING, GOOD, LAST], &["200", "502", "200", "200"]);
    requests_behind_a_handler_that_panics =>
        (&[GOOD, PANICKING, GOOD, LAST], &["200", "500", "200", "200"]);
}

/// A response that fails midway must not look complete, and the responses before it must arrive.
#[tokio::test]
async fn response_cut_midway_ends_its_connection_after_those_before_it() {
    let mut connection = start().await;
    connection.write(&[SLOW, CUT, GOOD].concat()).await;
    let text = connection.read_to_end().await;
    assert_eq!(harness::statuses(&text), ["200", "200"], "{text}");
    assert!(text.ends_with("4\r\npart\r\n"), "{text}");
}

/// Guards against a reset that discards a complete response that the caller has not read yet,
/// because the response behind it was cut while bytes of the caller were unread.
#[tokio::test]
async fn response_before_a_cut_one_reaches_a_slow_caller() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(16 * 1024).unwrap();
    let caller = socket.connect(listener.local_addr().unwrap()).await.unwrap();
    let (stream, peer) = listener.accept().await.unwrap();
    // Holds the whole response, so that it is written before the caller has read it.
    socket2::SockRef::from(&stream).set_send_buffer_size(8 * LARGE_BYTES).unwrap();
    let cut = sync::Arc::new(tokio::sync::Notify::new());
    let handler_cut = sync::Arc::clone(&cut);
    let held = async move || failing_body(&["part"], async move { handler_cut.notified().await });
    let router = make_router().route("/held", routing::get(held));
    let mut connection = harness::TestConnection::serve(caller, stream, peer, router, NO_TIMEOUT);
    connection.write(&[LARGE, HELD].concat()).await;
    wait_briefly().await;
    connection.write(GOOD).await;
    cut.notify_one();
    wait_briefly().await;
    let text = connection.read_to_end().await;
    let (_, body) = text.split_once("\r\n\r\n").unwrap();
    let length = body.bytes().take_while(|byte| *byte == b'a').count();
    assert_eq!(length, LARGE_BYTES);
}

/// Guards against the loss of a request that has arrived on an idle connection when a planned
/// stop closes it.
#[tokio::main(flavor = "current_thread")]
async fn check_stop(requests: &[&str], expected: &[&str]) {
    let mut connection = start().await;
    // The connection waits for a request.
    wait_briefly().await;
    connection.write(&requests.concat()).await;
    connection.stop.cancel();
    let text = connection.read_to_end().await;
    assert_eq!(harness::statuses(&text), expected, "{text}");
    assert_eq!(text.matches("connection: close\r\n").count(), expected.len().min(1), "{text}");
}

cases! { check_stop:
    stop_beside_no_request => (&[], &[]);
    stop_beside_a_request => (&[GOOD], &["200"]);
    stop_beside_a_request_with_a_body => (&[POST], &["200"]);
    stop_beside_pipelined_requests => (&[SLOW, GOOD], &["200", "200"]);
    stop_beside_a_part_of_a_head => (&["GET /good HTTP/1.1\r\n"], &[]);
}

/// Guards against the loss of requests that a leaving instance has started: the last response
/// says that the connection ends, and requests that were not started count as not read.
#[tokio::test]
async fn leaving_answers_what_was_started_and_announces_the_close() {
    let mut connection = start().await;
    connection.write(&[SLOW, GOOD, POST].concat()).await;
    wait_briefly().await;
    connection.shared.leave();
    let text = connection.read_to_end().await;
    assert_eq!(harness::statuses(&text), ["200", "200"], "{text}");
    assert_eq!(text.matches("connection: close\r\n").count(), 1, "{text}");
    assert!(text.ends_with("good"), "{text}");
}

/// A caller that closes its sending side counts as gone: its close cannot be told from that of
/// the whole connection, and work for a caller that has gone must end.
#[tokio::test]
async fn half_closed_caller_counts_as_gone() {
    let mut connection = start().await;
    connection.write(SLOW).await;
    connection.caller.shutdown().await.unwrap();
    assert_eq!(connection.read_to_end().await, "");
}
