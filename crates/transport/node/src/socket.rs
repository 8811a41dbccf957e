//! Operations on a TCP connection that the runtime does not offer.

use std::io;
use std::mem;
use std::time;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

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
