//! The log line that is written for each request, also if it ends without a response.
//!
//! A line holds the request's id, how it was admitted and dispatched, and the
//! versions of the tables that were used. The number of lines per second is
//! limited; a metric counts those that were dropped.

use std::net;
use std::sync;
use std::sync::atomic;

use marjoramwing_derives as derives;
use marjoramwing_entity::time;
use marjoramwing_events::catalogue;
use marjoramwing_events::emit;

use crate::shared;

/// Request log lines that an instance writes per second.
const MAX_LINES_PER_SECOND: u64 = 400;
/// Longest request id that is logged, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Data for the log line of one request, collected while it is processed.
///
/// If it is dropped before [`Self::log`], the request ended without a response, since its caller
/// disconnected or the process stops; the line then tells what the request was waiting for.
#[derive(Debug)]
pub struct RequestTrace {
    shared: sync::Arc<shared::InstanceState>,
    id: String,
    is_logged: atomic::AtomicBool,
    arrived: time::Timestamp,
    steps: sync::Mutex<TraceSteps>,
}

#[derive(Debug, Default, Clone)]
struct TraceSteps {
    team: sync::Arc<str>,
    /// What the request waits for while no attempt is open.
    wait: RequestWait,
    /// Time from arrival until the request was admitted.
    admitted_us: u64,
    /// Time from arrival until the latest attempt got its slot.
    granted_us: u64,
    /// Backend servers that were tried, oldest first.
    tried: Vec<TriedServer>,
}

/// What a request waits for.
#[derives::value]
#[derive(Default, derive_more::Display)]
pub enum RequestWait {
    /// Its admission under the rate limits.
    #[default]
    #[display("admission")]
    Admission,
    /// Its body.
    #[display("body")]
    Body,
    /// The claim of its idempotency key.
    #[display("claim")]
    Claim,
    /// A slot of a backend server.
    #[display("slot")]
    Slot,
    /// The response of a backend server.
    #[display("server")]
    Server,
}

/// Result of an attempt that has not ended.
const OPEN_ATTEMPT: &str = "open";

#[derive(Debug, Clone)]
struct TriedServer {
    address: net::SocketAddr,
    /// Identifier of a server that registered itself; empty for configured servers.
    server_id: sync::Arc<str>,
    result: &'static str,
}

impl RequestTrace {
    /// Starts the trace of a request.
    #[must_use]
    pub fn begin(
        shared: &sync::Arc<shared::InstanceState>,
        headers: &http::HeaderMap,
        arrived: time::Timestamp,
    ) -> Self {
        let id = headers.get(&shared.names.request_id).and_then(|value| value.to_str().ok());
        let id = id.filter(|id| id.len() <= MAX_ID_BYTES).unwrap_or_default().to_owned();
        Self {
            shared: sync::Arc::clone(shared),
            id,
            is_logged: atomic::AtomicBool::new(false),
            arrived,
            steps: sync::Mutex::default(),
        }
    }

    /// Returns the id that the caller gave the request.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Records the team of the request.
    pub fn record_team(&self, team: &str) {
        self.lock().team = team.into();
    }

    /// Records what the request waits for next.
    pub fn record_wait(&self, wait: RequestWait) {
        self.lock().wait = wait;
    }

    /// Records the time at which the request was admitted under its rate limits.
    pub fn record_admitted(&self, now: time::Timestamp) {
        self.lock().admitted_us = self.since_arrival(now);
    }

    /// Records that an attempt got a slot on a server.
    pub fn record_slot_granted(
        &self,
        address: net::SocketAddr,
        server_id: Option<&str>,
        now: time::Timestamp,
    ) {
        let mut steps = self.lock();
        steps.granted_us = self.since_arrival(now);
        let server_id = server_id.unwrap_or_default().into();
        steps.tried.push(TriedServer { address, server_id, result: OPEN_ATTEMPT });
    }

    /// Records the result of the latest attempt on a server.
    pub fn record_attempt_ended(&self, address: net::SocketAddr, result: &'static str) {
        let mut steps = self.lock();
        let tried = steps.tried.iter_mut().rev().find(|tried| tried.address == address);
        if let Some(tried) = tried {
            tried.result = result;
        }
    }

    /// Writes the log line, unless this second's lines are used up.
    pub fn log(&self, route: &str, outcome: &str, status: u16) {
        self.is_logged.store(true, atomic::Ordering::Relaxed);
        let shared = &self.shared;
        let Some(now) = self.acquire_line() else { return };
        let steps = self.lock().clone();
        let tried = steps.describe_tried();
        emit!(catalogue::REQUEST_DECIDED, request = %self.id, route, team = %steps.team, outcome,
            status, tables = shared.tables.load().versions.routes,
            tables_age_ms = shared.metrics.tables_age_ms.get(),
            servers = shared.dispatch.registered_revision(), admitted_us = steps.admitted_us,
            granted_us = steps.granted_us, tried = %tried, took_us = self.since_arrival(now));
    }

    /// Writes the log line of a request without a response, unless this second's lines are used
    /// up.
    fn log_unanswered(&self) {
        let Some(now) = self.acquire_line() else { return };
        let steps = self.lock().clone();
        emit!(catalogue::REQUEST_UNANSWERED, request = %self.id, team = %steps.team,
            waits_for = %steps.wait(), stopping = self.shared.is_leaving(),
            admitted_us = steps.admitted_us, granted_us = steps.granted_us,
            tried = %steps.describe_tried(), open_us = self.since_arrival(now));
    }

    /// Returns the current time if another line may be written.
    fn acquire_line(&self) -> Option<time::Timestamp> {
        let now = self.shared.now();
        if self.shared.log_limiter.try_acquire(now) {
            return Some(now);
        }
        self.shared.metrics.lines_left_out.inc();
        None
    }

    fn since_arrival(&self, now: time::Timestamp) -> u64 {
        u64::try_from(now.since(self.arrived).as_micros()).unwrap_or(u64::MAX)
    }

    fn lock(&self) -> sync::MutexGuard<'_, TraceSteps> {
        self.steps.lock().expect("no task panics while it holds a trace")
    }
}

impl Drop for RequestTrace {
    fn drop(&mut self) {
        if !self.is_logged.load(atomic::Ordering::Relaxed) {
            self.shared.metrics.unanswered_requests.inc();
            self.log_unanswered();
        }
    }
}

impl TraceSteps {
    fn wait(&self) -> RequestWait {
        if self.tried.iter().any(|tried| tried.result == OPEN_ATTEMPT) {
            return RequestWait::Server;
        }
        self.wait
    }

    fn describe_tried(&self) -> String {
        let tried = self.tried.iter();
        let tried =
            tried.map(|tried| format!("{}@{}={}", tried.server_id, tried.address, tried.result));
        tried.collect::<Vec<_>>().join(" ")
    }
}

/// Limits the number of request log lines per second.
#[derive(Debug, Default)]
pub struct LogLimiter {
    second: atomic::AtomicU64,
    lines: atomic::AtomicU64,
}

impl LogLimiter {
    /// Returns true if another line may be written in the current second.
    pub fn try_acquire(&self, now: time::Timestamp) -> bool {
        let second = now.as_micros() / 1_000_000;
        if self.second.swap(second, atomic::Ordering::Relaxed) != second {
            self.lines.store(0, atomic::Ordering::Relaxed);
        }
        self.lines.fetch_add(1, atomic::Ordering::Relaxed) < MAX_LINES_PER_SECOND
    }
}
