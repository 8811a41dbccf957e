//! One HTTP connection, with limits and graceful shutdown.
//!
//! Invariant: a request whose bytes have begun to arrive when a shutdown begins
//! is answered before its connection is closed.

use std::error;
use std::pin;
use std::time;

use hyper_util::rt;
use hyper_util::server::conn::auto;
use hyper_util::server::graceful;
use tokio_util::sync as cancellation;

use crate::listener::preface;

/// Concurrent streams of one HTTP/2 connection.
const MAX_STREAMS: u32 = 200;
/// Wait during shutdown for the first bytes of a newly accepted connection, and again for those of
/// a further request.
const STOP_READ_WAIT: time::Duration = time::Duration::from_millis(200);

/// Limits of one connection.
#[derive(Debug, Clone, Copy)]
pub struct HttpLimits {
    /// Largest request head, in bytes.
    pub max_header_bytes: usize,
    /// Time limit for reading a request head, and idle timeout of a connection; under HTTP/2 the
    /// interval and timeout of keep-alive pings.
    pub header_timeout: time::Duration,
}

/// An accepted connection that has not been read from.
#[derive(Debug)]
pub struct HttpConnection {
    /// Stream of the connection.
    pub stream: tokio::net::TcpStream,
    /// Limits of the connection.
    pub limits: HttpLimits,
    /// Delays the end of a graceful shutdown until the connection is closed.
    pub watcher: graceful::Watcher,
    /// Cancelled when a shutdown begins.
    pub stop: cancellation::CancellationToken,
}

impl HttpConnection {
    /// Serves the connection until it is closed.
    ///
    /// # Errors
    ///
    /// Returns the error that ended the connection early.
    pub async fn serve<S, B>(self, service: S) -> Result<(), Box<dyn error::Error + Send + Sync>>
    where
        S: hyper::service::Service<
                http::Request<hyper::body::Incoming>,
                Response = http::Response<B>,
            > + Send
            + 'static,
        S::Future: Send + 'static,
        S::Error: Into<Box<dyn error::Error + Send + Sync>>,
        B: http_body::Body + Send + 'static,
        B::Data: Send,
        B::Error: Into<Box<dyn error::Error + Send + Sync>>,
    {
        tokio::select! {
            detected = preface::wait_for_version(&self.stream, self.limits.header_timeout) => detected?,
            () = wait_for_stop(&self.stop, STOP_READ_WAIT) => return Ok(()),
        }
        let builder = make_builder(&self.limits);
        let connection = builder.serve_connection(rt::TokioIo::new(self.stream), service);
        let mut connection = pin::pin!(connection);
        // A graceful shutdown closes an idle connection without a look at its unread bytes.
        tokio::select! {
            biased;
            ended = connection.as_mut() => return ended,
            () = wait_for_stop(&self.stop, STOP_READ_WAIT) => {}
        }
        connection.as_mut().graceful_shutdown();
        connection.await
    }
}

/// Waits for a shutdown, then for `grace_period`, in which bytes in flight can arrive.
async fn wait_for_stop(stop: &cancellation::CancellationToken, grace_period: time::Duration) {
    stop.cancelled().await;
    tokio::time::sleep(grace_period).await;
}

fn make_builder(limits: &HttpLimits) -> auto::Builder<rt::TokioExecutor> {
    let mut builder = auto::Builder::new(rt::TokioExecutor::new());
    builder
        .http1()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.max_header_bytes);
    builder
        .http2()
        .timer(rt::TokioTimer::new())
        .keep_alive_interval(limits.header_timeout)
        .keep_alive_timeout(limits.header_timeout)
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(u32::try_from(limits.max_header_bytes).unwrap_or(u32::MAX));
    builder
}
