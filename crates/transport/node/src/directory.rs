//! The directory and readiness ports of an instance.

use std::net;
use std::sync;
use std::time;

use axum::extract;
use axum::response::IntoResponse;
use marjoramwing_platform::directory;
use marjoramwing_steering::directory as steering_directory;
use tokio_util::sync as cancellation;

use crate::listener::http as http_listener;
use crate::listener::router;
use crate::shared;

type SharedState = extract::State<sync::Arc<shared::InstanceState>>;

/// Maximum number of open connections to the directory port.
const MAX_DIRECTORY_CONNECTIONS: usize = 1_024;
/// Maximum number of open connections to the readiness port.
const MAX_READINESS_CONNECTIONS: usize = 16;
const LIMITS: http_listener::HttpLimits = http_listener::HttpLimits {
    max_header_bytes: 16 * 1024,
    header_timeout: time::Duration::from_secs(10),
};

/// Serves lookups of the instances that a caller should use, until stopped.
pub async fn serve_directory(
    shared: sync::Arc<shared::InstanceState>,
    listener: tokio::net::TcpListener,
    stop: cancellation::CancellationToken,
) {
    let router = axum::Router::new()
        .route(directory::LOOKUP_PATH, axum::routing::get(handle_lookup))
        .with_state(shared);
    router::serve_router(router, listener, LIMITS, MAX_DIRECTORY_CONNECTIONS, stop).await;
}

/// Serves the readiness checks of the platform, until stopped.
pub async fn serve_readiness(
    shared: sync::Arc<shared::InstanceState>,
    listener: tokio::net::TcpListener,
    stop: cancellation::CancellationToken,
) {
    let router = axum::Router::new()
        .route(directory::READINESS_PATH, axum::routing::get(handle_readiness))
        .with_state(shared);
    router::serve_router(router, listener, LIMITS, MAX_READINESS_CONNECTIONS, stop).await;
}

async fn handle_lookup(
    extract::State(shared): SharedState,
    extract::Query(query): extract::Query<directory::DirectoryQuery>,
) -> axum::response::Response {
    shared.metrics.lookups.inc();
    let locality = steering_directory::CallerLocality {
        region: query.region.as_deref(),
        failure_domain: query.failure_domain.as_deref(),
    };
    let own = shared.settings.listen.callers;
    let view = shared.members.load();
    // The view decides on the other instances; this one knows of itself whether it is ready.
    let accepts_requests = |address: &net::SocketAddr| *address != own || shared.is_ready();
    let mut addresses = steering_directory::find_instances(&view, &locality);
    addresses.retain(accepts_requests);
    addresses.truncate(directory::MAX_ADDRESSES);
    // The membership view lists this instance only some time after it became ready.
    if addresses.is_empty() && shared.is_ready() {
        addresses.push(own);
    }
    if addresses.is_empty() {
        return http::StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let ttl = shared.settings.bounds.lookup_ttl;
    axum::Json(directory::DirectoryResponse::new(addresses, ttl)).into_response()
}

async fn handle_readiness(extract::State(shared): SharedState) -> http::StatusCode {
    match shared.is_ready() {
        true => http::StatusCode::OK,
        false => http::StatusCode::SERVICE_UNAVAILABLE,
    }
}
