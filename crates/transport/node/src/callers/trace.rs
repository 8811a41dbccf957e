//! The log line that is written for each request.
//!
//! A line holds the request's id, how it was admitted and dispatched, and the
//! versions of the tables that were used. The number of lines per second is
//! limited; a metric counts those that were dropped.

use std::net;
use std::sync;
use std::sync::atomic;

use marjoramwing_entity::time;
use marjoramwing_events::catalogue;
use marjoramwing_events::emit;

use crate::shared;

/// Request log lines that an instance writes per second.
const MAX_LINES_PER_SECOND: u64 = 400;
/// Longest request id that is logged, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Data for the log line of one request, collected while it is processed.
#[derive(Debug)]
pub struct RequestTrace {
    id: String,
    arrived: time::Timestamp,
    steps: sync::Mutex<TraceSteps>,
}

#[derive(Debug, Default, Clone)]
struct TraceSteps {
    team: sync::Arc<str>,
    admitted_us: u64,
    /// Time from arrival until the latest attempt got its slot.
    granted_us: u64,
    /// Backend servers that were tried, oldest first.
    tried: Vec<TriedServer>,
}

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
        shared: &shared::InstanceState,
        headers: &http::HeaderMap,
        arrived: time::Timestamp,
    ) -> Self {
        let id = headers.get(&shared.names.request_id).and_then(|value| value.to_str().ok());
        let id = id.filter(|id| id.len() <= MAX_ID_BYTES).unwrap_or_default().to_owned();
        Self { id, arrived, steps: sync::Mutex::default() }
    }

    /// Records the team of the request.
    pub fn record_team(&self, team: &str) {
        self.lock().team = team.into();
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
        steps.tried.push(TriedServer { address, server_id, result: "open" });
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
    pub fn log(&self, shared: &shared::InstanceState, route: &str, outcome: &str, status: u16) {
        let now = shared.now();
        if !shared.log_limiter.try_acquire(now) {
            shared.metrics.lines_left_out.inc();
            return;
        }
        let steps = self.lock().clone();
        let tried = steps
            .tried
            .iter()
            .map(|tried| format!("{}@{}={}", tried.server_id, tried.address, tried.result));
        let tried = tried.collect::<Vec<_>>().join(" ");
        emit!(catalogue::REQUEST_DECIDED, request = %self.id, route, team = %steps.team, outcome,
            status, tables = shared.tables.load().versions.routes,
            tables_age_ms = shared.metrics.tables_age_ms.get(),
            servers = shared.dispatch.registered_revision(), admitted_us = steps.admitted_us,
            granted_us = steps.granted_us, tried = %tried, took_us = self.since_arrival(now));
    }

    fn since_arrival(&self, now: time::Timestamp) -> u64 {
        u64::try_from(now.since(self.arrived).as_micros()).unwrap_or(u64::MAX)
    }

    fn lock(&self) -> sync::MutexGuard<'_, TraceSteps> {
        self.steps.lock().expect("no task panics while it holds a trace")
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
