//! Framing of requests: heads, Content-Length and chunked bodies.

use marjoramwing_node::pipeline::body;
use marjoramwing_node::pipeline::head;

const MAX_HEAD: usize = 1_024;

fn check_framing(lines: &str, expected: Result<head::BodyFraming, head::HeadFault>) {
    let text = format!("POST /a HTTP/1.1\r\nHost: a\r\n{lines}\r\n");
    let parsed = head::read_head(text.as_bytes(), MAX_HEAD);
    assert_eq!(parsed.map(|head| head.expect("the head is complete").body), expected);
}

marjoramwing_testing::cases! { check_framing:
    no_body => ("", Ok(head::BodyFraming::Length(0)));
    length => ("Content-Length: 12\r\n", Ok(head::BodyFraming::Length(12)));
    chunked => ("Transfer-Encoding: chunked\r\n", Ok(head::BodyFraming::Chunked));
    two_lengths => ("Content-Length: 1\r\nContent-Length: 1\r\n", Err(head::HeadFault::Malformed));
    length_and_chunks => ("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
        Err(head::HeadFault::Malformed));
    signed_length => ("Content-Length: +1\r\n", Err(head::HeadFault::Malformed));
    empty_length => ("Content-Length:\r\n", Err(head::HeadFault::Malformed));
    space_before_the_colon => ("Content-Length : 1\r\n", Err(head::HeadFault::Malformed));
}

#[test]
fn head_is_read_once_it_is_complete() {
    let text = b"GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\nnext";
    for length in 0..text.len() - 4 {
        assert!(matches!(head::read_head(&text[..length], MAX_HEAD), Ok(None)), "{length}");
    }
    let head = head::read_head(text, MAX_HEAD).unwrap().unwrap();
    assert_eq!((head.length, head.is_last), (text.len() - 4, true));
}

#[test]
fn head_that_is_too_large_is_refused() {
    let text = format!("GET / HTTP/1.1\r\nA: {}\r\n\r\n", "x".repeat(MAX_HEAD));
    let parsed = head::read_head(text.as_bytes(), MAX_HEAD);
    assert_eq!(parsed.unwrap_err(), head::HeadFault::TooLarge);
    let parsed = head::read_head(&text.as_bytes()[..MAX_HEAD], MAX_HEAD);
    assert_eq!(parsed.unwrap_err(), head::HeadFault::TooLarge);
}

/// Decodes a body that arrives in pieces of `step` bytes.
///
/// Returns the decoded body and the bytes that follow it.
fn decode(
    framing: head::BodyFraming,
    text: &str,
    step: usize,
) -> Result<(String, String), body::BodyFault> {
    let mut decoder = body::BodyDecoder::new(framing);
    let (mut buffer, mut decoded) = (bytes::BytesMut::new(), Vec::new());
    for bytes in text.as_bytes().chunks(step) {
        buffer.extend_from_slice(bytes);
        while let Some(part) = decoder.next_part(&mut buffer)? {
            decoded.extend_from_slice(&part);
        }
    }
    assert!(decoder.is_ended());
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).unwrap();
    Ok((text(&decoded), text(&buffer)))
}

fn check_body(framing: head::BodyFraming, text: &str, expected: &str) {
    for step in 1..=text.len() {
        let (decoded, rest) = decode(framing, text, step).unwrap();
        assert_eq!((decoded.as_str(), rest.as_str()), (expected, "GET"), "step {step}");
    }
}

marjoramwing_testing::cases! { check_body:
    by_length => (head::BodyFraming::Length(3), "abcGET", "abc");
    by_chunks => (head::BodyFraming::Chunked, "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\nGET", "abcde");
    with_trailers => (head::BodyFraming::Chunked, "1\r\na\r\n0\r\nA: b\r\n\r\nGET", "a");
}

fn check_fault(text: &str) {
    assert_eq!(decode(head::BodyFraming::Chunked, text, 1).unwrap_err(), body::BodyFault::BadChunk);
}

marjoramwing_testing::cases! { check_fault:
    size_with_sign => ("+3\r\nabc\r\n0\r\n\r\n");
    size_without_digits => ("\r\nabc");
    line_feed_alone => ("3\nabc\r\n0\r\n\r\n");
    data_longer_than_the_chunk_size => ("3\r\nabcd\r\n0\r\n\r\n");
    size_line_without_end => (&"1".repeat(80));
    trailer_line_without_end => (&format!("0\r\n{}", "a".repeat(5_000)));
    trailers_without_end => (&format!("0\r\n{}", "x: a\r\n".repeat(3_000)));
}
