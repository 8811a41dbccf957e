//! Connections of callers.

use std::error;
use std::sync;
use std::time;

use hyper_util::rt;
use hyper_util::server::conn::auto;
use hyper_util::server::graceful;
use marjoramwing_events::catalogue;
use marjoramwing_events::emit;
use marjoramwing_settings::settings;
use tokio_util::sync as cancellation;

use crate::callers::guard;
use crate::callers::lookup;
use crate::callers::overflow;
use crate::callers::preface;
use crate::callers::proxy;
use crate::shared;

/// Requests that one HTTP/2 connection may have open.
const MAX_STREAMS: u32 = 200;
/// Delay after a connection that could not be accepted, for want of descriptors say.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(10);
/// Wait at a stop for the first bytes of a connection that was just accepted.
const LAST_PREFACE_WAIT: time::Duration = time::Duration::from_millis(200);

/// Makes the service of the caller port.
pub fn make_router(shared: sync::Arc<shared::SharedTables>) -> axum::Router {
    axum::Router::new()
        .route(lookup::LOOKUP_PATH, axum::routing::get(lookup::answer_lookup))
        .fallback(proxy::answer_request)
        .with_state(shared)
}

/// Serves callers until stopped, then finishes their open requests.
pub async fn serve_callers(
    shared: sync::Arc<shared::SharedTables>,
    listener: tokio::net::TcpListener,
    stop: cancellation::CancellationToken,
) {
    let router = make_router(sync::Arc::clone(&shared));
    let graceful = graceful::GracefulShutdown::new();
    let overflow = overflow::OverflowGate::new();
    let permits =
        sync::Arc::new(tokio::sync::Semaphore::new(shared.settings.callers.max_connections));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = sync::Arc::clone(&permits).try_acquire_owned() else {
            shared.metrics.refused_connections.inc();
            emit!(catalogue::CALLER_CONNECTION_REFUSED, peer = %peer);
            overflow.refuse(stream);
            continue;
        };
        let guard =
            guard::CallerGuard { shared: sync::Arc::clone(&shared), router: router.clone(), peer };
        let connection = CallerConnection { guard, watcher: graceful.watcher(), permit };
        tokio::spawn(connection.serve(stream, stop.clone()));
    }
    drop(listener);
    graceful.shutdown().await;
}

/// One open connection of a caller.
struct CallerConnection {
    guard: guard::CallerGuard,
    watcher: graceful::Watcher,
    permit: tokio::sync::OwnedSemaphorePermit,
}

impl CallerConnection {
    async fn serve(self, stream: tokio::net::TcpStream, stop: cancellation::CancellationToken) {
        let shared = sync::Arc::clone(&self.guard.shared);
        let peer = self.guard.peer;
        shared.metrics.caller_connections.inc();
        if let Err(error) = self.exchange(stream, &stop).await {
            emit!(catalogue::CALLER_CONNECTION_FAILED, peer = %peer, error = %error);
        }
        shared.metrics.caller_connections.dec();
    }

    async fn exchange(
        self,
        stream: tokio::net::TcpStream,
        stop: &cancellation::CancellationToken,
    ) -> Result<(), Box<dyn error::Error + Send + Sync>> {
        let _ = stream.set_nodelay(true);
        let limits = self.guard.shared.settings.callers;
        tokio::select! {
            known = preface::wait_for_version(&stream, limits.header_timeout) => known?,
            () = wait_after(stop, LAST_PREFACE_WAIT) => return Ok(()),
        }
        let builder = make_builder(&limits);
        let guard = self.guard;
        let service = hyper::service::service_fn(move |request| guard.clone().answer(request));
        let connection = builder.serve_connection(rt::TokioIo::new(stream), service);
        let result = self.watcher.watch(connection.into_owned()).await;
        drop(self.permit);
        result
    }
}

/// Waits for a stop and then for the bytes of a request that is on its way.
async fn wait_after(stop: &cancellation::CancellationToken, wait: time::Duration) {
    stop.cancelled().await;
    tokio::time::sleep(wait).await;
}

fn make_builder(limits: &settings::CallerLimits) -> auto::Builder<rt::TokioExecutor> {
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
