//! Operations on a TCP connection that the runtime does not offer.

use std::io;
use std::mem;
use std::sync::atomic;
use std::time;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

/// Time without traffic after which keep-alive probes are sent, and the interval between them.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Unanswered probes after which a connection fails, unless the limit for unacknowledged bytes is
/// shorter: that also decides when probes give up, whatever their number.
const KEEPALIVE_PROBES: u32 = 2;
/// Time after which a connection with a short request that is not acknowledged fails.
const SHORT_ACK_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Longest request to which that applies, in bytes.
///
/// The limit also counts the time for which a peer takes no bytes since its buffer is full, so it must
/// not apply to what may fill one.
const MAX_SHORT_BYTES: usize = 4 * 1024;

/// Makes an idle connection fail soon after its peer stops answering at all.
pub fn probe_idle(stream: &tokio::net::TcpStream) {
    let keepalive = socket2::TcpKeepalive::new();
    let keepalive = keepalive.with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    let keepalive = keepalive.with_retries(KEEPALIVE_PROBES);
    // A connection without probes is only noticed later.
    let _ = socket2::SockRef::from(stream).set_tcp_keepalive(&keepalive);
}

/// Sets the time after which the connection fails while bytes are not acknowledged; `None` leaves it
/// to the operating system.
pub fn set_ack_timeout(stream: &tokio::net::TcpStream, timeout: Option<time::Duration>) {
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(timeout);
}

/// Fails a connection soon while a short request is not acknowledged.
#[derive(Debug, Default)]
pub struct AckMonitor {
    /// Bytes that were sent since the peer last sent any.
    unanswered: atomic::AtomicUsize,
    is_limited: atomic::AtomicBool,
}

impl AckMonitor {
    /// Records that bytes are about to be sent.
    pub fn record_sent(&self, stream: &tokio::net::TcpStream, bytes: usize) {
        let unanswered = self.unanswered.fetch_add(bytes, atomic::Ordering::Relaxed) + bytes;
        let is_short = unanswered <= MAX_SHORT_BYTES;
        if self.is_limited.swap(is_short, atomic::Ordering::Relaxed) != is_short {
            set_ack_timeout(stream, is_short.then_some(SHORT_ACK_TIMEOUT));
        }
    }

    /// Records that the peer sent bytes.
    pub fn record_received(&self) {
        self.unanswered.store(0, atomic::Ordering::Relaxed);
    }
}

/// Makes the end of the connection a reset.
pub fn reset_on_close(stream: &tokio::net::TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(time::Duration::ZERO));
}

/// Makes the end of the connection a regular one, behind the bytes that were written.
pub fn flush_on_close(stream: &tokio::net::TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(None);
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
