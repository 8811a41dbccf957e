//! HTTP on one connection, with limits and a planned stop.
//!
//! Invariant: a connection whose request has begun to arrive when a stop
//! begins is answered before it is closed.

use std::error;
use std::time;

use hyper_util::rt;
use hyper_util::server::conn::auto;
use hyper_util::server::graceful;
use tokio_util::sync as cancellation;

use crate::listener::preface;

/// Requests that one HTTP/2 connection may have open.
const MAX_STREAMS: u32 = 200;
/// Wait at a stop for the first bytes of a connection that was just accepted.
const LAST_PREFACE_WAIT: time::Duration = time::Duration::from_millis(200);

/// Limits of one connection.
#[derive(Debug, Clone, Copy)]
pub struct HttpLimits {
    /// Largest request head, in bytes.
    pub max_header_bytes: usize,
    /// Longest wait for a request's head, and of an idle connection.
    pub header_timeout: time::Duration,
}

/// One open connection.
#[derive(Debug)]
pub struct HttpConnection {
    /// The connection.
    pub stream: tokio::net::TcpStream,
    /// Its limits.
    pub limits: HttpLimits,
    /// Holds a stop back until the connection has ended.
    pub watcher: graceful::Watcher,
    /// Tells that a stop has begun.
    pub stop: cancellation::CancellationToken,
}

impl HttpConnection {
    /// Serves the connection to its end.
    ///
    /// # Errors
    ///
    /// Returns why the connection ended early.
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
            known = preface::wait_for_version(&self.stream, self.limits.header_timeout) => known?,
            () = wait_after(&self.stop, LAST_PREFACE_WAIT) => return Ok(()),
        }
        let builder = make_builder(&self.limits);
        let connection = builder.serve_connection(rt::TokioIo::new(self.stream), service);
        self.watcher.watch(connection.into_owned()).await
    }
}

/// Waits for a stop and then for the bytes of a request that is on its way.
async fn wait_after(stop: &cancellation::CancellationToken, wait: time::Duration) {
    stop.cancelled().await;
    tokio::time::sleep(wait).await;
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
