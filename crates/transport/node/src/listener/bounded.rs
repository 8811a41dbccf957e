//! Connections under a bound.

use std::net;
use std::sync;
use std::time;

use tokio_util::sync as cancellation;

/// Delay after a connection that could not be accepted, for want of descriptors say.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(10);

/// A listener that lets in a bounded number of connections.
#[derive(Debug)]
pub struct BoundedListener {
    listener: tokio::net::TcpListener,
    permits: sync::Arc<tokio::sync::Semaphore>,
    stop: cancellation::CancellationToken,
}

/// A connection that was accepted.
#[derive(Debug)]
pub struct AcceptedStream {
    /// The connection.
    pub stream: tokio::net::TcpStream,
    /// Address of the other end.
    pub peer: net::SocketAddr,
    /// Place under the bound; absent when the bound is reached.
    pub permit: Option<tokio::sync::OwnedSemaphorePermit>,
}

impl BoundedListener {
    /// Bounds the connections of a listener.
    #[must_use]
    pub fn new(
        listener: tokio::net::TcpListener,
        max_connections: usize,
        stop: cancellation::CancellationToken,
    ) -> Self {
        let permits = sync::Arc::new(tokio::sync::Semaphore::new(max_connections));
        Self { listener, permits, stop }
    }

    /// Waits for a connection; `None` once the listener is to stop.
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
