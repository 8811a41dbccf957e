//! What decided a request, for the log.
//!
//! One line for each request, with its number, the inputs of the decision and
//! their versions. The lines of one second are bounded; a counter tells how
//! many were left out.

use std::net;
use std::sync;
use std::sync::atomic;

use marjoramwing_entity::time;
use marjoramwing_events::catalogue;
use marjoramwing_events::emit;

use crate::shared;

/// Lines on requests that one instance writes in a second.
const MAX_LINES_PER_SECOND: u64 = 400;
/// Longest number of a request that is logged, in bytes.
const MAX_ID_BYTES: usize = 64;

/// What is known of one request while it is answered.
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
    /// Time at which the last attempt was given its slot.
    granted_us: u64,
    /// Servers that were tried, with what came of each.
    tried: Vec<TriedServer>,
}

#[derive(Debug, Clone)]
struct TriedServer {
    address: net::SocketAddr,
    /// Identifier of a server that registered itself; empty for others.
    identity: sync::Arc<str>,
    result: &'static str,
}

impl RequestTrace {
    /// Begins the trace of a request.
    #[must_use]
    pub fn begin(
        shared: &shared::SharedTables,
        headers: &http::HeaderMap,
        arrived: time::Timestamp,
    ) -> Self {
        let id = headers.get(&shared.names.request_id).and_then(|value| value.to_str().ok());
        let id = id.filter(|id| id.len() <= MAX_ID_BYTES).unwrap_or_default().to_owned();
        Self { id, arrived, steps: sync::Mutex::default() }
    }

    /// Notes whose request it is.
    pub fn note_team(&self, team: &str) {
        self.lock().team = team.into();
    }

    /// Notes that the request is within its limits.
    pub fn note_admitted(&self, now: time::Timestamp) {
        self.lock().admitted_us = self.since_arrival(now);
    }

    /// Notes that an attempt has a slot of a server.
    pub fn note_granted(
        &self,
        address: net::SocketAddr,
        identity: Option<&str>,
        now: time::Timestamp,
    ) {
        let mut steps = self.lock();
        steps.granted_us = self.since_arrival(now);
        let identity = identity.unwrap_or_default().into();
        steps.tried.push(TriedServer { address, identity, result: "open" });
    }

    /// Notes what came of the attempt at a server.
    pub fn note_ended(&self, address: net::SocketAddr, result: &'static str) {
        let mut steps = self.lock();
        let tried = steps.tried.iter_mut().rev().find(|tried| tried.address == address);
        if let Some(tried) = tried {
            tried.result = result;
        }
    }

    /// Writes the line of a request that was decided.
    pub fn log(&self, shared: &shared::SharedTables, route: &str, outcome: &str, status: u16) {
        let now = shared.now();
        if !shared.lines.take(now) {
            shared.metrics.lines_left_out.inc();
            return;
        }
        let steps = self.lock().clone();
        let tried = steps
            .tried
            .iter()
            .map(|tried| format!("{}@{}={}", tried.identity, tried.address, tried.result));
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

/// Bounds the lines of one second.
#[derive(Debug, Default)]
pub struct LineBudget {
    second: atomic::AtomicU64,
    lines: atomic::AtomicU64,
}

impl LineBudget {
    /// Takes the place of one line, if the second has one left.
    pub fn take(&self, now: time::Timestamp) -> bool {
        let second = now.as_micros() / 1_000_000;
        if self.second.swap(second, atomic::Ordering::Relaxed) != second {
            self.lines.store(0, atomic::Ordering::Relaxed);
        }
        self.lines.fetch_add(1, atomic::Ordering::Relaxed) < MAX_LINES_PER_SECOND
    }
}
