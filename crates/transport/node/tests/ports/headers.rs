//! Hop-by-hop headers, internal headers and team keys are not forwarded.

use crate::harness;

#[tokio::test]
async fn hop_by_hop_and_forged_headers_are_not_forwarded() {
    let port = harness::CallerPort::start("").await;
    let request = format!(
        "GET /shop HTTP/1.1\r\nHost: a\r\nConnection: close, X-Hop, Host\r\nX-Hop: 1\r\n\
         Keep-Alive: timeout=5\r\nProxy-Connection: keep-alive\r\nTE: trailers\r\n\
         Proxy-Authorization: Basic abc\r\nMarjoramwing-Team: forged\r\n\
         marjoramwing-deadline-ms: 1\r\nmarjoramwing-attempt: forged\r\nmarjoramwing-other: 1\r\nX-End-To-End: 1\r\n\
         Authorization: Bearer {}\r\n\r\n",
        harness::KEY
    );
    let response = port.send(&request).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let received = port.record.only();
    let mut names: Vec<_> = received.headers.keys().map(http::HeaderName::as_str).collect();
    names.sort_unstable();
    let internal = ["marjoramwing-attempt", "marjoramwing-deadline-ms", "marjoramwing-team"];
    assert_eq!(names, ["host", internal[0], internal[1], internal[2], "x-end-to-end"]);
    assert_ne!(received.headers["marjoramwing-attempt"], "forged");
    assert_eq!(received.headers["marjoramwing-team"], "etna");
    assert_ne!(received.headers["marjoramwing-deadline-ms"], "1");
    assert_eq!(received.headers["host"], "a");
}

#[tokio::test]
async fn hop_by_hop_and_internal_headers_of_a_backend_server_are_not_forwarded() {
    let port = harness::CallerPort::start("").await;
    let response = port.send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").await;
    let lower = response.to_ascii_lowercase();
    for name in ["x-hop:", "keep-alive:", "proxy-authenticate:", "marjoramwing-"] {
        assert!(!lower.contains(name), "{name} in {response}");
    }
    assert!(lower.contains("x-end-to-end: 1"), "{response}");
    assert!(response.ends_with("\r\n\r\nwhole"), "{response}");
}

#[tokio::main(flavor = "current_thread")]
async fn check_unsupported(request: &str) {
    let port = harness::CallerPort::start("").await;
    let rest = format!("Host: a\r\nConnection: close\r\nX-Marjoramwing-Key: {}", harness::KEY);
    let response = port.send(&format!("{request}{rest}\r\n\r\n")).await;
    assert!(response.starts_with("HTTP/1.1 501"), "{response}");
    assert!(response.contains("marjoramwing-outcome: not-run"), "{response}");
    assert!(!response.contains(harness::KEY), "{response}");
    assert_eq!(port.record.received().len(), 0);
    port.check_serves().await;
}

marjoramwing_testing::cases! { check_unsupported:
    trace_echoes_no_key => ("TRACE /shop HTTP/1.1\r\n");
    connect_is_refused => ("CONNECT a:80 HTTP/1.1\r\n");
    upgrade_is_refused => ("GET / HTTP/1.1\r\nUpgrade: websocket\r\n");
    http2_upgrade_is_refused => ("GET / HTTP/1.1\r\nUpgrade: h2c\r\n");
}

#[tokio::test]
async fn leaving_instance_asks_callers_to_close() {
    let port = harness::CallerPort::start("").await;
    port.shared.leave();
    let response = port.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n").await;
    assert!(response.to_ascii_lowercase().contains("connection: close\r\n"), "{response}");
    assert!(response.ends_with("whole"), "{response}");
}
