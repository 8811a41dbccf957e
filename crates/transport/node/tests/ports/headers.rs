//! Hop-by-hop headers, internal headers and team keys are not forwarded.

use crate::harness;

#[tokio::test]
async fn hop_by_hop_and_forged_headers_stop_here() {
    let port = harness::CallerPort::start("").await;
    let request = format!(
        "GET /shop HTTP/1.1\r\nHost: a\r\nConnection: close, X-Hop, Host\r\nX-Hop: 1\r\n\
         Keep-Alive: timeout=5\r\nProxy-Connection: keep-alive\r\nTE: trailers\r\n\
         Proxy-Authorization: Basic abc\r\nMarjoramwing-Team: forged\r\n\
         marjoramwing-deadline-ms: 1\r\nmarjoramwing-attempt: forged\r\nmarjoramwing-other: 1\r\nX-End-To-End: 1\r\n\
         Authorization: Bearer {}\r\n\r\n",
        harness::KEY
    );
    let answer = port.send(&request).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let seen = port.record.only();
    let mut names: Vec<_> = seen.headers.keys().map(http::HeaderName::as_str).collect();
    names.sort_unstable();
    let own = ["marjoramwing-attempt", "marjoramwing-deadline-ms", "marjoramwing-team"];
    assert_eq!(names, ["host", own[0], own[1], own[2], "x-end-to-end"]);
    assert_ne!(seen.headers["marjoramwing-attempt"], "forged");
    assert_eq!(seen.headers["marjoramwing-team"], "etna");
    assert_ne!(seen.headers["marjoramwing-deadline-ms"], "1");
    assert_eq!(seen.headers["host"], "a");
}

#[tokio::test]
async fn headers_of_a_backend_server_stop_here() {
    let port = harness::CallerPort::start("").await;
    let answer = port.send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").await;
    let lower = answer.to_ascii_lowercase();
    for name in ["x-hop:", "keep-alive:", "proxy-authenticate:", "marjoramwing-"] {
        assert!(!lower.contains(name), "{name} in {answer}");
    }
    assert!(lower.contains("x-end-to-end: 1"), "{answer}");
    assert!(answer.ends_with("\r\n\r\nwhole"), "{answer}");
}

#[tokio::main(flavor = "current_thread")]
async fn check_unsupported(request: &str) {
    let port = harness::CallerPort::start("").await;
    let rest = format!("Host: a\r\nConnection: close\r\nX-Marjoramwing-Key: {}", harness::KEY);
    let answer = port.send(&format!("{request}{rest}\r\n\r\n")).await;
    assert!(answer.starts_with("HTTP/1.1 501"), "{answer}");
    assert!(answer.contains("marjoramwing-outcome: not-run"), "{answer}");
    assert!(!answer.contains(harness::KEY), "{answer}");
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
    let answer = port.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n").await;
    assert!(answer.to_ascii_lowercase().contains("connection: close\r\n"), "{answer}");
    assert!(answer.ends_with("whole"), "{answer}");
}
