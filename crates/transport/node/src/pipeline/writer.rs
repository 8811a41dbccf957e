//! An answer on its way to the caller.
//!
//! Invariant: an answer whose body breaks off is never ended as if it were whole.

use std::time;

use http_body::Body as _;
use http_body_util::BodyExt;
use tokio::io::AsyncWriteExt;

/// Why an answer could not be written whole.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum WriteFault {
    /// The caller closed or took too long to read.
    #[display("the caller closed or does not read")]
    Caller,
    /// The answer's body broke off.
    #[display("the answer broke off: {_0}")]
    Body(#[error(not(source))] axum::Error),
}

/// Writes one answer; `is_last` tells the caller that the connection ends with it.
///
/// # Errors
///
/// Returns a fault when the connection must be closed at once.
pub async fn write_answer(
    stream: &mut tokio::net::TcpStream,
    answer: axum::response::Response,
    answers_head: bool,
    is_last: bool,
    timeout: time::Duration,
) -> Result<(), WriteFault> {
    let (parts, mut body) = answer.into_parts();
    let has_body = !answers_head && allows_body(parts.status);
    let length = body.size_hint().exact();
    let framing = match (has_body, length) {
        (false, _) => AnswerFraming::None,
        (true, Some(_)) => AnswerFraming::Length,
        (true, None) => AnswerFraming::Chunked,
    };
    let mut bytes = make_head(&parts, length, framing, is_last);
    if framing != AnswerFraming::None {
        while let Some(frame) = body.frame().await {
            let Ok(part) = frame.map_err(WriteFault::Body)?.into_data() else { continue };
            push_part(&mut bytes, &part, framing);
            let is_end = body.is_end_stream();
            if !is_end || bytes.len() >= FLUSH_BYTES {
                flush(stream, &mut bytes, timeout).await?;
            }
            if is_end {
                break;
            }
        }
    }
    if framing == AnswerFraming::Chunked {
        bytes.extend_from_slice(b"0\r\n\r\n");
    }
    flush(stream, &mut bytes, timeout).await
}

/// Bytes that are gathered before they are written.
const FLUSH_BYTES: usize = 64 * 1024;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AnswerFraming {
    None,
    Length,
    Chunked,
}

fn allows_body(status: http::StatusCode) -> bool {
    let none = [http::StatusCode::NO_CONTENT, http::StatusCode::NOT_MODIFIED];
    !status.is_informational() && !none.contains(&status)
}

fn make_head(
    parts: &http::response::Parts,
    length: Option<u64>,
    framing: AnswerFraming,
    is_last: bool,
) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(1_024);
    let reason = parts.status.canonical_reason().unwrap_or("");
    bytes.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", parts.status.as_str()).as_bytes());
    let own = [http::header::CONTENT_LENGTH, http::header::TRANSFER_ENCODING];
    let sets_framing = framing != AnswerFraming::None;
    for (name, value) in &parts.headers {
        let is_own = own.contains(name) && sets_framing || *name == http::header::CONNECTION;
        if !is_own {
            push_header(&mut bytes, name.as_str(), value.as_bytes());
        }
    }
    match (framing, length) {
        (AnswerFraming::Length, Some(length)) => {
            push_header(&mut bytes, "content-length", length.to_string().as_bytes());
        }
        (AnswerFraming::Chunked, _) => push_header(&mut bytes, "transfer-encoding", b"chunked"),
        _ => {}
    }
    if is_last {
        push_header(&mut bytes, "connection", b"close");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}

fn push_header(bytes: &mut Vec<u8>, name: &str, value: &[u8]) {
    bytes.extend_from_slice(name.as_bytes());
    bytes.extend_from_slice(b": ");
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n");
}

fn push_part(bytes: &mut Vec<u8>, part: &[u8], framing: AnswerFraming) {
    if part.is_empty() {
        return;
    }
    if framing == AnswerFraming::Chunked {
        bytes.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
    }
    bytes.extend_from_slice(part);
    if framing == AnswerFraming::Chunked {
        bytes.extend_from_slice(b"\r\n");
    }
}

async fn flush(
    stream: &mut tokio::net::TcpStream,
    bytes: &mut Vec<u8>,
    timeout: time::Duration,
) -> Result<(), WriteFault> {
    let written = tokio::time::timeout(timeout, stream.write_all(bytes)).await;
    bytes.clear();
    match written {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) | Err(_) => Err(WriteFault::Caller),
    }
}
