//! Connections over the limit: refused with a 503 response, then closed.

use std::sync;
use std::time;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

/// Refusals that may be in progress at once; further connections are closed without one.
const MAX_REFUSALS: usize = 64;
/// Time limit for a refusal, including the wait for the request and for the caller's close.
const REFUSAL_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Bytes of a request that are read and discarded: closing with unread data
/// resets the connection, and the caller may lose the response.
const MAX_DRAINED_BYTES: u64 = 64 * 1024;

const BODY: &str = r#"{"error":"too many connections; use another instance from the look-up","outcome":"not-run"}"#;

/// Refuses connections over the limit; the number of refusals in progress is limited too.
#[derive(Debug)]
pub struct OverflowResponder {
    permits: sync::Arc<tokio::sync::Semaphore>,
}

impl OverflowResponder {
    /// Creates a responder without refusals in progress.
    #[must_use]
    pub fn new() -> Self {
        Self { permits: sync::Arc::new(tokio::sync::Semaphore::new(MAX_REFUSALS)) }
    }

    /// Sends a 503 response on a connection and closes it.
    pub fn refuse(&self, stream: tokio::net::TcpStream) {
        let Ok(permit) = sync::Arc::clone(&self.permits).try_acquire_owned() else {
            return;
        };
        tokio::spawn(async move {
            let _ = tokio::time::timeout(REFUSAL_TIMEOUT, send_refusal(stream)).await;
            drop(permit);
        });
    }
}

impl Default for OverflowResponder {
    fn default() -> Self {
        Self::new()
    }
}

async fn send_refusal(mut stream: tokio::net::TcpStream) -> std::io::Result<()> {
    // Some clients treat a response before their request as a protocol error.
    stream.readable().await?;
    stream.write_all(make_response().as_bytes()).await?;
    stream.shutdown().await?;
    tokio::io::copy(&mut stream.take(MAX_DRAINED_BYTES), &mut tokio::io::sink()).await?;
    Ok(())
}

fn make_response() -> String {
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
