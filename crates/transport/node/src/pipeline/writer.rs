//! Writing of responses.
//!
//! Invariant: a response whose body fails is never terminated as if it were
//! complete.

use std::time;

use http_body::Body as _;
use http_body_util::BodyExt;
use tokio::io::AsyncWriteExt;

/// Why a response could not be written completely.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum WriteFault {
    /// The caller disconnected or did not read within the timeout.
    #[display("the caller disconnected or did not read within the timeout")]
    Caller,
    /// The body of the response failed after a part of the response was sent.
    #[display("the response body failed: {_0}")]
    Body(#[error(not(source))] axum::Error),
    /// The body of the response failed before any of the response was sent.
    #[display("the response body failed before its first part: {_0}")]
    Unsent(#[error(not(source))] axum::Error),
}

/// Writes one response.
///
/// `is_head_request` omits the body; `is_last` adds `Connection: close`.
///
/// # Errors
///
/// Returns a fault when the connection must be closed at once, or, if nothing was sent, another
/// response must take the place of this one.
pub async fn write_response(
    stream: &mut tokio::net::TcpStream,
    response: axum::response::Response,
    is_head_request: bool,
    is_last: bool,
    timeout: time::Duration,
) -> Result<(), WriteFault> {
    let (parts, mut body) = response.into_parts();
    let has_body = !is_head_request && allows_body(parts.status);
    let length = body.size_hint().exact();
    let framing = match (has_body, length) {
        (false, _) => ResponseFraming::None,
        (true, Some(_)) => ResponseFraming::Length,
        (true, None) => ResponseFraming::Chunked,
    };
    let mut bytes = encode_head(&parts, length, framing, is_last);
    let mut is_started = false;
    if framing != ResponseFraming::None {
        while let Some(frame) = body.frame().await {
            let fault = if is_started { WriteFault::Body } else { WriteFault::Unsent };
            let Ok(part) = frame.map_err(fault)?.into_data() else { continue };
            push_part(&mut bytes, &part, framing);
            let is_end = body.is_end_stream();
            if !is_end || bytes.len() >= FLUSH_BYTES {
                is_started = true;
                flush(stream, &mut bytes, timeout).await?;
            }
            if is_end {
                break;
            }
        }
    }
    if framing == ResponseFraming::Chunked {
        bytes.extend_from_slice(b"0\r\n\r\n");
    }
    flush(stream, &mut bytes, timeout).await
}

/// Buffered size from which the last part of a body is written before the terminating
/// chunk is added.
const FLUSH_BYTES: usize = 64 * 1024;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ResponseFraming {
    None,
    Length,
    Chunked,
}

fn allows_body(status: http::StatusCode) -> bool {
    let without_body = [http::StatusCode::NO_CONTENT, http::StatusCode::NOT_MODIFIED];
    !status.is_informational() && !without_body.contains(&status)
}

fn encode_head(
    parts: &http::response::Parts,
    length: Option<u64>,
    framing: ResponseFraming,
    is_last: bool,
) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(1_024);
    let reason = parts.status.canonical_reason().unwrap_or("");
    bytes.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", parts.status.as_str()).as_bytes());
    let framing_headers = [http::header::CONTENT_LENGTH, http::header::TRANSFER_ENCODING];
    let sets_framing = framing != ResponseFraming::None;
    for (name, value) in &parts.headers {
        let is_replaced =
            framing_headers.contains(name) && sets_framing || *name == http::header::CONNECTION;
        if !is_replaced {
            push_header(&mut bytes, name.as_str(), value.as_bytes());
        }
    }
    match (framing, length) {
        (ResponseFraming::Length, Some(length)) => {
            push_header(&mut bytes, "content-length", length.to_string().as_bytes());
        }
        (ResponseFraming::Chunked, _) => push_header(&mut bytes, "transfer-encoding", b"chunked"),
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

fn push_part(bytes: &mut Vec<u8>, part: &[u8], framing: ResponseFraming) {
    if part.is_empty() {
        return;
    }
    if framing == ResponseFraming::Chunked {
        bytes.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
    }
    bytes.extend_from_slice(part);
    if framing == ResponseFraming::Chunked {
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
