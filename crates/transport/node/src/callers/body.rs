//! Request bodies with an idle timeout.

use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;

use http_body::Body;
use marjoramwing_derives as derives;

/// Why a request body could not be read to its end.
#[derives::value]
pub enum BodyFault {
    /// The caller sent no data within the idle timeout.
    TimedOut,
    /// The caller disconnected or sent an invalid chunk.
    Broken,
}

/// Fault of a request body, shared between the body and the handler of its request.
#[derive(Debug, Clone, Default)]
pub struct BodyStatus(sync::Arc<atomic::AtomicU8>);

const TIMED_OUT: u8 = 1;
const BROKEN: u8 = 2;

impl BodyStatus {
    /// Returns the fault of the body, if reading it has failed.
    #[must_use]
    pub fn fault(&self) -> Option<BodyFault> {
        match self.0.load(atomic::Ordering::Acquire) {
            TIMED_OUT => Some(BodyFault::TimedOut),
            BROKEN => Some(BodyFault::Broken),
            _ => None,
        }
    }

    fn set(&self, fault: BodyFault) {
        let code = match fault {
            BodyFault::TimedOut => TIMED_OUT,
            BodyFault::Broken => BROKEN,
        };
        self.0.store(code, atomic::Ordering::Release);
    }
}

/// Error returned by a body that could not be read to its end.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum BodyError {
    /// The caller sent no data within the idle timeout.
    #[display("the caller sent no body data within the idle timeout")]
    TimedOut,
    /// The caller disconnected or sent an invalid chunk.
    #[display("{_0}")]
    Broken(axum::Error),
}

/// A request body that fails when no data arrives within the idle timeout.
///
/// The timer runs only while the body is polled and has no data, so that a slow
/// backend server does not count against the caller.
#[derive(Debug)]
pub struct TimeoutBody {
    inner: axum::body::Body,
    idle_timeout: time::Duration,
    timer: Option<pin::Pin<Box<tokio::time::Sleep>>>,
    status: BodyStatus,
}

impl TimeoutBody {
    /// Wraps a body; `idle_timeout` limits the time between two frames.
    #[must_use]
    pub fn new(inner: axum::body::Body, idle_timeout: time::Duration, status: BodyStatus) -> Self {
        Self { inner, idle_timeout, timer: None, status }
    }

    fn poll_timer(&mut self, context: &mut task::Context<'_>) -> task::Poll<()> {
        let idle_timeout = self.idle_timeout;
        let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(idle_timeout)));
        timer.as_mut().poll(context)
    }
}

type FrameResult = Result<http_body::Frame<bytes::Bytes>, BodyError>;

impl Body for TimeoutBody {
    type Data = bytes::Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<FrameResult>> {
        if let task::Poll::Ready(frame) = pin::Pin::new(&mut self.inner).poll_frame(context) {
            self.timer = None;
            return task::Poll::Ready(frame.map(|frame| {
                frame.map_err(|error| {
                    self.status.set(BodyFault::Broken);
                    BodyError::Broken(error)
                })
            }));
        }
        task::ready!(self.poll_timer(context));
        self.status.set(BodyFault::TimedOut);
        task::Poll::Ready(Some(Err(BodyError::TimedOut)))
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.inner.size_hint()
    }
}
