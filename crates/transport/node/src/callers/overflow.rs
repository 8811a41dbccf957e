//! Connections over the bound: told that nothing ran, then closed.

use std::sync;
use std::time;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

/// Connections over the bound that are told so at once; more are only closed.
const MAX_TOLD: usize = 64;
/// Longest wait for the request's first bytes and for the caller to close.
const MAX_WAIT: time::Duration = time::Duration::from_secs(1);
/// Bytes of a request that are read and dropped, so that the answer is not lost to a reset.
const MAX_DRAINED_BYTES: u64 = 64 * 1024;

const BODY: &str = r#"{"error":"too many connections; use another instance from the look-up","outcome":"not-run"}"#;

/// Tells callers over the bound, a few at once.
#[derive(Debug)]
pub struct OverflowGate {
    permits: sync::Arc<tokio::sync::Semaphore>,
}

impl OverflowGate {
    /// Makes a gate that tells nobody yet.
    #[must_use]
    pub fn new() -> Self {
        Self { permits: sync::Arc::new(tokio::sync::Semaphore::new(MAX_TOLD)) }
    }

    /// Tells a caller that its connection is over the bound, and closes it.
    pub fn refuse(&self, stream: tokio::net::TcpStream) {
        let Ok(permit) = sync::Arc::clone(&self.permits).try_acquire_owned() else {
            return;
        };
        tokio::spawn(async move {
            let _ = tokio::time::timeout(MAX_WAIT, tell(stream)).await;
            drop(permit);
        });
    }
}

impl Default for OverflowGate {
    fn default() -> Self {
        Self::new()
    }
}

async fn tell(mut stream: tokio::net::TcpStream) -> std::io::Result<()> {
    // An answer before the request would be a protocol error to some clients.
    stream.readable().await?;
    stream.write_all(make_answer().as_bytes()).await?;
    stream.shutdown().await?;
    tokio::io::copy(&mut stream.take(MAX_DRAINED_BYTES), &mut tokio::io::sink()).await?;
    Ok(())
}

fn make_answer() -> String {
    let length = BODY.len();
    format!(
        "HTTP/1.1 503 Service Unavailable\r\n\
         content-type: application/json\r\n\
         content-length: {length}\r\n\
         marjoramwing-outcome: not-run\r\n\
         retry-after: 1\r\n\
         connection: close\r\n\r\n{BODY}"
    )
}
