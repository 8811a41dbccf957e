//! HTTP version detection with a timeout.
//!
//! Hyper's header read timeout starts only once the HTTP version is known, so
//! the wait for the bytes that determine it is limited here. Without this, a
//! caller that sends nothing would keep a connection open forever.

use std::io;
use std::time;

/// First bytes of an HTTP/2 connection (RFC 9113, section 3.4).
const HTTP2_PREFACE: &[u8; 24] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// Delay before a partial preface is peeked at again.
const PEEK_DELAY: time::Duration = time::Duration::from_millis(10);

/// Waits until enough bytes have arrived to determine the HTTP version.
///
/// # Errors
///
/// Returns an error when the caller closes the connection or the timeout expires first.
pub async fn wait_for_version(
    stream: &tokio::net::TcpStream,
    timeout: time::Duration,
) -> io::Result<()> {
    match tokio::time::timeout(timeout, peek_preface(stream)).await {
        Ok(result) => result,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

async fn peek_preface(stream: &tokio::net::TcpStream) -> io::Result<()> {
    let mut bytes = [0; HTTP2_PREFACE.len()];
    loop {
        let length = stream.peek(&mut bytes).await?;
        if length == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if length == bytes.len() || bytes[..length] != HTTP2_PREFACE[..length] {
            return Ok(());
        }
        tokio::time::sleep(PEEK_DELAY).await;
    }
}
