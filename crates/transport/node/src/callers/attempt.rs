//! One attempt at one backend server.
//!
//! Invariant: the last moment at which the first byte may be written is
//! checked by the connection's gate; how far the attempt came is read off the
//! gate, whatever the connection says.

use std::net;
use std::sync;
use std::time;

use marjoramwing_dispatch::exchange;
use marjoramwing_dispatch::gate;
use marjoramwing_dispatch::picker;
use marjoramwing_events::catalogue;
use marjoramwing_events::emit;
use marjoramwing_exchange::names;
use tokio_util::sync as cancellation;

use crate::backends::answer as backend_answer;
use crate::backends::connection;
use crate::backends::service;
use crate::backends::whole;
use crate::callers::attempts;
use crate::callers::request;

/// How an attempt ended.
pub(crate) struct AttemptEnd {
    pub(crate) key: exchange::AttemptKey,
    pub(crate) address: net::SocketAddr,
    pub(crate) result: AttemptResult,
}

/// What came of an attempt.
pub(crate) enum AttemptResult {
    Answered(Box<attempts::OpenAnswer>),
    Shed,
    Crossed,
    /// Another server has the address now.
    Misdirected,
    Failed(exchange::AttemptState),
    Unreachable,
    Abandoned(exchange::AttemptState),
}

/// One attempt on its way to one backend server.
pub(crate) struct ServerAttempt<'a> {
    pub(crate) context: attempts::AttemptContext<'a>,
    pub(crate) key: exchange::AttemptKey,
    pub(crate) address: net::SocketAddr,
    pub(crate) cancel: cancellation::CancellationToken,
}

impl ServerAttempt<'_> {
    /// Makes the attempt with the slot that it was given.
    pub(crate) async fn run(self, guard: service::ServerGuard) -> AttemptEnd {
        let result = self.exchange(guard).await;
        AttemptEnd { key: self.key, address: self.address, result }
    }

    async fn exchange(&self, mut guard: service::ServerGuard) -> AttemptResult {
        let connection = tokio::select! {
            biased;
            () = self.cancel.cancelled() => None,
            connection = self.connect(&guard) => Some(connection),
        };
        let mut connection = match connection {
            None => return AttemptResult::Abandoned(exchange::AttemptState::NotSent),
            Some(None) => {
                guard.note(picker::ReportedResult::Failed, None);
                return AttemptResult::Unreachable;
            }
            Some(Some(connection)) => connection,
        };
        let send_before = self.context.deadline.min(self.context.send_before);
        let time_left = self.context.deadline.since(self.context.shared.now());
        let names = self.context.shared.names;
        let request = self.context.request.build(time_left, guard.identity());
        let marks = request::AnswerMarks::of(request.headers(), names);
        let gate = sync::Arc::clone(connection.gate());
        let sent = tokio::select! {
            biased;
            sent = connection.send(request, send_before) => Some(sent),
            () = self.cancel.cancelled() => None,
        };
        let response = match sent {
            None => return self.abandon(&gate, guard),
            Some(Ok(response)) if is_late(&response, names) => {
                guard.note(picker::ReportedResult::Failed, None);
                return AttemptResult::Failed(gate.attempt_state());
            }
            Some(Ok(response)) if !marks.contradict(response.headers()) => response,
            Some(sent) => {
                let unsent = sent.as_ref().is_err_and(|state| state.is_not_run());
                let told = if unsent {
                    picker::ReportedResult::Cancelled
                } else {
                    picker::ReportedResult::Failed
                };
                guard.note(told, None);
                return sent.map_or_else(AttemptResult::Failed, |_| AttemptResult::Crossed);
            }
        };
        let open_requests = told_load(response.headers(), names);
        match gate.attempt_state().after(head_event(&response, names)) {
            exchange::AttemptState::Answered if !marks.confirm(&response) => {
                guard.note(picker::ReportedResult::Failed, None);
                AttemptResult::Crossed
            }
            exchange::AttemptState::Answered => {
                let (head, body) = response.into_parts();
                let read = tokio::select! {
                    biased;
                    read = self.read_ahead(body) => Some(read),
                    () = self.cancel.cancelled() => None,
                };
                let body = match read {
                    None => return self.abandon(&gate, guard),
                    Some(Err(error)) => {
                        emit!(catalogue::BACKEND_ANSWER_CUT, server = %self.address, error = %error);
                        guard.note(picker::ReportedResult::Failed, None);
                        return AttemptResult::Failed(gate.attempt_state());
                    }
                    Some(Ok(body)) => body,
                };
                let response = http::Response::from_parts(head, body);
                guard.note(told_result(response.status(), guard.age()), open_requests);
                let exchange = backend_answer::OpenExchange { connection, guard };
                AttemptResult::Answered(Box::new(attempts::OpenAnswer { response, exchange }))
            }
            exchange::AttemptState::Shed if names.misdirected == Some(response.status()) => {
                guard.note(picker::ReportedResult::Failed, None);
                AttemptResult::Misdirected
            }
            exchange::AttemptState::Shed => {
                guard.note(picker::ReportedResult::Shed, open_requests);
                AttemptResult::Shed
            }
            state => AttemptResult::Failed(state),
        }
    }

    /// Reads a small answer whole, where the deployment passes on only those.
    async fn read_ahead(
        &self,
        body: hyper::body::Incoming,
    ) -> Result<whole::ReadBody, hyper::Error> {
        match self.context.shared.dispatch.policy().buffers_small_responses {
            true => whole::ReadBody::read(body).await,
            false => Ok(whole::ReadBody::unread(body)),
        }
    }

    /// Closes a silent exchange and forgets what may have gone silent with it.
    fn abandon(&self, gate: &gate::SendGate, mut guard: service::ServerGuard) -> AttemptResult {
        guard.service().connections.forget(self.address);
        guard.note(picker::ReportedResult::Failed, None);
        AttemptResult::Abandoned(gate.close())
    }

    async fn connect(&self, guard: &service::ServerGuard) -> Option<connection::Connection> {
        let shared = self.context.shared;
        let idempotent = self.context.route.is_idempotent(self.context.request.method().as_str());
        let kept = guard.service().connections.take(self.address, idempotent, shared.now());
        match kept {
            Some(connection) => Some(connection),
            None => {
                let begun = shared.now();
                let opened = connection::Connection::open(self.address, shared.clock()).await?;
                guard.service().note_connected(self.address, shared.now().since(begun));
                Some(opened)
            }
        }
    }
}

/// Returns what an answer tells of its backend server.
///
/// One that fails at once must not pass for a fast one. A server that gave up at
/// the deadline was only slow.
fn told_result(status: http::StatusCode, age: time::Duration) -> picker::ReportedResult {
    let gave_up = status == http::StatusCode::GATEWAY_TIMEOUT;
    match status.is_server_error() && !gave_up {
        true => picker::ReportedResult::Failed,
        false => picker::ReportedResult::Answered(age),
    }
}

fn told_load(headers: &http::HeaderMap, names: &names::HeaderNames) -> Option<u32> {
    let text = headers.get(&names.load)?.to_str().ok()?;
    (names.read_load)(text).map(|load| load.open)
}

/// Tells whether a backend server gave up at the deadline that it was told.
fn is_late<B>(response: &http::Response<B>, names: &names::HeaderNames) -> bool {
    response.status() == http::StatusCode::GATEWAY_TIMEOUT && names.answer_mark.is_none()
}

fn head_event<B>(
    response: &http::Response<B>,
    names: &names::HeaderNames,
) -> exchange::AttemptEvent {
    let status = response.status();
    let says_so = response.headers().contains_key(&names.shed);
    let is_shed = says_so && names.shed_statuses.contains(&status);
    if is_shed || names.misdirected == Some(status) {
        exchange::AttemptEvent::ShedHead
    } else {
        exchange::AttemptEvent::Head
    }
}
