//! The object API and the lagging list of instances.
//!
//! Switches under `/control` cause outages, slow answers, lost answers and a
//! lagging list. Every call is counted.

use std::collections;
use std::sync;
use std::time;

use axum::extract;
use axum::response::IntoResponse;
use marjoramwing_derives as derives;
use marjoramwing_object_api::listing;
use marjoramwing_object_api::path;
use marjoramwing_object_api::version;
use marjoramwing_object_api::watch;
use marjoramwing_objects::object;

/// Largest value of an object, in bytes.
const MAX_VALUE_BYTES: usize = 1024 * 1024;
/// Longest wait of a watch, in milliseconds.
const MAX_WATCH_MS: u64 = 60_000;

/// A platform whose state all its connections share.
#[derive(Debug, Clone, Default)]
pub struct PlatformServer {
    state: sync::Arc<sync::Mutex<PlatformState>>,
    changed: sync::Arc<tokio::sync::Notify>,
}

/// Faults that the platform is told to cause.
#[derives::document]
#[derive(Default, Copy)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Answers every call with 503.
    pub outage: bool,
    /// Delay before each call, in milliseconds.
    pub delay_ms: u64,
    /// Writes take effect but are answered with 504.
    pub lose_answers: bool,
    /// Time by which the list of instances lags, in milliseconds.
    pub listing_lag_ms: u64,
}

/// Calls that the platform has answered.
#[derives::document]
#[derive(Default, Copy)]
pub struct PlatformCounts {
    /// Reads of objects and of the list.
    pub reads: u64,
    /// Writes of objects.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
}

#[derive(Debug, Default)]
struct PlatformState {
    objects: collections::HashMap<ObjectPath, StoredValue>,
    revision: u64,
    faults: PlatformFaults,
    counts: PlatformCounts,
    listing: listing::InstanceListing,
    shown_listing: listing::InstanceListing,
}

#[derives::name]
struct ObjectPath {
    kind: String,
    name: String,
}

#[derive(Debug, Clone)]
struct StoredValue {
    version: u64,
    revision: u64,
    value: bytes::Bytes,
}

#[derive(Debug, serde::Deserialize)]
struct WatchParameters {
    after: u64,
    wait_ms: u64,
}

type Platform = extract::State<PlatformServer>;

impl PlatformServer {
    /// Puts an object in place, as an operator who writes directly would.
    pub fn put(&self, kind: object::ObjectKind, name: &str, value: bytes::Bytes) {
        let path = ObjectPath { kind: kind.to_string(), name: name.to_owned() };
        self.lock().store(path, value);
        self.changed.notify_waiters();
    }

    /// Sets the list of instances at once.
    pub fn set_listing(&self, listing: listing::InstanceListing) {
        let mut state = self.lock();
        state.shown_listing = listing.clone();
        state.listing = listing;
    }

    /// Sets the faults to cause.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.lock().faults = faults;
        self.changed.notify_waiters();
    }

    /// Returns the calls answered so far.
    #[must_use]
    pub fn counts(&self) -> PlatformCounts {
        self.lock().counts
    }

    /// Makes the HTTP service of the platform.
    pub fn router(&self) -> axum::Router {
        axum::Router::new()
            .route("/v1/objects/{kind}", axum::routing::get(list_objects))
            .route(
                "/v1/objects/{kind}/{name}",
                axum::routing::get(read_object).put(write_object).delete(delete_object),
            )
            .route("/v1/watch/{kind}", axum::routing::get(watch_kind))
            .route(path::INSTANCES, axum::routing::get(list_instances))
            .layer(axum::middleware::from_fn_with_state(self.clone(), cause_faults))
            .route("/control/faults", axum::routing::put(replace_faults))
            .route("/control/counts", axum::routing::get(tell_counts))
            .route("/control/listing", axum::routing::put(replace_listing))
            .layer(extract::DefaultBodyLimit::max(MAX_VALUE_BYTES))
            .with_state(self.clone())
    }

    fn lock(&self) -> sync::MutexGuard<'_, PlatformState> {
        self.state.lock().expect("no task panics while it holds the platform")
    }
}

impl PlatformState {
    fn store(&mut self, path: ObjectPath, value: bytes::Bytes) -> u64 {
        self.revision += 1;
        let version = self.objects.get(&path).map_or(1, |stored| stored.version + 1);
        let stored = StoredValue { version, revision: self.revision, value };
        self.objects.insert(path, stored);
        version
    }

    fn changes(&self, kind: &str, after: u64) -> watch::WatchDocument {
        let of_kind = self.objects.iter().filter(|(path, _)| path.kind == kind);
        let newer = of_kind.filter(|(_, stored)| stored.revision > after);
        let changes = newer.map(|(path, stored)| watch::ChangeDocument {
            name: path.name.as_str().into(),
            version: object::ObjectVersion(stored.version),
        });
        watch::WatchDocument { revision: self.revision, changes: changes.collect() }
    }
}

async fn cause_faults(
    extract::State(server): Platform,
    request: extract::Request,
    next: axum::middleware::Next,
) -> axum::response::Response {
    let faults = server.lock().faults;
    if faults.delay_ms > 0 {
        tokio::time::sleep(time::Duration::from_millis(faults.delay_ms)).await;
    }
    if faults.outage {
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
    state.counts.reads += 1;
    axum::Json(state.changes(&kind, 0)).into_response()
}

async fn read_object(
    extract::State(server): Platform,
    extract::Path((kind, name)): extract::Path<(String, String)>,
) -> axum::response::Response {
    let mut state = server.lock();
    state.counts.reads += 1;
    match state.objects.get(&ObjectPath { kind, name }) {
        Some(stored) => {
            let tag = version::to_entity_tag(object::ObjectVersion(stored.version));
            ([(http::header::ETAG, tag)], stored.value.clone()).into_response()
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
    let path = ObjectPath { kind, name };
    let mut state = server.lock();
    state.counts.writes += 1;
    if let Err(conflict) = check_version(&state, &path, &headers) {
        return conflict.into_response();
    }
    let version = state.store(path, value);
    server.changed.notify_waiters();
    let tag = version::to_entity_tag(object::ObjectVersion(version));
    ([(http::header::ETAG, tag)], http::StatusCode::OK).into_response()
}

async fn delete_object(
    extract::State(server): Platform,
    extract::Path((kind, name)): extract::Path<(String, String)>,
    headers: http::HeaderMap,
) -> axum::response::Response {
    let path = ObjectPath { kind, name };
    let mut state = server.lock();
    state.counts.writes += 1;
    if let Err(conflict) = check_version(&state, &path, &headers) {
        return conflict.into_response();
    }
    state.objects.remove(&path);
    state.revision += 1;
    server.changed.notify_waiters();
    http::StatusCode::NO_CONTENT.into_response()
}

fn check_version(
    state: &PlatformState,
    path: &ObjectPath,
    headers: &http::HeaderMap,
) -> Result<(), VersionConflict> {
    let current = state.objects.get(path).map(|stored| object::ObjectVersion(stored.version));
    let current_tag = current.map(version::to_entity_tag);
    let wanted = headers.get(http::header::IF_MATCH).and_then(|tag| tag.to_str().ok());
    let must_be_new = headers.contains_key(http::header::IF_NONE_MATCH);
    let matches = match (wanted, must_be_new) {
        (Some(wanted), false) => current_tag.as_deref() == Some(wanted),
        (None, true) => current_tag.is_none(),
        (None, false) => {
            return Err(VersionConflict::NoCondition);
        }
        (Some(_), true) => false,
    };
    if matches {
        return Ok(());
    }
    Err(VersionConflict::Differs(current))
}

/// Why a conditional write had no effect.
#[derives::value]
enum VersionConflict {
    NoCondition,
    Differs(Option<object::ObjectVersion>),
}

impl IntoResponse for VersionConflict {
    fn into_response(self) -> axum::response::Response {
        match self {
            Self::NoCondition => {
                let remedy = "send If-Match or If-None-Match";
                (http::StatusCode::PRECONDITION_REQUIRED, remedy).into_response()
            }
            Self::Differs(None) => http::StatusCode::PRECONDITION_FAILED.into_response(),
            Self::Differs(Some(current)) => {
                let tag = version::to_entity_tag(current);
                (http::StatusCode::PRECONDITION_FAILED, [(http::header::ETAG, tag)]).into_response()
            }
        }
    }
}

async fn watch_kind(
    extract::State(server): Platform,
    extract::Path(kind): extract::Path<String>,
    extract::Query(parameters): extract::Query<WatchParameters>,
) -> axum::response::Response {
    server.lock().counts.watches += 1;
    let wait = time::Duration::from_millis(parameters.wait_ms.min(MAX_WATCH_MS));
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        let changed = server.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        {
            let state = server.lock();
            if state.faults.outage {
                return http::StatusCode::SERVICE_UNAVAILABLE.into_response();
            }
            let answer = state.changes(&kind, parameters.after);
            if !answer.changes.is_empty() || tokio::time::Instant::now() >= deadline {
                return axum::Json(answer).into_response();
            }
        }
        let _ = tokio::time::timeout_at(deadline, changed).await;
    }
}

async fn list_instances(extract::State(server): Platform) -> axum::response::Response {
    let mut state = server.lock();
    state.counts.reads += 1;
    axum::Json(state.shown_listing.clone()).into_response()
}

async fn replace_faults(
    extract::State(server): Platform,
    axum::Json(faults): axum::Json<PlatformFaults>,
) -> http::StatusCode {
    server.set_faults(faults);
    http::StatusCode::NO_CONTENT
}

async fn tell_counts(extract::State(server): Platform) -> axum::Json<PlatformCounts> {
    axum::Json(server.counts())
}

async fn replace_listing(
    extract::State(server): Platform,
    axum::Json(listing): axum::Json<listing::InstanceListing>,
) -> http::StatusCode {
    let lag = {
        let mut state = server.lock();
        state.listing = listing;
        time::Duration::from_millis(state.faults.listing_lag_ms)
    };
    tokio::spawn(async move {
        tokio::time::sleep(lag).await;
        let mut state = server.lock();
        state.shown_listing = state.listing.clone();
    });
    http::StatusCode::NO_CONTENT
}
