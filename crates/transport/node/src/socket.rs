//! Operations on a TCP connection that the runtime does not offer.

use std::io;
use std::mem;
use std::time;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

/// Time without an answer to what was sent, or to a keep-alive probe, after which a connection fails.
///
/// It also decides when keep-alive probes give up, whatever their number.
const SILENCE_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Time without traffic after which keep-alive probes are sent, and the interval between them.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Makes a connection fail soon after its peer stops answering at all.
pub fn detect_silence(stream: &tokio::net::TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new();
    let keepalive = keepalive.with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    // A connection without these is only noticed later.
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(SILENCE_TIMEOUT));
}

/// Makes the end of the connection a reset.
pub fn reset_on_close(stream: &tokio::net::TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(time::Duration::ZERO));
}

/// Longest wait for the peer to close.
const CLOSE_WAIT: time::Duration = time::Duration::from_millis(500);

/// Returns true if the peer has neither sent bytes that are still unread nor closed the
/// connection.
#[must_use]
pub fn is_idle(stream: &tokio::net::TcpStream) -> bool {
    let mut byte = [mem::MaybeUninit::uninit(); 1];
    let peeked = socket2::SockRef::from(stream).peek(&mut byte);
    peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// Closes without a reset, which could discard data that the peer has not read.
pub async fn close(stream: &mut tokio::net::TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut discarded = [0; 1_024];
    let drain = async { while matches!(stream.read(&mut discarded).await, Ok(1..)) {} };
    let _ = tokio::time::timeout(CLOSE_WAIT, drain).await;
}
