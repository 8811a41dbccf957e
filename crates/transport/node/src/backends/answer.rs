//! The body of an answer, which returns its connection.
//!
//! Invariants: an answer that the backend server cuts short reaches the caller
//! as a broken answer, never as a shorter whole one; an answer ends when its
//! key is withdrawn.

use std::future::Future;
use std::pin;
use std::sync;
use std::task;
use std::time as duration;

use http_body::Body as _;
use marjoramwing_dispatch::picker;
use marjoramwing_entity::time;

use crate::backends::connection;
use crate::backends::service;
use crate::backends::whole;
use crate::callers::credential;
use crate::callers::headers;
use crate::shared;

/// Time between two checks of an open answer.
const CHECK_PERIOD: duration::Duration = duration::Duration::from_secs(1);

/// Why an answer ended before it was whole.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum AnswerError {
    /// The backend server broke off.
    #[display("the backend server broke off its answer; send the request again if it may repeat")]
    Broken(hyper::Error),
    /// The backend server went silent.
    #[display("the backend server sent nothing more of its answer; check the backend server")]
    Silent,
    /// The key was withdrawn.
    #[display("the key was withdrawn; ask your operators for a new one")]
    KeyWithdrawn,
}

/// Streams an answer and frees its backend server at the end.
#[derive(Debug)]
pub struct AnswerBody {
    body: whole::ReadBody,
    exchange: Option<OpenExchange>,
    credential: Option<credential::AuthorizedKey>,
    check: Option<pin::Pin<Box<tokio::time::Sleep>>>,
    checked_at: time::Timestamp,
    heard_at: time::Timestamp,
    shared: sync::Arc<shared::SharedTables>,
}

/// What an open answer holds until it was read whole.
#[derive(Debug)]
pub struct OpenExchange {
    /// Connection that carries the answer.
    pub connection: connection::Connection,
    /// Slot of the backend server.
    pub guard: service::ServerGuard,
}

impl AnswerBody {
    /// Wraps the body of an open answer.
    #[must_use]
    pub fn new(
        body: whole::ReadBody,
        exchange: OpenExchange,
        credential: Option<credential::AuthorizedKey>,
        shared: sync::Arc<shared::SharedTables>,
    ) -> Self {
        let now = shared.now();
        let (checked_at, heard_at) = (now, now);
        let exchange = Some(exchange);
        let check = None;
        let mut answer = Self { body, exchange, credential, check, checked_at, heard_at, shared };
        if answer.body.is_end_stream() {
            answer.return_connection();
        }
        answer
    }

    fn return_connection(&mut self) {
        if let Some(OpenExchange { connection, guard }) = self.exchange.take() {
            let connections = &guard.service().connections;
            connections.put_back(guard.address(), connection, self.shared.now());
        }
    }

    fn break_off(&mut self, error: &AnswerError) {
        if let Some(mut exchange) = self.exchange.take()
            && !matches!(error, AnswerError::KeyWithdrawn)
        {
            exchange.guard.note(picker::ReportedResult::Failed, None);
        }
    }

    fn check_credential(&mut self, now: time::Timestamp) -> Result<(), AnswerError> {
        if now.since(self.checked_at) < CHECK_PERIOD {
            return Ok(());
        }
        self.checked_at = now;
        match &self.credential {
            Some(watch) if !watch.is_valid(&self.shared) => Err(AnswerError::KeyWithdrawn),
            _ => Ok(()),
        }
    }

    fn check_silence(&self, now: time::Timestamp) -> Result<(), AnswerError> {
        let silent = now.since(self.heard_at) >= self.shared.settings.callers.body_pause;
        if silent { Err(AnswerError::Silent) } else { Ok(()) }
    }

    /// Waits for the backend server, but wakes for the next check.
    fn poll_check(&mut self, context: &mut task::Context<'_>) -> task::Poll<()> {
        let check = self.check.get_or_insert_with(|| Box::pin(tokio::time::sleep(CHECK_PERIOD)));
        let polled = check.as_mut().poll(context);
        if polled.is_ready() {
            check.as_mut().reset(tokio::time::Instant::now() + CHECK_PERIOD);
        }
        polled
    }

    fn poll_checked(&mut self, context: &mut task::Context<'_>) -> PolledFrame {
        loop {
            let now = self.shared.now();
            self.check_credential(now)?;
            match pin::Pin::new(&mut self.body).poll_frame(context) {
                task::Poll::Ready(polled) => {
                    self.heard_at = now;
                    return task::Poll::Ready(polled.map(|frame| Ok(strip_trailers(frame?))));
                }
                task::Poll::Pending => self.check_silence(now)?,
            }
            task::ready!(self.poll_check(context));
        }
    }
}

fn strip_trailers(mut frame: http_body::Frame<bytes::Bytes>) -> http_body::Frame<bytes::Bytes> {
    if let Some(trailers) = frame.trailers_mut() {
        headers::remove_internal(trailers);
    }
    frame
}

type PolledFrame = task::Poll<Option<Result<http_body::Frame<bytes::Bytes>, AnswerError>>>;

impl http_body::Body for AnswerBody {
    type Data = bytes::Bytes;
    type Error = AnswerError;

    fn poll_frame(mut self: pin::Pin<&mut Self>, context: &mut task::Context<'_>) -> PolledFrame {
        let polled = self.poll_checked(context);
        match &polled {
            task::Poll::Ready(None) => self.return_connection(),
            task::Poll::Ready(Some(Err(error))) => self.break_off(error),
            task::Poll::Ready(Some(Ok(_))) if self.body.is_end_stream() => {
                self.return_connection();
            }
            task::Poll::Ready(Some(Ok(_))) | task::Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}
