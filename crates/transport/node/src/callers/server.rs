//! Connections of callers.

use std::net;
use std::sync;

use hyper_util::rt;
use hyper_util::server::conn::auto;
use hyper_util::server::graceful;
use hyper_util::service;
use marjoramwing_events::catalogue;
use marjoramwing_events::emit;
use tokio_util::sync as cancellation;
use tower::ServiceExt;

use crate::callers::lookup;
use crate::callers::proxy;
use crate::shared;

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
    let permits =
        sync::Arc::new(tokio::sync::Semaphore::new(shared.settings.callers.max_connections));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        let Ok((stream, peer)) = accepted else {
            continue;
        };
        let Ok(permit) = sync::Arc::clone(&permits).try_acquire_owned() else {
            emit!(catalogue::CALLER_CONNECTION_REFUSED, peer = %peer);
            continue;
        };
        let connection = CallerConnection { shared: sync::Arc::clone(&shared), peer, permit };
        connection.spawn(stream, router.clone(), &graceful);
    }
    drop(listener);
    graceful.shutdown().await;
}

struct CallerConnection {
    shared: sync::Arc<shared::SharedTables>,
    peer: net::SocketAddr,
    permit: tokio::sync::OwnedSemaphorePermit,
}

impl CallerConnection {
    fn spawn(
        self,
        stream: tokio::net::TcpStream,
        router: axum::Router,
        graceful: &graceful::GracefulShutdown,
    ) {
        let _ = stream.set_nodelay(true);
        let peer = self.peer;
        let service = router.map_request(move |request: http::Request<hyper::body::Incoming>| {
            let mut request = request.map(axum::body::Body::new);
            request.extensions_mut().insert(axum::extract::ConnectInfo(peer));
            request
        });
        let builder = make_builder(&self.shared);
        let service = service::TowerToHyperService::new(service);
        let connection = builder.serve_connection(rt::TokioIo::new(stream), service);
        let watched = graceful.watch(connection.into_owned());
        tokio::spawn(async move {
            self.shared.metrics.caller_connections.inc();
            if let Err(error) = watched.await {
                emit!(catalogue::CALLER_CONNECTION_FAILED, peer = %peer, error = %error);
            }
            self.shared.metrics.caller_connections.dec();
            drop(self.permit);
        });
    }
}

fn make_builder(shared: &shared::SharedTables) -> auto::Builder<rt::TokioExecutor> {
    let limits = shared.settings.callers;
    let mut builder = auto::Builder::new(rt::TokioExecutor::new());
    builder
        .http1()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.max_header_bytes);
    builder
        .http2()
        .timer(rt::TokioTimer::new())
        .max_header_list_size(u32::try_from(limits.max_header_bytes).unwrap_or(u32::MAX));
    builder
}
