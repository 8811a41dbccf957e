//! Request smuggling: ambiguous framing never makes a backend server receive a request
//! from the body of another one.

use crate::harness;

const SMUGGLED: &str = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n";

/// Sends a request with this framing and body, followed by a second request.
async fn send_framed(framing: &str, body: &str) -> (harness::CallerPort, String) {
    let port = harness::CallerPort::start("").await;
    let head = format!("POST /first HTTP/1.1\r\nHost: a\r\n{framing}\r\n\r\n");
    let response = port.send(&format!("{head}{body}{SMUGGLED}")).await;
    port.check_serves().await;
    (port, response)
}

/// Checks that a request with this framing is refused and reaches no backend server.
#[tokio::main(flavor = "current_thread")]
async fn check_refused(framing: &str, body: &str, status: u16) {
    let (port, response) = send_framed(framing, body).await;
    assert!(response.starts_with(&format!("HTTP/1.1 {status}")), "{response}");
    assert_eq!(response.matches("HTTP/1.1 ").count(), 1, "{response}");
    assert_eq!(port.record.only().target, "/next");
}

marjoramwing_testing::cases! { check_refused:
    differing_lengths => ("Content-Length: 4\r\nContent-Length: 5", "abcd", 400);
    list_of_lengths => ("Content-Length: 4, 4", "abcd", 400);
    signed_length => ("Content-Length: +4", "abcd", 400);
    negative_length => ("Content-Length: -1", "", 400);
    unknown_coding => ("Transfer-Encoding: xchunked", "0\r\n\r\n", 400);
    coding_after_chunked => ("Transfer-Encoding: chunked, identity", "0\r\n\r\n", 400);
    coding_before_chunked => ("Transfer-Encoding: gzip, chunked", "0\r\n\r\n", 501);
    chunked_twice => ("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "0\r\n\r\n", 501);
    space_before_colon => ("Content-Length : 4", "abcd", 400);
    space_before_coding_colon => ("Transfer-Encoding : chunked", "0\r\n\r\n", 400);
    folded_header => ("X-Folded: a\r\n Transfer-Encoding: chunked", "0\r\n\r\n", 400);
    bare_carriage_return => ("X-Bare: a\rTransfer-Encoding: chunked", "0\r\n\r\n", 400);
    zero_byte => ("X-Zero: a\0b", "", 400);
    chunk_size_with_letters => ("Transfer-Encoding: chunked", "zz\r\nabcd\r\n0\r\n\r\n", 400);
    signed_chunk_size => ("Transfer-Encoding: chunked", "-1\r\nabcd\r\n0\r\n\r\n", 400);
    prefixed_chunk_size => ("Transfer-Encoding: chunked", "0x4\r\nabcd\r\n0\r\n\r\n", 400);
    huge_chunk_size => ("Transfer-Encoding: chunked", "fffffffffffffffff\r\nabcd\r\n0\r\n\r\n", 400);
    chunk_longer_than_its_size => ("Transfer-Encoding: chunked", "2\r\nabcd\r\n0\r\n\r\n", 400);
}

/// Checks that a request with Content-Length and Transfer-Encoding is decoded as chunked
/// and that the connection is closed after it.
#[tokio::main(flavor = "current_thread")]
async fn check_read_by_chunks(framing: &str) {
    let (port, response) = send_framed(framing, "3\r\nabc\r\n0\r\n\r\n").await;
    assert_eq!(response.matches("HTTP/1.1 ").count(), 1, "{response}");
    let received = port.record.received();
    let targets: Vec<_> = received.iter().map(|request| request.target.as_str()).collect();
    assert_eq!(targets, ["/first", "/next"]);
    assert_eq!(received[0].body, "abc");
}

marjoramwing_testing::cases! { check_read_by_chunks:
    length_before_chunks => ("Content-Length: 6\r\nTransfer-Encoding: chunked");
    length_after_chunks => ("Transfer-Encoding: chunked\r\nContent-Length: 6");
}

#[tokio::test]
async fn repeated_equal_lengths_are_forwarded_as_one() {
    let framing = "Connection: close\r\nContent-Length: 4\r\nContent-Length: 4";
    let (port, _) = send_framed(framing, "abcd").await;
    let received = port.record.received();
    assert_eq!(received[0].body, "abcd");
    assert_eq!(received[0].headers.get_all("content-length").iter().count(), 1);
    assert_eq!(received.len(), 2);
}

#[tokio::test]
async fn bare_line_feed_ends_a_header() {
    let framing = "Connection: close\r\nX-First: a\nmarjoramwing-team: forged";
    let (port, _) = send_framed(framing, "").await;
    let first = &port.record.received()[0];
    assert_eq!(first.headers["x-first"], "a");
    assert!(!first.headers.contains_key("marjoramwing-team"));
}

#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
    let port = harness::CallerPort::start("").await;
    let one = "GET /one HTTP/1.1\r\nHost: a\r\n\r\n";
    let two = "GET /two HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    let response = port.send(&format!("{one}{two}")).await;
    assert_eq!(response.matches("HTTP/1.1 200").count(), 2, "{response}");
    let targets: Vec<_> =
        port.record.received().into_iter().map(|received| received.target).collect();
    assert_eq!(targets, ["/one", "/two"]);
}
