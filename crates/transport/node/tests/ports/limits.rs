//! Limits on request heads, bodies, idle time and connections.

use std::time;

use crate::harness;

#[tokio::test]
async fn large_head_is_refused() {
    let port = harness::CallerPort::start("max_header_bytes = 8192").await;
    let filler = "a".repeat(16 * 1024);
    let response = port.send(&format!("GET / HTTP/1.1\r\nHost: a\r\nX: {filler}\r\n\r\n")).await;
    assert!(response.starts_with("HTTP/1.1 431"), "{response}");
    assert_eq!(port.record.received().len(), 0);
}

#[tokio::test]
async fn many_headers_are_refused() {
    let port = harness::CallerPort::start("").await;
    let filler = "X: a\r\n".repeat(200);
    let response = port.send(&format!("GET / HTTP/1.1\r\nHost: a\r\n{filler}\r\n")).await;
    assert!(response.starts_with("HTTP/1.1 431"), "{response}");
    assert_eq!(port.record.received().len(), 0);
}

#[tokio::main(flavor = "current_thread")]
async fn check_closes(start: &str) {
    let port = harness::CallerPort::start("header_timeout_ms = 100").await;
    let response = port.send(start).await;
    assert!(!response.contains(" 200 "), "{response}");
    assert_eq!(port.shared.metrics.open_requests.get(), 0);
    assert_eq!(port.record.received().len(), 0);
}

marjoramwing_testing::cases! { check_closes:
    connection_without_data => ("");
    part_of_an_http2_preface => ("PRI * HTTP/2.0\r\n");
    part_of_a_request_line => ("GET / HT");
    part_of_a_head => ("GET / HTTP/1.1\r\nHost: a\r\n");
}

const PARTIAL_REQUEST: &str =
    "POST /slow HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 4\r\n\r\nab";

#[tokio::test]
async fn stalled_body_times_out() {
    let port = harness::CallerPort::start("body_pause_ms = 100").await;
    let response = port.send(PARTIAL_REQUEST).await;
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    assert!(response.contains("marjoramwing-outcome: "), "{response}");
    assert_eq!(port.record.received().len(), 0);
    port.check_serves().await;
}

/// Guards against the loss of a request that was sent before one whose body stalls.
#[tokio::test]
async fn request_before_a_stalled_body_is_answered() {
    let port = harness::CallerPort::start("pipelined = 16\nbody_pause_ms = 100").await;
    let response = port.send(&format!("{KEEP_ALIVE_REQUEST}{PARTIAL_REQUEST}")).await;
    let (first, second) = response.split_once("whole").unwrap();
    assert!(first.starts_with("HTTP/1.1 200"), "{response}");
    assert!(second.starts_with("HTTP/1.1 408"), "{response}");
    assert!(second.contains("connection: close\r\n"), "{response}");
    assert_eq!(port.record.only().target, "/kept");
}

#[tokio::test]
async fn body_that_stalls_within_the_idle_timeout_is_served() {
    let port = harness::CallerPort::start("body_pause_ms = 600000").await;
    let mut stream = port.connect().await;
    stream.write(PARTIAL_REQUEST).await;
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    stream.write("cd").await;
    let response = stream.read_to_end().await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert_eq!(port.record.only().body, "abcd");
}

#[tokio::main(flavor = "current_thread")]
async fn check_large_body(framing: &str, body: &str) {
    let port = harness::CallerPort::start("").await;
    let response = port
        .send(&format!(
            "POST /shop HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\
             Authorization: Bearer {}\r\n{framing}\r\n\r\n{body}",
            harness::KEY
        ))
        .await;
    let status: u16 = response[9..12].parse().unwrap();
    assert!(status >= 400, "{response}");
    assert!(response.contains("marjoramwing-outcome: "), "{response}");
    assert_eq!(port.record.received().len(), 0);
    port.check_serves().await;
}

marjoramwing_testing::cases! { check_large_body:
    large_body_by_length => ("Content-Length: 101", &"a".repeat(101));
    large_body_by_chunks =>
        ("Transfer-Encoding: chunked", &format!("65\r\n{}\r\n0\r\n\r\n", "a".repeat(101)));
}

const KEEP_ALIVE_REQUEST: &str = "GET /kept HTTP/1.1\r\nHost: a\r\n\r\n";

#[tokio::test]
async fn connection_over_the_limit_is_refused_as_not_run() {
    let port = harness::CallerPort::start("max_connections = 1").await;
    let mut first = port.connect().await;
    first.write(KEEP_ALIVE_REQUEST).await;
    first.read_until("whole").await;
    let response = port.send("GET /over HTTP/1.1\r\nHost: a\r\n\r\n").await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("marjoramwing-outcome: not-run"), "{response}");
    assert!(response.ends_with(r#""outcome":"not-run"}"#), "{response}");
    assert_eq!(port.shared.metrics.refused_connections.get(), 1);
    assert_eq!(port.record.only().target, "/kept");
    drop(first);
    while port.shared.metrics.caller_connections.get() > 0 {
        tokio::time::sleep(time::Duration::from_millis(1)).await;
    }
    port.check_serves().await;
}

#[tokio::test]
async fn second_connection_within_the_limit_is_served() {
    let port = harness::CallerPort::start("max_connections = 2").await;
    let mut first = port.connect().await;
    first.write(KEEP_ALIVE_REQUEST).await;
    first.read_until("whole").await;
    port.check_serves().await;
}

#[tokio::test]
async fn http2_is_served_by_prior_knowledge_with_the_same_checks() {
    let port = harness::CallerPort::start("").await;
    let stream = tokio::net::TcpStream::connect(port.address).await.unwrap();
    let executor = hyper_util::rt::TokioExecutor::new();
    let io = hyper_util::rt::TokioIo::new(stream);
    let handshake = hyper::client::conn::http2::handshake(executor, io);
    let (mut sender, connection) = handshake.await.unwrap();
    tokio::spawn(connection);
    let mut statuses = Vec::new();
    for path in ["/", "/a/../b", "/shop"] {
        let request = http::Request::get(format!("http://a{path}"));
        let request = request.body(axum::body::Body::empty()).unwrap();
        statuses.push(sender.send_request(request).await.unwrap().status().as_u16());
    }
    assert_eq!(statuses, [200, 400, 401]);
    assert_eq!(port.record.only().headers["host"], "a");
}
