//! A backend server with slots, shedding and faulty answers.
//!
//! It counts every run by request id, so that lost and doubled requests show.

use std::collections;
use std::sync;
use std::time;

use axum::extract;
use axum::response::IntoResponse;
use marjoramwing_derives as derives;

/// Header with which callers number their requests.
pub const REQUEST_ID: &str = "x-request-id";
/// Header with which a server says that it did not run a request.
pub const SHED_HEADER: &str = "marjoramwing-shed";

/// How a backend server behaves.
#[derives::document]
#[derive(Copy)]
#[serde(default, deny_unknown_fields)]
pub struct BackendBehaviour {
    /// Requests run at once; more are shed.
    pub slots: u32,
    /// Time that one request takes, in milliseconds.
    pub service_ms: u64,
    /// Bytes of an answer's body.
    pub answer_bytes: usize,
    /// What goes wrong with answers.
    pub fault: AnswerFault,
}

/// What goes wrong with a backend server's answers.
#[derives::document]
#[derive(Copy, Default, Eq)]
#[serde(rename_all = "lowercase")]
pub enum AnswerFault {
    /// Nothing.
    #[default]
    None,
    /// The request runs, but no answer is sent.
    Silent,
    /// The request runs, but the answer breaks off half-way.
    Cut,
    /// Every request is shed.
    Shed,
}

impl Default for BackendBehaviour {
    fn default() -> Self {
        Self { slots: 3, service_ms: 5, answer_bytes: 1_024, fault: AnswerFault::None }
    }
}

/// What a group of backend servers ran.
#[derive(Debug, Clone, Default)]
pub struct RunRecord {
    runs: sync::Arc<sync::Mutex<collections::HashMap<String, u32>>>,
    leaked_keys: sync::Arc<sync::atomic::AtomicU64>,
}

/// The runs of a group, as its control port tells them.
#[derives::document]
#[derive(Default)]
pub struct RunCounts {
    /// Runs by request id.
    pub runs: collections::HashMap<String, u32>,
    /// Requests that showed a key to a backend server.
    pub leaked_keys: u64,
}

impl RunRecord {
    /// Returns the runs so far.
    #[must_use]
    pub fn counts(&self) -> RunCounts {
        RunCounts {
            runs: self.lock().clone(),
            leaked_keys: self.leaked_keys.load(sync::atomic::Ordering::Relaxed),
        }
    }

    fn record(&self, id: &str) {
        *self.lock().entry(id.to_owned()).or_default() += 1;
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<String, u32>> {
        self.runs.lock().expect("no task panics while it holds the runs")
    }
}

/// One backend server.
#[derive(Debug, Clone)]
pub struct BackendServer {
    record: RunRecord,
    behaviour: sync::Arc<sync::Mutex<BackendBehaviour>>,
    in_flight: sync::Arc<sync::atomic::AtomicU32>,
}

struct SlotGuard(sync::Arc<sync::atomic::AtomicU32>);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, sync::atomic::Ordering::AcqRel);
    }
}

impl BackendServer {
    /// Makes a server that adds its runs to a record.
    #[must_use]
    pub fn new(record: RunRecord, behaviour: BackendBehaviour) -> Self {
        let behaviour = sync::Arc::new(sync::Mutex::new(behaviour));
        Self { record, behaviour, in_flight: sync::Arc::default() }
    }

    /// Changes the server's behaviour.
    ///
    /// # Panics
    ///
    /// Panics if a task panicked while it held the behaviour.
    pub fn set_behaviour(&self, behaviour: BackendBehaviour) {
        *self.behaviour.lock().expect("no task panics while it holds the behaviour") = behaviour;
    }

    /// Makes the HTTP service of the server.
    pub fn router(&self) -> axum::Router {
        axum::Router::new()
            .route("/control/behaviour", axum::routing::put(replace_behaviour))
            .route("/control/runs", axum::routing::get(tell_runs))
            .fallback(answer_request)
            .with_state(self.clone())
    }

    fn behaviour(&self) -> BackendBehaviour {
        *self.behaviour.lock().expect("no task panics while it holds the behaviour")
    }

    fn take_slot(&self, slots: u32) -> Option<SlotGuard> {
        let guard = SlotGuard(sync::Arc::clone(&self.in_flight));
        let before = self.in_flight.fetch_add(1, sync::atomic::Ordering::AcqRel);
        (before < slots).then_some(guard)
    }
}

async fn replace_behaviour(
    extract::State(server): extract::State<BackendServer>,
    axum::Json(behaviour): axum::Json<BackendBehaviour>,
) -> http::StatusCode {
    server.set_behaviour(behaviour);
    http::StatusCode::NO_CONTENT
}

async fn tell_runs(extract::State(server): extract::State<BackendServer>) -> axum::Json<RunCounts> {
    axum::Json(server.record.counts())
}

async fn answer_request(
    extract::State(server): extract::State<BackendServer>,
    request: extract::Request,
) -> axum::response::Response {
    let behaviour = server.behaviour();
    let slot = server.take_slot(behaviour.slots);
    if slot.is_none() || behaviour.fault == AnswerFault::Shed {
        return (http::StatusCode::SERVICE_UNAVAILABLE, [(SHED_HEADER, "1")]).into_response();
    }
    let (parts, body) = request.into_parts();
    if axum::body::to_bytes(body, usize::MAX).await.is_err() {
        return http::StatusCode::BAD_REQUEST.into_response();
    }
    note_leaked_key(&server.record, &parts.headers);
    let id = parts.headers.get(REQUEST_ID).and_then(|value| value.to_str().ok()).unwrap_or("none");
    server.record.record(id);
    tokio::time::sleep(time::Duration::from_millis(behaviour.service_ms)).await;
    match behaviour.fault {
        AnswerFault::Silent => std::future::pending().await,
        AnswerFault::Cut => cut_answer(id, behaviour.answer_bytes),
        AnswerFault::None | AnswerFault::Shed => whole_answer(id, behaviour.answer_bytes),
    }
}

fn note_leaked_key(record: &RunRecord, headers: &http::HeaderMap) {
    let shows_key = headers.contains_key(http::header::AUTHORIZATION)
        || headers.contains_key("x-marjoramwing-key");
    if shows_key {
        record.leaked_keys.fetch_add(1, sync::atomic::Ordering::Relaxed);
    }
}

/// Returns the body that a whole answer to a request must have.
#[must_use]
pub fn expected_body(id: &str, length: usize) -> Vec<u8> {
    let pattern = id.bytes().chain([b'\n']);
    pattern.cycle().take(length).collect()
}

fn whole_answer(id: &str, length: usize) -> axum::response::Response {
    ([(REQUEST_ID, id)], expected_body(id, length)).into_response()
}

fn cut_answer(id: &str, length: usize) -> axum::response::Response {
    let half = bytes::Bytes::from(expected_body(id, length / 2));
    let frames = [Ok(half), Err(std::io::Error::other("cut"))];
    let body = axum::body::Body::from_stream(futures_util::stream::iter(frames));
    ([(REQUEST_ID, id)], body).into_response()
}
