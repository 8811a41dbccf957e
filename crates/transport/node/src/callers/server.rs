//! The accept loop of the caller port.

use std::sync;

use hyper_util::server::graceful;
use marjoramwing_events::catalogue;
use marjoramwing_events::emit;
use tokio_util::sync as cancellation;

use crate::callers::handler;
use crate::callers::lookup;
use crate::callers::overflow;
use crate::callers::proxy;
use crate::listener::bounded;
use crate::listener::http as http_listener;
use crate::pipeline::connection;
use crate::shared;

/// Builds the router of the caller port: the lookup endpoint, and the proxy for all else.
pub fn make_router(shared: sync::Arc<shared::InstanceState>) -> axum::Router {
    axum::Router::new()
        .route(lookup::LOOKUP_PATH, axum::routing::get(lookup::handle_lookup))
        .fallback(proxy::handle_request)
        .with_state(shared)
}

/// Serves callers until `stop` is cancelled, then completes the open requests.
pub async fn serve_callers(
    shared: sync::Arc<shared::InstanceState>,
    listener: tokio::net::TcpListener,
    stop: cancellation::CancellationToken,
) {
    let router = make_router(sync::Arc::clone(&shared));
    let graceful = graceful::GracefulShutdown::new();
    let overflow = overflow::OverflowResponder::new();
    let limits = shared.settings.callers;
    let bounded = bounded::BoundedListener::new(listener, limits.max_connections, stop.clone());
    while let Some(accepted) = bounded.accept().await {
        let Some(permit) = accepted.permit else {
            shared.metrics.refused_connections.inc();
            emit!(catalogue::CALLER_CONNECTION_REFUSED, peer = %accepted.peer);
            overflow.refuse(accepted.stream);
            continue;
        };
        let handler = handler::RequestHandler {
            shared: sync::Arc::clone(&shared),
            router: router.clone(),
            peer: accepted.peer,
        };
        if let Some(max_open) = limits.max_pipelined {
            let connection = connection::PipelinedConnection::new(
                accepted.stream,
                handler,
                connection::PipelineLimits {
                    max_head_bytes: limits.max_header_bytes,
                    head_timeout: limits.header_timeout,
                    write_timeout: limits.body_idle_timeout,
                    max_open,
                },
            );
            let watcher = graceful.watcher();
            tokio::spawn(serve_pipelined(
                sync::Arc::clone(&shared),
                connection,
                stop.clone(),
                permit,
                watcher,
            ));
            continue;
        }
        let connection = http_listener::HttpConnection {
            stream: accepted.stream,
            limits: http_listener::HttpLimits {
                max_header_bytes: limits.max_header_bytes,
                header_timeout: limits.header_timeout,
            },
            watcher: graceful.watcher(),
            stop: stop.clone(),
        };
        tokio::spawn(serve_caller(handler, connection, permit));
    }
    drop(bounded);
    graceful.shutdown().await;
}

async fn serve_pipelined(
    shared: sync::Arc<shared::InstanceState>,
    connection: connection::PipelinedConnection,
    stop: cancellation::CancellationToken,
    permit: tokio::sync::OwnedSemaphorePermit,
    watcher: graceful::Watcher,
) {
    shared.metrics.caller_connections.inc();
    let end = connection.serve(stop).await;
    emit!(catalogue::CALLER_CONNECTION_ENDED, end = %end);
    shared.metrics.caller_connections.dec();
    drop((permit, watcher));
}

async fn serve_caller(
    handler: handler::RequestHandler,
    connection: http_listener::HttpConnection,
    permit: tokio::sync::OwnedSemaphorePermit,
) {
    let shared = sync::Arc::clone(&handler.shared);
    let peer = handler.peer;
    shared.metrics.caller_connections.inc();
    let service =
        hyper::service::service_fn(move |request| handler.clone().handle_incoming(request));
    if let Err(error) = connection.serve(service).await {
        emit!(catalogue::CALLER_CONNECTION_FAILED, peer = %peer, error = %error);
    }
    drop(permit);
    shared.metrics.caller_connections.dec();
}
