//! The admin port: metrics, state dump, liveness and readiness.
//!
//! Metrics, dump and commands require the admin secret; the dump contains no key.

use std::sync;
use std::time;

use axum::extract;
use axum::middleware;
use axum::response::IntoResponse;
use marjoramwing_dispatch::fingerprint;
use marjoramwing_tables::credential;
use tokio_util::sync as cancellation;

use crate::dump;
use crate::listener::http as http_listener;
use crate::listener::router;
use crate::shared;

type SharedState = extract::State<sync::Arc<shared::InstanceState>>;

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 64;
const LIMITS: http_listener::HttpLimits = http_listener::HttpLimits {
    max_header_bytes: 16 * 1024,
    header_timeout: time::Duration::from_secs(10),
};

/// Body of an error response, which names the remedy.
#[derive(serde::Serialize)]
struct AdminError {
    error: String,
}

/// Returns the router of the admin port.
pub fn make_router(shared: sync::Arc<shared::InstanceState>) -> axum::Router {
    let authenticated = axum::Router::new()
        .route("/metrics", axum::routing::get(write_metrics))
        .route("/dump", axum::routing::get(dump_state))
        .route("/quarantine/release", axum::routing::post(release_request))
        .route_layer(middleware::from_fn_with_state(sync::Arc::clone(&shared), require_secret));
    axum::Router::new()
        .route("/healthz", axum::routing::get(async || "ok\n"))
        .route("/readyz", axum::routing::get(report_readiness))
        .merge(authenticated)
        .fallback(unknown_path)
        .method_not_allowed_fallback(unsupported_method)
        .with_state(shared)
}

/// Serves the admin port until `stop` is cancelled.
pub async fn serve_admin(
    shared: sync::Arc<shared::InstanceState>,
    listener: tokio::net::TcpListener,
    stop: cancellation::CancellationToken,
) {
    let router = make_router(shared);
    router::serve_router(router, listener, LIMITS, MAX_CONNECTIONS, stop).await;
}

async fn require_secret(
    extract::State(shared): SharedState,
    request: extract::Request,
    next: middleware::Next,
) -> axum::response::Response {
    if has_valid_secret(&shared, request.headers()) {
        return next.run(request).await;
    }
    let remedy = "this port needs the operators' secret; send it as `Authorization: Bearer SECRET`";
    let mut response = error_response(http::StatusCode::UNAUTHORIZED, remedy);
    let scheme = http::HeaderValue::from_static("Bearer");
    response.headers_mut().insert(http::header::WWW_AUTHENTICATE, scheme);
    response
}

/// Returns true if the request carries the admin secret.
///
/// Compares hashes, so that the time taken reveals neither the secret nor its length.
fn has_valid_secret(shared: &shared::InstanceState, headers: &http::HeaderMap) -> bool {
    const SCHEME: &str = "bearer ";
    let token = headers.get(http::header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let token = token.and_then(|value| value.split_at_checked(SCHEME.len()));
    let token = token.filter(|(scheme, _)| scheme.eq_ignore_ascii_case(SCHEME));
    let secret = String::from_utf8_lossy(shared.settings.admin_secret.as_bytes());
    let expected = credential::KeyHash::of(&secret);
    token.is_some_and(|(_, token)| credential::KeyHash::of(token.trim()).matches(&expected))
}

async fn report_readiness(extract::State(shared): SharedState) -> axum::response::Response {
    if shared.is_ready() {
        return "ready\n".into_response();
    }
    let reason = match shared.is_leaving() {
        true => "leaving; use another instance",
        false => "no tables yet; check that the object API answers and has all objects",
    };
    error_response(http::StatusCode::SERVICE_UNAVAILABLE, reason)
}

async fn write_metrics(extract::State(shared): SharedState) -> axum::response::Response {
    match shared.metrics.encode() {
        Ok(text) => text.into_response(),
        Err(error) => error_response(http::StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Query parameters of `/dump`.
#[derive(serde::Deserialize)]
struct DumpParameters {
    section: Option<String>,
}

async fn dump_state(
    extract::State(shared): SharedState,
    extract::Query(parameters): extract::Query<DumpParameters>,
) -> axum::response::Response {
    let Some(name) = parameters.section else {
        return axum::Json(dump::write_all(&shared)).into_response();
    };
    match dump::DumpSection::from_name(&name) {
        Some(section) => axum::Json(section.write(&shared)).into_response(),
        None => {
            let names: Vec<_> = dump::DumpSection::ALL.iter().map(ToString::to_string).collect();
            let remedy = format!("no such section; use one of {}", names.join(", "));
            error_response(http::StatusCode::NOT_FOUND, &remedy)
        }
    }
}

/// Query parameters of `/quarantine/release`.
#[derive(serde::Deserialize)]
struct ReleaseParameters {
    content: String,
}

#[derive(serde::Serialize)]
struct ReleaseResult {
    released: String,
}

async fn release_request(
    extract::State(shared): SharedState,
    extract::Query(parameters): extract::Query<ReleaseParameters>,
) -> axum::response::Response {
    let content: fingerprint::ContentFingerprint = match parameters.content.parse() {
        Ok(content) => content,
        Err(fault) => return error_response(http::StatusCode::BAD_REQUEST, &fault.to_string()),
    };
    if !shared.quarantine.release(content) {
        let remedy = "this request is not held; see /dump?section=quarantine";
        return error_response(http::StatusCode::NOT_FOUND, remedy);
    }
    axum::Json(ReleaseResult { released: content.to_string() }).into_response()
}

async fn unknown_path() -> axum::response::Response {
    let remedy = "no such path; use /dump, /metrics, /quarantine/release, /healthz or /readyz";
    error_response(http::StatusCode::NOT_FOUND, remedy)
}

async fn unsupported_method() -> axum::response::Response {
    error_response(http::StatusCode::METHOD_NOT_ALLOWED, "this port only answers; send GET")
}

fn error_response(status: http::StatusCode, remedy: &str) -> axum::response::Response {
    (status, axum::Json(AdminError { error: remedy.to_owned() })).into_response()
}
