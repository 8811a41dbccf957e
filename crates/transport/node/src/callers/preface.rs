//! The first bytes of a caller's connection.
//!
//! The HTTP library bounds the wait for a request's head only once it knows
//! the protocol's version, so the wait for the bytes that tell it is bounded
//! here. Otherwise a caller that sends nothing would hold a connection for good.

use std::io;
use std::time;

/// First bytes of an HTTP/2 connection (RFC 9113, section 3.4).
const HTTP2_PREFACE: &[u8; 24] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// Pause between two looks at a preface that has arrived in part.
const PARTIAL_DELAY: time::Duration = time::Duration::from_millis(10);

/// Waits until the protocol's version can be told.
///
/// # Errors
///
/// Returns an error when the caller closes or the wait ends first.
pub async fn wait_for_version(
    stream: &tokio::net::TcpStream,
    timeout: time::Duration,
) -> io::Result<()> {
    match tokio::time::timeout(timeout, watch_bytes(stream)).await {
        Ok(result) => result,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

async fn watch_bytes(stream: &tokio::net::TcpStream) -> io::Result<()> {
    let mut bytes = [0; HTTP2_PREFACE.len()];
    loop {
        let length = stream.peek(&mut bytes).await?;
        if length == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if length == bytes.len() || bytes[..length] != HTTP2_PREFACE[..length] {
            return Ok(());
        }
        tokio::time::sleep(PARTIAL_DELAY).await;
    }
}
