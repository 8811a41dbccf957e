//! A TCP listener with a connection limit.

use std::net;
use std::sync;
use std::time;

use tokio_util::sync as cancellation;

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(10);

/// A TCP listener that grants a limited number of connection permits.
#[derive(Debug)]
pub struct BoundedListener {
    listener: tokio::net::TcpListener,
    permits: sync::Arc<tokio::sync::Semaphore>,
    stop: cancellation::CancellationToken,
}

/// An accepted connection.
#[derive(Debug)]
pub struct AcceptedStream {
    /// Stream of the connection.
    pub stream: tokio::net::TcpStream,
    /// Address of the remote end, for example a caller; not another instance.
    pub peer: net::SocketAddr,
    /// Counts the connection under the limit; `None` when the limit is reached.
    pub permit: Option<tokio::sync::OwnedSemaphorePermit>,
}

impl BoundedListener {
    /// Wraps a listener; at most `max_connections` permits are held at a time.
    #[must_use]
    pub fn new(
        listener: tokio::net::TcpListener,
        max_connections: usize,
        stop: cancellation::CancellationToken,
    ) -> Self {
        let permits = sync::Arc::new(tokio::sync::Semaphore::new(max_connections));
        Self { listener, permits, stop }
    }

    /// Waits for a connection; returns `None` once `stop` is cancelled.
    pub async fn accept(&self) -> Option<AcceptedStream> {
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = self.stop.cancelled() => return None,
            };
            if let Ok((stream, peer)) = accepted {
                let _ = stream.set_nodelay(true);
                let permit = sync::Arc::clone(&self.permits).try_acquire_owned().ok();
                return Some(AcceptedStream { stream, peer, permit });
            }
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
        }
    }
}
