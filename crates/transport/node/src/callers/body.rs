//! The body of a caller's request, with a bound on its pauses.

use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;

use http_body::Body;
use marjoramwing_derives as derives;

/// What is wrong with a body that could not be read to its end.
#[derives::value]
pub enum BodyFault {
    /// The caller paused for too long.
    Paused,
    /// The caller broke off or sent a wrong chunk.
    Broken,
}

/// Tells what became of a request's body.
#[derive(Debug, Clone, Default)]
pub struct BodyWatch(sync::Arc<atomic::AtomicU8>);

const PAUSED: u8 = 1;
const BROKEN: u8 = 2;

impl BodyWatch {
    /// Returns the fault of the body, if it has one.
    #[must_use]
    pub fn fault(&self) -> Option<BodyFault> {
        match self.0.load(atomic::Ordering::Acquire) {
            PAUSED => Some(BodyFault::Paused),
            BROKEN => Some(BodyFault::Broken),
            _ => None,
        }
    }

    fn set(&self, fault: BodyFault) {
        let code = match fault {
            BodyFault::Paused => PAUSED,
            BodyFault::Broken => BROKEN,
        };
        self.0.store(code, atomic::Ordering::Release);
    }
}

/// Why a body ended early.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum BodyError {
    /// The caller paused for too long.
    #[display("the caller paused its body for too long")]
    Paused,
    /// The caller broke off or sent a wrong chunk.
    #[display("{_0}")]
    Broken(axum::Error),
}

/// A body that fails when its sender pauses for too long.
///
/// The pause counts only while the body is waited for, so that a slow backend
/// server is not taken for a slow caller.
#[derive(Debug)]
pub struct PacedBody {
    inner: axum::body::Body,
    pause: time::Duration,
    timer: Option<pin::Pin<Box<tokio::time::Sleep>>>,
    watch: BodyWatch,
}

impl PacedBody {
    /// Bounds the pauses of a body.
    #[must_use]
    pub fn new(inner: axum::body::Body, pause: time::Duration, watch: BodyWatch) -> Self {
        Self { inner, pause, timer: None, watch }
    }

    fn poll_timer(&mut self, context: &mut task::Context<'_>) -> task::Poll<()> {
        let pause = self.pause;
        let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(pause)));
        timer.as_mut().poll(context)
    }
}

type FrameResult = Result<http_body::Frame<bytes::Bytes>, BodyError>;

impl Body for PacedBody {
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
                    self.watch.set(BodyFault::Broken);
                    BodyError::Broken(error)
                })
            }));
        }
        task::ready!(self.poll_timer(context));
        self.watch.set(BodyFault::Paused);
        task::Poll::Ready(Some(Err(BodyError::Paused)))
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.inner.size_hint()
    }
}
