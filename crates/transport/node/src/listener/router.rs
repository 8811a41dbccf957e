//! An axum router on its own port.

use hyper_util::server::graceful;
use hyper_util::service;
use tokio_util::sync as cancellation;

use crate::listener::bounded;
use crate::listener::http as http_listener;

/// Serves a router until `stop` is cancelled, then completes the open requests.
///
/// Connections over the limit are closed without a response.
pub async fn serve_router(
    router: axum::Router,
    listener: tokio::net::TcpListener,
    limits: http_listener::HttpLimits,
    max_connections: usize,
    stop: cancellation::CancellationToken,
) {
    let graceful = graceful::GracefulShutdown::new();
    let bounded = bounded::BoundedListener::new(listener, max_connections, stop.clone());
    while let Some(accepted) = bounded.accept().await {
        let Some(permit) = accepted.permit else {
            continue;
        };
        let connection = http_listener::HttpConnection {
            stream: accepted.stream,
            limits,
            watcher: graceful.watcher(),
            stop: stop.clone(),
        };
        let service = service::TowerToHyperService::new(router.clone());
        tokio::spawn(async move {
            let _ = connection.serve(service).await;
            drop(permit);
        });
    }
    drop(bounded);
    graceful.shutdown().await;
}
