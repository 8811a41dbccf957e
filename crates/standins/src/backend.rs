//! A backend server with a limited number of slots, load shedding and fault
//! injection.
//!
//! It supports cancellation (closing the connection ends the run) and deadlines.

use std::sync;
use std::time;

use axum::extract;
use axum::response::IntoResponse;
use marjoramwing_derives as derives;

use crate::behaviour;
use crate::record;
use crate::switch;

/// Header with the identifier of a request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header by which a server states that it did not run a request.
pub const SHED_HEADER: &str = "marjoramwing-shed";
/// Header with the time left until the deadline of a request, in milliseconds.
pub const DEADLINE_HEADER: &str = "marjoramwing-deadline-ms";
/// Header with the team of a request.
pub const TEAM_HEADER: &str = "marjoramwing-team";
/// Header with the load of a server: the fraction of its slots in use.
pub const LOAD_HEADER: &str = "marjoramwing-load";
/// Path of the health endpoint.
pub const HEALTH_PATH: &str = "/health";

/// A backend server; clones share its state.
#[derive(Debug, Clone)]
pub struct BackendServer {
    record: record::RunRecord,
    gauge: sync::Arc<record::SlotGauge>,
    state: sync::Arc<sync::Mutex<ServerState>>,
}

#[derive(Debug)]
struct ServerState {
    behaviour: behaviour::BackendBehaviour,
    /// Number of runs started.
    runs: u32,
    /// Identifier of the request whose response was last prepared, for crossed responses.
    last_id: String,
    /// Load at the previous report, for lagging reports.
    last_load: f64,
    /// Time at which a run last started or ended.
    last_active: time::Instant,
}

/// The activity of one server, as returned by its control path.
#[derives::document]
#[derive(Copy, Default)]
pub struct ServerActivity {
    /// Number of runs started.
    pub runs: u32,
    /// Number of slots in use.
    pub in_use: u32,
    /// Time since a run last started or ended, in milliseconds.
    pub idle_ms: u64,
}

/// Releases the slot of a run when dropped, records the time as the server's last
/// activity, and counts the run as cancelled unless it has finished.
struct RunGuard {
    server: BackendServer,
    _slot: record::SlotGuard,
    finished: bool,
}

impl RunGuard {
    /// Marks the run as finished and releases its slot.
    fn finish(mut self) {
        self.finished = true;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.server.lock().last_active = time::Instant::now();
        if !self.finished {
            self.server.record.lock().cancelled += 1;
        }
    }
}

impl BackendServer {
    /// Creates a server that adds its runs to a record.
    #[must_use]
    pub fn new(record: record::RunRecord, behaviour: behaviour::BackendBehaviour) -> Self {
        let gauge = record.add_gauge(behaviour.slots);
        let state = ServerState {
            behaviour,
            runs: 0,
            last_id: "none".to_owned(),
            last_load: 0.0,
            last_active: time::Instant::now(),
        };
        Self { record, gauge, state: sync::Arc::new(sync::Mutex::new(state)) }
    }

    /// Replaces the behaviour of the server.
    ///
    /// # Panics
    ///
    /// Panics if the mutex of the server is poisoned.
    pub fn set_behaviour(&self, behaviour: behaviour::BackendBehaviour) {
        self.gauge.set_slots(behaviour.slots);
        self.lock().behaviour = behaviour;
    }

    /// Returns the current behaviour of the server.
    ///
    /// # Panics
    ///
    /// Panics if the mutex of the server is poisoned.
    #[must_use]
    pub fn behaviour(&self) -> behaviour::BackendBehaviour {
        self.lock().behaviour
    }

    /// Returns the number of runs, the slots in use and the idle time.
    ///
    /// # Panics
    ///
    /// Panics if the mutex of the server is poisoned.
    #[must_use]
    pub fn activity(&self) -> ServerActivity {
        let state = self.lock();
        let idle_ms = u64::try_from(state.last_active.elapsed().as_millis()).unwrap_or(u64::MAX);
        ServerActivity { runs: state.runs, in_use: self.gauge.in_use(), idle_ms }
    }

    /// Creates the HTTP service of the server, control paths included.
    pub fn router(&self) -> axum::Router {
        axum::Router::new()
            .route("/control/behaviour", axum::routing::put(change_behaviour))
            .route("/control/runs", axum::routing::get(get_runs))
            .route("/control/slots", axum::routing::get(get_slots))
            .route("/control/activity", axum::routing::get(get_activity))
            .route(HEALTH_PATH, axum::routing::get(get_health))
            .fallback(handle_request)
            .with_state(self.clone())
    }

    fn lock(&self) -> sync::MutexGuard<'_, ServerState> {
        self.state.lock().expect("the mutex of the server is not poisoned")
    }

    /// Starts a run if a slot is free, and returns its guard and its number on this
    /// server, counted from 1.
    fn start_run(&self, id: &str, head: &http::request::Parts) -> Option<(RunGuard, u32)> {
        let slot = self.gauge.try_acquire()?;
        let run_number = {
            let mut state = self.lock();
            state.runs += 1;
            state.last_active = time::Instant::now();
            state.runs
        };
        let mut counts = self.record.lock();
        *counts.runs.entry(id.to_owned()).or_default() += 1;
        if let Some(team) = header_text(head, TEAM_HEADER) {
            *counts.teams.entry(team.to_owned()).or_default() += 1;
        }
        Some((RunGuard { server: self.clone(), _slot: slot, finished: false }, run_number))
    }

    fn reported_load(&self) -> Option<f64> {
        let slots = f64::from(self.gauge.slots().max(1));
        let load = f64::from(self.gauge.in_use()) / slots;
        let mut state = self.lock();
        let previous = std::mem::replace(&mut state.last_load, load);
        match state.behaviour.load {
            behaviour::LoadReporting::None => None,
            behaviour::LoadReporting::True => Some(load),
            behaviour::LoadReporting::Empty => Some(0.0),
            behaviour::LoadReporting::Full => Some(1.0),
            behaviour::LoadReporting::Lagging => Some(previous),
        }
    }
}

type Server = extract::State<BackendServer>;

async fn change_behaviour(
    extract::State(server): Server,
    axum::Json(change): axum::Json<serde_json::Map<String, serde_json::Value>>,
) -> axum::response::Response {
    match switch::merge_members(&server.behaviour(), change) {
        Ok(behaviour) => {
            server.set_behaviour(behaviour);
            http::StatusCode::NO_CONTENT.into_response()
        }
        Err(error) => (http::StatusCode::BAD_REQUEST, error.to_string()).into_response(),
    }
}

async fn get_runs(extract::State(server): Server) -> axum::Json<record::RunCounts> {
    axum::Json(server.record.counts())
}

async fn get_slots(extract::State(server): Server) -> axum::Json<record::SlotUse> {
    axum::Json(server.record.slot_use())
}

async fn get_activity(extract::State(server): Server) -> axum::Json<ServerActivity> {
    axum::Json(server.activity())
}

async fn get_health(extract::State(server): Server) -> http::StatusCode {
    let behaviour = server.behaviour();
    if behaviour.healthy && !behaviour.draining {
        http::StatusCode::OK
    } else {
        http::StatusCode::SERVICE_UNAVAILABLE
    }
}

async fn handle_request(
    extract::State(server): Server,
    request: extract::Request,
) -> axum::response::Response {
    let (head, body) = request.into_parts();
    let Ok(body) = axum::body::to_bytes(body, usize::MAX).await else {
        return http::StatusCode::BAD_REQUEST.into_response();
    };
    server.record.lock().leaked_keys.record_request(&head, &body);
    let behaviour = server.behaviour();
    let id = header_text(&head, REQUEST_ID_HEADER).unwrap_or("none");
    let sheds = behaviour.draining || behaviour.fault == behaviour::AnswerFault::Shed;
    let deadline_ms = header_text(&head, DEADLINE_HEADER).and_then(|text| text.parse().ok());
    let started = if sheds || deadline_ms == Some(0) { None } else { server.start_run(id, &head) };
    let Some((guard, run_number)) = started else {
        server.record.lock().shed += 1;
        let shed = (http::StatusCode::SERVICE_UNAVAILABLE, [(SHED_HEADER, "1")]);
        return with_load(shed.into_response(), server.reported_load());
    };
    let run_ms = behaviour.run_ms(run_number);
    let allowed_ms = run_ms.min(deadline_ms.unwrap_or(u64::MAX));
    tokio::time::sleep(time::Duration::from_millis(allowed_ms)).await;
    if allowed_ms < run_ms {
        guard.finish();
        server.record.lock().expired += 1;
        return http::StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    let fault = behaviour.fault_of(run_number);
    if fault == behaviour::AnswerFault::Silent {
        std::future::pending::<()>().await;
    }
    let previous_id = std::mem::replace(&mut server.lock().last_id, id.to_owned());
    let response = if behaviour.body_pause_ms > 0 && fault == behaviour::AnswerFault::None {
        split_response(id, behaviour, guard)
    } else {
        guard.finish();
        make_response(fault, id, &previous_id, behaviour.answer_bytes)
    };
    with_load(response, server.reported_load())
}

fn header_text<'a>(head: &'a http::request::Parts, name: &str) -> Option<&'a str> {
    head.headers.get(name).and_then(|value| value.to_str().ok())
}

fn with_load(
    mut response: axum::response::Response,
    load: Option<f64>,
) -> axum::response::Response {
    if let Some(load) = load {
        let text = format!("{load:.2}");
        let value = http::HeaderValue::from_str(&text).expect("a number is a valid header");
        response.headers_mut().insert(LOAD_HEADER, value);
    }
    response
}

/// Returns the expected body of a complete response to a request.
#[must_use]
pub fn expected_body(id: &str, length: usize) -> Vec<u8> {
    let pattern = id.bytes().chain([b'\n']);
    pattern.cycle().take(length).collect()
}

fn make_response(
    fault: behaviour::AnswerFault,
    id: &str,
    previous_id: &str,
    length: usize,
) -> axum::response::Response {
    match fault {
        behaviour::AnswerFault::Cut => truncated_response(id, length, None),
        behaviour::AnswerFault::Short => truncated_response(id, length, Some(length)),
        behaviour::AnswerFault::Crossed => complete_response(previous_id, length),
        behaviour::AnswerFault::None
        | behaviour::AnswerFault::Silent
        | behaviour::AnswerFault::Delayed
        | behaviour::AnswerFault::Shed => complete_response(id, length),
    }
}

fn complete_response(id: &str, length: usize) -> axum::response::Response {
    ([(REQUEST_ID_HEADER, id)], expected_body(id, length)).into_response()
}

/// Returns a response whose body is sent in two halves with a pause between
/// them; its slot stays in use until the second half is sent.
fn split_response(
    id: &str,
    behaviour: behaviour::BackendBehaviour,
    guard: RunGuard,
) -> axum::response::Response {
    let mut first = bytes::Bytes::from(expected_body(id, behaviour.answer_bytes));
    let second = first.split_off(behaviour.answer_bytes / 2);
    let pause = time::Duration::from_millis(behaviour.body_pause_ms);
    let rest = async move {
        tokio::time::sleep(pause).await;
        guard.finish();
        Ok::<_, std::io::Error>(second)
    };
    let halves = futures_util::stream::once(std::future::ready(Ok(first)));
    let halves = futures_util::StreamExt::chain(halves, futures_util::stream::once(rest));
    let length = http::HeaderValue::from(behaviour.answer_bytes);
    let body = axum::body::Body::from_stream(halves);
    let mut response = ([(REQUEST_ID_HEADER, id)], body).into_response();
    response.headers_mut().insert(http::header::CONTENT_LENGTH, length);
    response
}

/// Returns a response that breaks off after half of its body; it is chunked if no
/// `Content-Length` is given.
fn truncated_response(
    id: &str,
    length: usize,
    content_length: Option<usize>,
) -> axum::response::Response {
    let half = bytes::Bytes::from(expected_body(id, length / 2));
    let frames = [Ok(half), Err(std::io::Error::other("response truncated by an injected fault"))];
    let body = axum::body::Body::from_stream(futures_util::stream::iter(frames));
    let mut response = ([(REQUEST_ID_HEADER, id)], body).into_response();
    if let Some(content_length) = content_length {
        let value = http::HeaderValue::from(content_length);
        response.headers_mut().insert(http::header::CONTENT_LENGTH, value);
    }
    response
}
