//! Routing and backend servers interpret the path and host of a request alike.

use std::collections;

use marjoramwing_node::callers::target;
use proptest::prelude::*;
use rand::RngExt;

use crate::harness;

#[tokio::main(flavor = "current_thread")]
async fn check_refused(request: &str) {
    let port = harness::CallerPort::start("").await;
    let response = port.send(&format!("{request}Connection: close\r\n\r\n")).await;
    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
    assert!(response.contains("marjoramwing-outcome: not-run"), "{response}");
    assert_eq!(port.record.received().len(), 0);
    port.check_serves().await;
}

marjoramwing_testing::cases! { check_refused:
    dot_segments => ("GET /open/../shop HTTP/1.1\r\nHost: a\r\n");
    escaped_dot_segments => ("GET /open/%2e%2E/shop HTTP/1.1\r\nHost: a\r\n");
    dot_segments_with_parameters => ("GET /open/..;x/shop HTTP/1.1\r\nHost: a\r\n");
    escaped_slash => ("GET /open%2fshop HTTP/1.1\r\nHost: a\r\n");
    escaped_backslash => ("GET /open%5Cshop HTTP/1.1\r\nHost: a\r\n");
    escaped_zero => ("GET /shop%00 HTTP/1.1\r\nHost: a\r\n");
    escape_without_digits => ("GET /shop%2 HTTP/1.1\r\nHost: a\r\n");
    double_slash => ("GET //shop HTTP/1.1\r\nHost: a\r\n");
    asterisk => ("OPTIONS * HTTP/1.1\r\nHost: a\r\n");
    no_host => ("GET / HTTP/1.1\r\n");
    two_hosts => ("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n");
    host_with_user => ("GET / HTTP/1.1\r\nHost: user@a\r\n");
    host_with_path => ("GET / HTTP/1.1\r\nHost: a/b\r\n");
    hosts_that_differ => ("GET http://b/ HTTP/1.1\r\nHost: a\r\n");
    ports_that_differ => ("GET http://a:81/ HTTP/1.1\r\nHost: a:80\r\n");
    target_with_user => ("GET http://user@a/ HTTP/1.1\r\nHost: a\r\n");
    other_scheme => ("GET ftp://a/ HTTP/1.1\r\nHost: a\r\n");
}

#[tokio::test]
async fn absolute_target_is_forwarded_as_a_path() {
    let port = harness::CallerPort::start("").await;
    port.send("GET http://a/b?c=%2F HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").await;
    let received = port.record.only();
    assert_eq!(
        (received.target.as_str(), &received.headers["host"]),
        ("/b?c=%2F", &"a".parse().unwrap())
    );
}

#[tokio::test]
async fn escaped_letters_do_not_evade_a_route() {
    let port = harness::CallerPort::start("").await;
    let response = port.send("GET /%73hop HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").await;
    assert!(response.starts_with("HTTP/1.1 401"), "{response}");
    assert_eq!(port.record.received().len(), 0);
}

#[tokio::test]
async fn other_escapes_are_normalized_and_forwarded() {
    let port = harness::CallerPort::start("").await;
    port.send("GET /a%20b%c3%a9/~%7e HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").await;
    assert_eq!(port.record.only().target, "/a%20b%C3%A9/~~");
}

/// Splits a path as the most lenient server would: percent-decoded, with slashes merged
/// and dot segments resolved.
fn lenient_segments(path: &str) -> Vec<Vec<u8>> {
    let mut segments = collections::VecDeque::new();
    let decoded = percent_decode(path.as_bytes());
    for segment in decoded.split(|byte| matches!(byte, b'/' | b'\\')) {
        let name = segment.split(|byte| *byte == b';').next().unwrap_or_default();
        match name {
            b".." => drop(segments.pop_back()),
            b"." => {}
            _ if segment.is_empty() => {}
            _ => segments.push_back(segment.to_vec()),
        }
    }
    segments.into()
}

fn percent_decode(path: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut rest = path;
    while let [first, after @ ..] = rest {
        let digits = after.get(..2).and_then(|digits| std::str::from_utf8(digits).ok());
        let escaped = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (first, escaped) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &after[2..];
            }
            _ => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    bytes
}

/// Returns true if routing matches the path to `/shop`, by its raw first segment.
fn routes_to_shop(path: &str) -> bool {
    path.split('/').nth(1) == Some("shop")
}

fn resolves_to_shop(path: &str) -> bool {
    lenient_segments(path).first().is_some_and(|segment| segment == b"shop")
}

const PATH_PATTERN: &str =
    r"(/|/|shop|%73hop|sho%70|\.|\.\.|%2e|%2E%2e|%2f|%5c|;|;a|a|%41|%25|%|\\){1,8}";

proptest! {
    #![proptest_config(ProptestConfig { cases: 4096, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn lenient_server_reads_the_routed_path(path in PATH_PATTERN) {
        if let Ok(routed) = target::canonical_path(&path) {
            prop_assert_eq!(
                routes_to_shop(&routed), resolves_to_shop(&routed), "{} as {}", path, routed);
            let again = target::canonical_path(&routed).map(|again| again == routed);
            prop_assert_eq!(again, Ok(true));
        }
    }
}

#[test]
fn without_canonicalization_a_lenient_server_reads_another_path() {
    let evasions = ["/%73hop", "//shop", "/a/../shop", "/a/%2e%2e/shop", "/shop%2fa", "/.;a/shop"];
    for path in evasions {
        assert_ne!(routes_to_shop(path), resolves_to_shop(path), "{path}");
    }
}

/// Results of one way of normalizing generated paths.
#[derive(Debug, Default, PartialEq)]
struct PathCounts {
    refused: usize,
    evaded: usize,
}

fn count_paths(normalize: impl Fn(&str) -> Option<String>) -> PathCounts {
    let tokens = ["/", "/", "shop", "a", "%73hop", ".", "..", "%2e", "%2f", "%20", "%41", "%7E"];
    let mut rng = rand_pcg::Pcg64Mcg::new(7);
    let mut counts = PathCounts::default();
    for _ in 0..10_000 {
        let length = rng.random_range(1..8);
        let rest = (0..length).map(|_| tokens[rng.random_range(0..tokens.len())]);
        let path: String = std::iter::once("/").chain(rest).collect();
        match normalize(&path) {
            Some(routed) if routes_to_shop(&routed) != resolves_to_shop(&routed) => {
                counts.evaded += 1;
            }
            Some(_) => {}
            None => counts.refused += 1,
        }
    }
    counts
}

#[test]
fn evading_paths_are_counted_for_each_normalization() {
    let raw = count_paths(|path| Some(path.to_owned()));
    let without_escapes = count_paths(|path| {
        let plain = !path.contains('%');
        plain.then(|| target::canonical_path(path).ok()).flatten().map(Into::into)
    });
    let canonical = count_paths(|path| target::canonical_path(path).ok().map(Into::into));
    assert_eq!(raw, PathCounts { refused: 0, evaded: 517 });
    assert_eq!(without_escapes, PathCounts { refused: 9492, evaded: 0 });
    assert_eq!(canonical, PathCounts { refused: 5322, evaded: 0 });
}
