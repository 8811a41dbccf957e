//! One attempt at sending a request to one backend server.
//!
//! Invariant: the send gate of the connection enforces the time before which
//! the first byte must be written. Whether the request may have run is decided
//! by the gate's state, not by the error that the connection reports.

use std::net;
use std::sync;
use std::time;

use marjoramwing_dispatch::exchange;
use marjoramwing_dispatch::gate;
use marjoramwing_dispatch::picker;
use marjoramwing_entity::time as time_entity;
use marjoramwing_events::catalogue;
use marjoramwing_events::emit;
use marjoramwing_exchange::names;
use tokio_util::sync as cancellation;

use crate::backends::buffered;
use crate::backends::connection;
use crate::backends::dial;
use crate::backends::direct;
use crate::backends::response as backend_response;
use crate::backends::service;
use crate::callers::attempts;
use crate::callers::request;
use crate::callers::statement;

/// A finished attempt and its result.
pub(crate) struct AttemptEnd {
    pub(crate) key: exchange::AttemptKey,
    pub(crate) address: net::SocketAddr,
    pub(crate) result: AttemptResult,
}

/// The result of an attempt.
pub(crate) enum AttemptResult {
    Answered(Box<attempts::OpenResponse>),
    /// The backend server rejected the request without running it.
    Shed,
    /// A response arrived that carries the id of another request, or lacks what the
    /// dialect requires of a response to this one.
    Mismatched,
    /// The address now belongs to another server.
    Misdirected,
    /// A connection was open, but no usable response arrived on it; the state tells
    /// whether the request may have run.
    Failed(exchange::AttemptState),
    /// The same, since the server or the link to it fell silent.
    TimedOut(exchange::AttemptState),
    /// No connection could be opened.
    ConnectFailed(direct::DialFault),
    /// The backend server left, or said that it leaves, before the request was sent.
    Withdrawn,
    /// The attempt was cancelled in this state.
    Abandoned(exchange::AttemptState),
}

/// An attempt that is about to be made.
pub(crate) struct ServerAttempt<'a> {
    pub(crate) context: attempts::AttemptContext<'a>,
    pub(crate) key: exchange::AttemptKey,
    pub(crate) address: net::SocketAddr,
    pub(crate) cancel: cancellation::CancellationToken,
}

impl ServerAttempt<'_> {
    /// Runs the attempt in the slot held by `guard`.
    pub(crate) async fn run(self, guard: service::SlotGuard) -> AttemptEnd {
        let result = self.send_request(guard).await;
        AttemptEnd { key: self.key, address: self.address, result }
    }

    async fn send_request(&self, mut guard: service::SlotGuard) -> AttemptResult {
        let connection = tokio::select! {
            biased;
            () = self.cancel.cancelled() => None,
            connection = self.connect(&guard) => Some(connection),
        };
        let mut connection = match connection {
            None => return AttemptResult::Abandoned(exchange::AttemptState::NotSent),
            Some(Err(fault)) => {
                guard.record_result(picker::ReportedResult::Failed, None);
                return AttemptResult::ConnectFailed(fault);
            }
            Some(Ok(connection)) => connection,
        };
        // The connection may have taken a while to open.
        if !guard.may_send() {
            return AttemptResult::Withdrawn;
        }
        let send_before = self.context.deadline.min(self.context.send_before);
        let time_left = self.context.deadline.since(self.context.shared.now());
        let names = self.context.shared.names;
        let request = self.context.request.build(time_left, guard.server_id());
        let ids = request::CorrelationIds::of(request.headers(), names);
        let gate = sync::Arc::clone(connection.gate());
        let sent = tokio::select! {
            biased;
            sent = connection.send(request, send_before) => Some(sent),
            () = self.cancel.cancelled() => None,
        };
        let response = match sent {
            None => return self.abandon(&gate, guard),
            Some(Ok(response)) if is_deadline_timeout(&response, names) => {
                guard.record_result(picker::ReportedResult::Failed, None);
                return AttemptResult::Failed(gate.attempt_state());
            }
            Some(Ok(response)) if !ids.conflict_with(response.headers()) => response,
            Some(sent) => {
                let unsent = sent.as_ref().is_err_and(|state| state.is_not_run());
                let reported = if unsent {
                    picker::ReportedResult::Cancelled
                } else {
                    picker::ReportedResult::Failed
                };
                guard.record_result(reported, None);
                if connection.has_timed_out() && connection.relay_region().is_none() {
                    self.context.shared.reach.record_silence(self.context.shared.now());
                }
                return match sent {
                    Ok(_) => AttemptResult::Mismatched,
                    Err(state) if connection.has_timed_out() => AttemptResult::TimedOut(state),
                    Err(state) => AttemptResult::Failed(state),
                };
            }
        };
        if names.misdirected != Some(response.status()) {
            guard.record_answer(statement::read_statement(&response, names));
        }
        let open_requests = reported_load(response.headers(), names);
        match gate.attempt_state().after(response_event(&response, names)) {
            exchange::AttemptState::Answered if !ids.match_response(&response) => {
                guard.record_result(picker::ReportedResult::Failed, None);
                AttemptResult::Mismatched
            }
            exchange::AttemptState::Answered => {
                let (head, body) = response.into_parts();
                let read = tokio::select! {
                    biased;
                    read = self.buffer_response(body) => Some(read),
                    () = self.cancel.cancelled() => None,
                };
                let body = match read {
                    None => return self.abandon(&gate, guard),
                    Some(Err(error)) => {
                        emit!(catalogue::BACKEND_ANSWER_CUT, server = %self.address, error = %error);
                        guard.record_result(picker::ReportedResult::Failed, None);
                        return AttemptResult::Failed(gate.attempt_state());
                    }
                    Some(Ok(body)) => body,
                };
                let response = http::Response::from_parts(head, body);
                guard.record_result(reported_result(response.status(), guard.age()), open_requests);
                let resources =
                    backend_response::AttemptResources { connection, guard, suspect: None };
                AttemptResult::Answered(Box::new(attempts::OpenResponse { response, resources }))
            }
            exchange::AttemptState::Shed
                if !ids.match_refusal(&response, connection.requests()) =>
            {
                guard.record_result(picker::ReportedResult::Failed, None);
                AttemptResult::Mismatched
            }
            exchange::AttemptState::Shed if names.misdirected == Some(response.status()) => {
                guard.record_result(picker::ReportedResult::Failed, None);
                AttemptResult::Misdirected
            }
            exchange::AttemptState::Shed => {
                guard.record_result(picker::ReportedResult::Shed, open_requests);
                AttemptResult::Shed
            }
            state => AttemptResult::Failed(state),
        }
    }

    /// Buffers a small response to its end, if the dispatch policy asks for it.
    async fn buffer_response(
        &self,
        body: hyper::body::Incoming,
    ) -> Result<buffered::BufferedBody, hyper::Error> {
        match self.context.shared.dispatch.policy().buffers_small_responses {
            true => buffered::BufferedBody::buffer(body).await,
            false => Ok(buffered::BufferedBody::unbuffered(body)),
        }
    }

    /// Closes the send gate of a cancelled attempt and the idle connections to the same
    /// address, which may hang as well.
    fn abandon(&self, gate: &gate::SendGate, mut guard: service::SlotGuard) -> AttemptResult {
        guard.service().connections.close_idle(self.address);
        guard.record_result(picker::ReportedResult::Failed, None);
        AttemptResult::Abandoned(gate.close())
    }

    async fn connect(
        &self,
        guard: &service::SlotGuard,
    ) -> Result<connection::Connection, direct::DialFault> {
        let shared = self.context.shared;
        let idempotent = self.context.route.is_idempotent(self.context.request.method().as_str());
        let now = shared.now();
        let regions = self.context.regions.map(|regions| &**regions);
        let is_usable = |idle: &connection::Connection, last_used: time_entity::Timestamp| {
            let relay = idle.relay_region();
            let is_allowed =
                relay.is_none_or(|relay| regions.is_none_or(|regions| regions.contains(relay)));
            is_allowed && shared.reach.trusts(self.address, relay.is_some(), last_used, now)
        };
        let pooled = guard.service().connections.take(self.address, idempotent, is_usable, now);
        match pooled {
            Some(connection) => Ok(connection),
            None => {
                let started = shared.now();
                let dialed = dial::dial(shared, self.address, regions).await?;
                if dialed.relay_region.is_none() {
                    let round_trip = shared.now().since(started);
                    guard.service().record_connect_time(self.address, round_trip);
                }
                let opened = connection::Connection::new(dialed, shared.clock()).await;
                opened.ok_or(direct::DialFault::Failed)
            }
        }
    }
}

/// Returns the result to record for a backend server that responded.
///
/// A server error counts as a failure, so that a server that fails fast is not
/// preferred for its low latency. A 504 counts as a response, since a server that
/// reached the deadline was only slow.
fn reported_result(status: http::StatusCode, age: time::Duration) -> picker::ReportedResult {
    let timed_out = status == http::StatusCode::GATEWAY_TIMEOUT;
    match status.is_server_error() && !timed_out {
        true => picker::ReportedResult::Failed,
        false => picker::ReportedResult::Answered(age),
    }
}

fn reported_load(headers: &http::HeaderMap, names: &names::HeaderNames) -> Option<u32> {
    let text = headers.get(&names.load)?.to_str().ok()?;
    (names.parse_load)(text).map(|load| load.open_requests)
}

/// Returns true if the backend server gave up at the deadline it was given.
///
/// This is a 504 response in a dialect that does not mark the responses of backend
/// servers.
fn is_deadline_timeout<B>(response: &http::Response<B>, names: &names::HeaderNames) -> bool {
    response.status() == http::StatusCode::GATEWAY_TIMEOUT && names.response_marker.is_none()
}

fn response_event<B>(
    response: &http::Response<B>,
    names: &names::HeaderNames,
) -> exchange::AttemptEvent {
    let status = response.status();
    let has_shed_header = response.headers().contains_key(&names.shed);
    let is_shed = has_shed_header && names.shed_statuses.contains(&status);
    if is_shed || names.misdirected == Some(status) {
        exchange::AttemptEvent::ShedHead
    } else {
        exchange::AttemptEvent::Head
    }
}
