//! Metrics, state dump, liveness and readiness for operators.
//!
//! Metrics and dump need the operators' secret; the dump holds no key.

use std::sync;

use axum::extract;
use axum::middleware;
use axum::response::IntoResponse;
use marjoramwing_ledger::dump;
use marjoramwing_membership::member;
use marjoramwing_tables::snapshot;
use subtle::ConstantTimeEq;
use tokio_util::sync as cancellation;

use crate::shared;
use crate::steering;

type SharedState = extract::State<sync::Arc<shared::SharedTables>>;

/// Serves operators until stopped.
pub async fn serve_admin(
    shared: sync::Arc<shared::SharedTables>,
    listener: tokio::net::TcpListener,
    stop: cancellation::CancellationToken,
) {
    let guarded = axum::Router::new()
        .route("/metrics", axum::routing::get(write_metrics))
        .route("/dump", axum::routing::get(dump_state))
        .layer(middleware::from_fn_with_state(sync::Arc::clone(&shared), require_secret));
    let router = axum::Router::new()
        .route("/healthz", axum::routing::get(async || "ok\n"))
        .route("/readyz", axum::routing::get(tell_readiness))
        .merge(guarded)
        .with_state(shared);
    let serve = axum::serve(listener, router);
    let _ = serve.with_graceful_shutdown(stop.cancelled_owned()).await;
}

async fn require_secret(
    extract::State(shared): SharedState,
    request: extract::Request,
    next: middleware::Next,
) -> axum::response::Response {
    let header = request.headers().get(http::header::AUTHORIZATION);
    let given = header.and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "));
    let given = given.unwrap_or_default().as_bytes();
    if given.ct_eq(shared.settings.admin_secret.as_bytes()).into() {
        return next.run(request).await;
    }
    let remedy =
        "this port needs the operators' secret; send it as `Authorization: Bearer SECRET`\n";
    (http::StatusCode::UNAUTHORIZED, remedy).into_response()
}

async fn tell_readiness(extract::State(shared): SharedState) -> axum::response::Response {
    if shared.is_ready() {
        return "ready\n".into_response();
    }
    let reason = if shared.is_leaving() { "leaving\n" } else { "no tables yet\n" };
    (http::StatusCode::SERVICE_UNAVAILABLE, reason).into_response()
}

async fn write_metrics(extract::State(shared): SharedState) -> axum::response::Response {
    match shared.metrics.encode() {
        Ok(text) => text.into_response(),
        Err(error) => (http::StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}

#[derive(serde::Serialize)]
struct StateDump {
    instance: String,
    incarnation: String,
    leaving: bool,
    versions: snapshot::TableVersions,
    routes: usize,
    pools: usize,
    teams: usize,
    keys: usize,
    members: Vec<member::Member>,
    regions: Vec<steering::RegionDump>,
    ledger: dump::LedgerDump,
}

async fn dump_state(extract::State(shared): SharedState) -> axum::response::Response {
    let tables = shared.tables.load();
    let dump = StateDump {
        instance: shared.settings.identity.name.to_string(),
        incarnation: shared.incarnation.to_string(),
        leaving: shared.is_leaving(),
        versions: tables.versions,
        routes: tables.snapshot.routes.len(),
        pools: tables.snapshot.pools.len(),
        teams: tables.snapshot.teams.len(),
        keys: tables.snapshot.credential_count(),
        members: shared.members.load().members.clone(),
        regions: shared.steering.dump(),
        ledger: shared.admission.dump(shared.now()),
    };
    axum::Json(dump).into_response()
}
