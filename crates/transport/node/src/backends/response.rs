//! Response bodies, which return their connection to the connection pool at the end.
//!
//! Invariants: a response that the backend server truncates fails at the caller
//! and never looks like a shorter complete one; a response that is still being received
//! is aborted when the key that authorized its request is withdrawn; a backend server that
//! keeps sending holds its slot no longer than until the request's deadline.

use std::future::Future;
use std::pin;
use std::sync;
use std::task;
use std::time as duration;

use http_body::Body as _;
use marjoramwing_dispatch::fingerprint;
use marjoramwing_dispatch::picker;
use marjoramwing_entity::time;

use crate::backends::buffered;
use crate::backends::connection;
use crate::backends::service;
use crate::callers::credential;
use crate::callers::headers;
use crate::shared;

/// Interval at which the key and the idle timeout of a response are checked.
const CHECK_PERIOD: duration::Duration = duration::Duration::from_secs(1);

/// Error that aborts a response body.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum ResponseError {
    /// The connection to the backend server failed within the response.
    #[display(
        "the connection to the backend server failed within the response; retry the request if it is idempotent"
    )]
    ConnectionFailed(hyper::Error),
    /// The backend server sent nothing for longer than the idle timeout of a body.
    #[display("the backend server stalled within its response; check the backend server")]
    IdleTimeout,
    /// The backend server did not end its response by the deadline.
    #[display(
        "the response did not end by the deadline; check the backend server and the route's deadline"
    )]
    DeadlineExceeded,
    /// The key that authorized the request was withdrawn.
    #[display("the key was withdrawn; ask your operators for a new one")]
    KeyWithdrawn,
}

/// Body of a response that is streamed to the caller.
///
/// At its end the connection returns to the connection pool and the slot is released.
#[derive(Debug)]
pub struct ResponseBody {
    body: buffered::BufferedBody,
    resources: Option<AttemptResources>,
    credential: Option<credential::AuthorizedKey>,
    deadline: time::Timestamp,
    check_timer: Option<pin::Pin<Box<tokio::time::Sleep>>>,
    checked_at: time::Timestamp,
    last_frame_at: time::Timestamp,
    shared: sync::Arc<shared::InstanceState>,
}

/// Connection and slot of one attempt, held until its response has been read completely.
#[derive(Debug)]
pub struct AttemptResources {
    /// Connection that carries the response.
    pub connection: connection::Connection,
    /// Slot at the backend server.
    pub guard: service::SlotGuard,
    /// Content of a suspected request, which the end of the response clears.
    pub suspect: Option<fingerprint::ContentFingerprint>,
}

impl ResponseBody {
    /// Wraps the body of a response, of which no part is read after `deadline` unless it
    /// was buffered.
    #[must_use]
    pub fn new(
        body: buffered::BufferedBody,
        resources: AttemptResources,
        credential: Option<credential::AuthorizedKey>,
        deadline: time::Timestamp,
        shared: sync::Arc<shared::InstanceState>,
    ) -> Self {
        let now = shared.now();
        let (checked_at, last_frame_at) = (now, now);
        let resources = Some(resources);
        let mut response = Self {
            body,
            resources,
            credential,
            deadline,
            check_timer: None,
            checked_at,
            last_frame_at,
            shared,
        };
        if response.body.is_end_stream() {
            response.return_connection();
        }
        response
    }

    fn return_connection(&mut self) {
        if let Some(AttemptResources { connection, guard, suspect }) = self.resources.take() {
            if let Some(content) = suspect {
                self.shared.quarantine.record_answer(content);
            }
            let connections = &guard.service().connections;
            connections.put_back(guard.address(), connection, self.shared.now());
        }
    }

    fn abort(&mut self, error: &ResponseError) {
        if let Some(mut resources) = self.resources.take()
            && !matches!(error, ResponseError::KeyWithdrawn)
        {
            resources.guard.record_result(picker::ReportedResult::Failed, None);
        }
    }

    fn check_credential(&mut self, now: time::Timestamp) -> Result<(), ResponseError> {
        // A response that is complete is delivered: it may have waited behind earlier ones.
        if self.body.is_buffered() || now.since(self.checked_at) < CHECK_PERIOD {
            return Ok(());
        }
        self.checked_at = now;
        match &self.credential {
            Some(key) if !key.is_valid(&self.shared) => Err(ResponseError::KeyWithdrawn),
            _ => Ok(()),
        }
    }

    fn check_idle(&self, now: time::Timestamp) -> Result<(), ResponseError> {
        let is_idle =
            now.since(self.last_frame_at) >= self.shared.settings.callers.body_idle_timeout;
        if is_idle { Err(ResponseError::IdleTimeout) } else { Ok(()) }
    }

    /// Fails once the deadline has passed, unless the backend server owes no more bytes.
    fn check_deadline(&self, now: time::Timestamp) -> Result<(), ResponseError> {
        let is_late = now >= self.deadline && !self.body.is_buffered();
        if is_late { Err(ResponseError::DeadlineExceeded) } else { Ok(()) }
    }

    /// Registers a wake-up for the next check while the backend server sends nothing.
    fn poll_check_timer(
        &mut self,
        context: &mut task::Context<'_>,
        now: time::Timestamp,
    ) -> task::Poll<()> {
        let until_check = CHECK_PERIOD.min(self.deadline.since(now));
        let timer =
            self.check_timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(until_check)));
        let polled = timer.as_mut().poll(context);
        if polled.is_ready() {
            timer.as_mut().reset(tokio::time::Instant::now() + until_check);
        }
        polled
    }

    fn poll_checked(&mut self, context: &mut task::Context<'_>) -> PolledFrame {
        loop {
            let now = self.shared.now();
            self.check_credential(now)?;
            self.check_deadline(now)?;
            match pin::Pin::new(&mut self.body).poll_frame(context) {
                task::Poll::Ready(polled) => {
                    self.last_frame_at = now;
                    return task::Poll::Ready(polled.map(|frame| Ok(strip_trailers(frame?))));
                }
                task::Poll::Pending => self.check_idle(now)?,
            }
            task::ready!(self.poll_check_timer(context, now));
        }
    }
}

fn strip_trailers(mut frame: http_body::Frame<bytes::Bytes>) -> http_body::Frame<bytes::Bytes> {
    if let Some(trailers) = frame.trailers_mut() {
        headers::remove_internal(trailers);
    }
    frame
}

type PolledFrame = task::Poll<Option<Result<http_body::Frame<bytes::Bytes>, ResponseError>>>;

impl http_body::Body for ResponseBody {
    type Data = bytes::Bytes;
    type Error = ResponseError;

    fn poll_frame(mut self: pin::Pin<&mut Self>, context: &mut task::Context<'_>) -> PolledFrame {
        let polled = self.poll_checked(context);
        match &polled {
            task::Poll::Ready(None) => self.return_connection(),
            task::Poll::Ready(Some(Err(error))) => self.abort(error),
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
