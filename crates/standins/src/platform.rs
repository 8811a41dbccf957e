//! The object API and the list of instances, which may lag.
//!
//! Switches under `/control` inject outages, delays, lost responses, stale reads and
//! a lag of the list. Calls are counted by kind of object.

use std::sync;
use std::time;

use axum::extract;
use axum::response::IntoResponse;
use marjoramwing_derives as derives;
use marjoramwing_object_api::listing;
use marjoramwing_object_api::path;
use marjoramwing_object_api::version;
use marjoramwing_objects::object;

use crate::calls;
use crate::storage;
use crate::switch;

/// Maximum size of the value of an object, in bytes.
const MAX_VALUE_BYTES: usize = 1024 * 1024;
/// Maximum duration of a watch, in milliseconds.
const MAX_WATCH_MS: u64 = 60_000;
/// Kind under which calls for the list of instances are counted.
const LISTING_KIND: &str = "instances";

/// A platform; clones share its state.
#[derive(Debug, Clone, Default)]
pub struct PlatformServer {
    state: sync::Arc<sync::Mutex<PlatformState>>,
    changes: sync::Arc<tokio::sync::Notify>,
}

/// Faults that the platform injects.
#[derives::document]
#[derive(Default, Copy)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether every call, other than to a control path, is answered with status 503.
    pub outage: bool,
    /// Delay of each call, in milliseconds.
    pub delay_ms: u64,
    /// Whether writes take effect but are answered with status 504.
    pub lose_answers: bool,
    /// Whether reads return the version before the current one.
    pub stale_reads: bool,
    /// Delay until a change of the list of instances becomes visible, in milliseconds.
    pub listing_lag_ms: u64,
}

#[derive(Debug, Default)]
struct PlatformState {
    storage: storage::ObjectStorage,
    faults: PlatformFaults,
    counts: calls::PlatformCounts,
    listing: listing::InstanceListing,
    visible_listing: listing::InstanceListing,
}

#[derive(Debug, serde::Deserialize)]
struct WatchParameters {
    after: u64,
    wait_ms: u64,
}

type Platform = extract::State<PlatformServer>;

impl PlatformServer {
    /// Writes an object unconditionally.
    pub fn put(&self, kind: object::ObjectKind, name: &str, value: bytes::Bytes) {
        let path = storage::ObjectPath { kind: kind.to_string(), name: name.to_owned() };
        self.lock().storage.change(path, Some(value));
        self.changes.notify_waiters();
    }

    /// Returns the current value of an object, if it exists.
    #[must_use]
    pub fn get(&self, kind: object::ObjectKind, name: &str) -> Option<bytes::Bytes> {
        let path = storage::ObjectPath { kind: kind.to_string(), name: name.to_owned() };
        self.lock().storage.read(&path, false).and_then(|stored| stored.value.clone())
    }

    /// Sets the list of instances immediately.
    pub fn set_listing(&self, listing: listing::InstanceListing) {
        let mut state = self.lock();
        state.visible_listing = listing.clone();
        state.listing = listing;
    }

    /// Sets the list of instances, which becomes visible after the injected lag.
    ///
    /// What becomes visible is the newest list at that time, so a list that is set
    /// during the lag of an earlier one becomes visible together with it.
    pub fn set_listing_after_lag(&self, listing: listing::InstanceListing) {
        let mut state = self.lock();
        state.listing = listing;
        let lag = time::Duration::from_millis(state.faults.listing_lag_ms);
        drop(state);
        let server = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(lag).await;
            let mut state = server.lock();
            state.visible_listing = state.listing.clone();
        });
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.lock().faults = faults;
        self.changes.notify_waiters();
    }

    /// Returns the injected faults.
    #[must_use]
    pub fn faults(&self) -> PlatformFaults {
        self.lock().faults
    }

    /// Returns the counts of calls so far.
    #[must_use]
    pub fn counts(&self) -> calls::PlatformCounts {
        self.lock().counts.clone()
    }

    /// Creates the HTTP service of the platform, control paths included.
    pub fn router(&self) -> axum::Router {
        axum::Router::new()
            .route("/v1/objects/{kind}", axum::routing::get(list_objects))
            .route(
                "/v1/objects/{kind}/{name}",
                axum::routing::get(read_object).put(write_object).delete(delete_object),
            )
            .route("/v1/watch/{kind}", axum::routing::get(watch_kind))
            .route(path::INSTANCES, axum::routing::get(list_instances))
            .layer(axum::middleware::from_fn_with_state(self.clone(), inject_faults))
            .route("/control/faults", axum::routing::put(change_faults))
            .route("/control/counts", axum::routing::get(get_counts))
            .route("/control/listing", axum::routing::put(replace_listing))
            .layer(extract::DefaultBodyLimit::max(MAX_VALUE_BYTES))
            .with_state(self.clone())
    }

    fn lock(&self) -> sync::MutexGuard<'_, PlatformState> {
        self.state.lock().expect("the mutex of the platform is not poisoned")
    }
}

async fn inject_faults(
    extract::State(server): Platform,
    request: extract::Request,
    next: axum::middleware::Next,
) -> axum::response::Response {
    let faults = server.faults();
    if faults.delay_ms > 0 {
        tokio::time::sleep(time::Duration::from_millis(faults.delay_ms)).await;
    }
    // Read again, since the outage may have changed during the delay.
    if server.faults().outage {
        // The kind is the third segment of a path of objects or watches; only the path of
        // the list of instances is shorter.
        let kind = request.uri().path().split('/').nth(3).unwrap_or(LISTING_KIND);
        server.lock().counts.of_kind(kind).refused += 1;
        return http::StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let is_write = request.method() != http::Method::GET;
    let response = next.run(request).await;
    if faults.lose_answers && is_write {
        return http::StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    response
}

async fn list_objects(
    extract::State(server): Platform,
    extract::Path(kind): extract::Path<String>,
) -> axum::response::Response {
    let mut state = server.lock();
    state.counts.of_kind(&kind).reads += 1;
    axum::Json(state.storage.list(&kind)).into_response()
}

async fn read_object(
    extract::State(server): Platform,
    extract::Path((kind, name)): extract::Path<(String, String)>,
) -> axum::response::Response {
    let mut state = server.lock();
    state.counts.of_kind(&kind).reads += 1;
    let is_stale = state.faults.stale_reads;
    let read = state.storage.read(&storage::ObjectPath { kind, name }, is_stale);
    match read.and_then(|stored| Some((stored.version, stored.value.clone()?))) {
        Some((version, value)) => {
            ([(http::header::ETAG, version::to_entity_tag(version))], value).into_response()
        }
        None => http::StatusCode::NOT_FOUND.into_response(),
    }
}

async fn write_object(
    extract::State(server): Platform,
    extract::Path((kind, name)): extract::Path<(String, String)>,
    headers: http::HeaderMap,
    value: bytes::Bytes,
) -> axum::response::Response {
    if serde_json::from_slice::<serde::de::IgnoredAny>(&value).is_err() {
        return (http::StatusCode::BAD_REQUEST, "the value is not JSON").into_response();
    }
    change_object(&server, storage::ObjectPath { kind, name }, &headers, Some(value))
}

async fn delete_object(
    extract::State(server): Platform,
    extract::Path((kind, name)): extract::Path<(String, String)>,
    headers: http::HeaderMap,
) -> axum::response::Response {
    change_object(&server, storage::ObjectPath { kind, name }, &headers, None)
}

fn change_object(
    server: &PlatformServer,
    path: storage::ObjectPath,
    headers: &http::HeaderMap,
    value: Option<bytes::Bytes>,
) -> axum::response::Response {
    let Some(expected) = read_condition(headers) else {
        let text = "send either If-Match with a version or If-None-Match: *";
        return (http::StatusCode::PRECONDITION_REQUIRED, text).into_response();
    };
    let kind = path.kind.clone();
    let mut state = server.lock();
    let result = state.storage.change_if(path, expected, value);
    let counts = state.counts.of_kind(&kind);
    match result {
        Ok(version) => {
            counts.writes += 1;
            server.changes.notify_waiters();
            let tag = version::to_entity_tag(version);
            ([(http::header::ETAG, tag)], http::StatusCode::OK).into_response()
        }
        Err(current) => {
            counts.conflicts += 1;
            let mut response = http::StatusCode::PRECONDITION_FAILED.into_response();
            if let Some(current) = current {
                let tag = http::HeaderValue::from_str(&version::to_entity_tag(current));
                let tag = tag.expect("a version is a valid header");
                response.headers_mut().insert(http::header::ETAG, tag);
            }
            response
        }
    }
}

/// Returns the precondition of a change, or `None` unless exactly one valid one is given.
fn read_condition(headers: &http::HeaderMap) -> Option<storage::ExpectedVersion> {
    let if_match = headers.get(http::header::IF_MATCH);
    match (if_match, headers.contains_key(http::header::IF_NONE_MATCH)) {
        (Some(tag), false) => {
            let version = version::from_entity_tag(tag.to_str().ok()?)?;
            Some(storage::ExpectedVersion::At(version))
        }
        (None, true) => Some(storage::ExpectedVersion::Missing),
        (None, false) | (Some(_), true) => None,
    }
}

async fn watch_kind(
    extract::State(server): Platform,
    extract::Path(kind): extract::Path<String>,
    extract::Query(parameters): extract::Query<WatchParameters>,
) -> axum::response::Response {
    server.lock().counts.of_kind(&kind).watches += 1;
    let wait = time::Duration::from_millis(parameters.wait_ms.min(MAX_WATCH_MS));
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        let change = server.changes.notified();
        tokio::pin!(change);
        change.as_mut().enable();
        {
            let state = server.lock();
            if state.faults.outage {
                return http::StatusCode::SERVICE_UNAVAILABLE.into_response();
            }
            let response = state.storage.changes(&kind, parameters.after);
            if !response.changes.is_empty() || tokio::time::Instant::now() >= deadline {
                return axum::Json(response).into_response();
            }
        }
        let _ = tokio::time::timeout_at(deadline, change).await;
    }
}

async fn list_instances(extract::State(server): Platform) -> axum::response::Response {
    let mut state = server.lock();
    state.counts.of_kind(LISTING_KIND).reads += 1;
    axum::Json(state.visible_listing.clone()).into_response()
}

async fn change_faults(
    extract::State(server): Platform,
    axum::Json(change): axum::Json<serde_json::Map<String, serde_json::Value>>,
) -> axum::response::Response {
    match switch::merge_members(&server.faults(), change) {
        Ok(faults) => {
            server.set_faults(faults);
            http::StatusCode::NO_CONTENT.into_response()
        }
        Err(error) => (http::StatusCode::BAD_REQUEST, error.to_string()).into_response(),
    }
}

async fn get_counts(extract::State(server): Platform) -> axum::Json<calls::PlatformCounts> {
    axum::Json(server.counts())
}

async fn replace_listing(
    extract::State(server): Platform,
    axum::Json(listing): axum::Json<listing::InstanceListing>,
) -> http::StatusCode {
    server.set_listing_after_lag(listing);
    http::StatusCode::NO_CONTENT
}
