//! The loop that serves one pipelined connection.
//!
//! Invariants: responses are written in the order of their requests; a request
//! is dropped, with its attempts, once its caller has disconnected; every request
//! that had arrived before a graceful shutdown is answered, or counts as unread because an
//! earlier response announces the close.

use std::collections;
use std::sync;
use std::time;

use axum::response::IntoResponse;
use bytes::Buf;
use marjoramwing_dispatch::exchange;
use marjoramwing_events::catalogue;
use marjoramwing_events::emit;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio_util::sync as cancellation;
use tokio_util::task;

use crate::callers::handler;
use crate::callers::refusal;
use crate::pipeline::body;
use crate::pipeline::head;
use crate::pipeline::incoming;
use crate::pipeline::writer;
use crate::shared;
use crate::socket;

/// Unparsed bytes from which the connection stops reading, unless the limit of a head is larger.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Buffer space reserved for one read of a body, in bytes.
const BODY_READ_BYTES: usize = 16 * 1024;
/// Buffer space reserved for one read of heads, in bytes; most heads fit.
const HEAD_READ_BYTES: usize = 1024;
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Limits of one pipelined connection.
#[derive(Debug, Clone, Copy)]
pub struct PipelineLimits {
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// Time limit for the wait for a request, and again from its first byte to the end of its
    /// head, while no request is in progress.
    pub head_timeout: time::Duration,
    /// Time limit for one write of response data.
    pub write_timeout: time::Duration,
    /// Requests that may be processed at once.
    pub max_open: usize,
}

/// A connection and the requests that are in progress on it.
#[derive(Debug)]
pub struct PipelinedConnection {
    stream: tokio::net::TcpStream,
    handler: handler::RequestHandler,
    shared: sync::Arc<shared::InstanceState>,
    limits: PipelineLimits,
    buffer: bytes::BytesMut,
    /// Requests in the order of their arrival.
    open: collections::VecDeque<OpenRequest>,
    /// Body of the newest request, while it is being received.
    incoming: Option<incoming::IncomingBody>,
    /// Whether no further requests are read.
    is_closing: bool,
    /// Wait for a request, while none is in progress.
    head_wait: Option<HeadWait>,
}

/// The wait for a request, or for the rest of its head.
#[derive(Debug, Clone, Copy)]
struct HeadWait {
    /// Whether a part of the head has arrived.
    has_bytes: bool,
    ends_at: tokio::time::Instant,
}

/// A request whose response has not been written yet.
#[derive(Debug)]
struct OpenRequest {
    response: task::AbortOnDropHandle<axum::response::Response>,
    /// Whether the method is HEAD, so that the response has no body.
    is_head_request: bool,
    /// Whether later requests may run concurrently with this one.
    runs_concurrently: bool,
}

/// Why a connection ends.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum ConnectionEnd {
    /// The caller closed the connection.
    #[display("the caller closed the connection")]
    Closed,
    /// No data arrived within the time limit while no request was in progress.
    #[display("no request data arrived within the time limit")]
    Idle,
    /// The last response was written.
    #[display("the last response was written")]
    Finished,
    /// The task of a request ended without a response.
    #[display("the task of a request ended without a response")]
    TaskEnded,
    /// A response could not be written completely.
    #[display("{_0}")]
    Write(#[error(not(source))] writer::WriteFault),
}

impl ConnectionEnd {
    /// Returns true if the caller may still be reading responses.
    const fn may_leave_unread(&self) -> bool {
        match self {
            Self::Finished | Self::TaskEnded | Self::Write(writer::WriteFault::Body(_)) => true,
            Self::Closed | Self::Idle | Self::Write(_) => false,
        }
    }
}

impl PipelinedConnection {
    /// Wraps an accepted connection that has not been read from.
    #[must_use]
    pub fn new(
        stream: tokio::net::TcpStream,
        handler: handler::RequestHandler,
        limits: PipelineLimits,
    ) -> Self {
        let shared = sync::Arc::clone(&handler.shared);
        Self {
            stream,
            handler,
            shared,
            limits,
            buffer: bytes::BytesMut::new(),
            open: collections::VecDeque::new(),
            incoming: None,
            is_closing: false,
            head_wait: None,
        }
    }

    /// Serves the connection until it ends; requests in progress are then dropped.
    pub async fn serve(mut self, stop: cancellation::CancellationToken) -> ConnectionEnd {
        loop {
            if let Err(end) = self.step(&stop).await {
                self.log_unwritten();
                // Cancels the requests before the wait for the caller's close.
                self.open.clear();
                self.incoming = None;
                if end.may_leave_unread() {
                    socket::close(&mut self.stream).await;
                }
                return end;
            }
        }
    }

    async fn step(&mut self, stop: &cancellation::CancellationToken) -> Result<(), ConnectionEnd> {
        if stop.is_cancelled() && !self.is_closing {
            self.read_last_requests().await?;
        }
        self.read_requests();
        self.send_continue().await?;
        let is_idle = self.is_idle();
        if is_idle && self.is_closing {
            return Err(ConnectionEnd::Finished);
        }
        let has_capacity = self.buffer.len() < MAX_BUFFERED_BYTES.max(self.limits.max_head_bytes);
        let has_pending = self.incoming.as_ref().is_some_and(incoming::IncomingBody::has_pending);
        self.reserve_buffer(is_idle);
        let head_wait_end = self.update_head_wait(is_idle);
        tokio::select! {
            biased;
            response = next_response(&mut self.open), if !self.open.is_empty() => {
                self.write(response).await
            }
            () = send_pending(&mut self.incoming), if has_pending => Ok(()),
            read = read_more(&mut self.stream, &mut self.buffer), if has_capacity && !has_pending => {
                read
            }
            () = stop.cancelled(), if !self.is_closing => Ok(()),
            () = tokio::time::sleep_until(head_wait_end), if is_idle => Err(ConnectionEnd::Idle),
        }
    }

    /// Logs that the connection ends before the responses of its open requests were written.
    fn log_unwritten(&self) {
        if self.open.is_empty() || !self.shared.log_limiter.try_acquire(self.shared.now()) {
            return;
        }
        let ready = self.open.iter().filter(|open| open.response.is_finished()).count();
        emit!(catalogue::CALLER_RESPONSES_UNWRITTEN, peer = %self.handler.peer,
            open = self.open.len(), ready, stopping = self.shared.is_leaving());
    }

    /// Returns true if no request is in progress.
    fn is_idle(&self) -> bool {
        self.open.is_empty() && self.incoming.is_none()
    }

    /// Starts the requests that had arrived when a shutdown began; no others are read.
    ///
    /// An idle connection closes without a response that could say so, so a request that is
    /// still unread then would be lost.
    async fn read_last_requests(&mut self) -> Result<(), ConnectionEnd> {
        self.read_requests();
        while self.is_idle() && !socket::is_idle(&self.stream) {
            self.reserve_buffer(true);
            read_more(&mut self.stream, &mut self.buffer).await?;
            self.read_requests();
        }
        self.is_closing = true;
        Ok(())
    }

    /// Reserves space for the next read; a connection without a request holds as little memory
    /// as a head needs.
    fn reserve_buffer(&mut self, is_idle: bool) {
        if is_idle && self.buffer.is_empty() && self.buffer.capacity() > HEAD_READ_BYTES {
            self.buffer = bytes::BytesMut::new();
        }
        let is_body = self.incoming.is_some();
        self.buffer.reserve(if is_body { BODY_READ_BYTES } else { HEAD_READ_BYTES });
    }

    /// Returns the end of the wait for a request, which only the first byte of a head extends.
    fn update_head_wait(&mut self, is_idle: bool) -> tokio::time::Instant {
        let has_bytes = !self.buffer.is_empty();
        let ends_at = tokio::time::Instant::now() + self.limits.head_timeout;
        let known = self.head_wait.filter(|wait| is_idle && wait.has_bytes == has_bytes);
        let wait = known.unwrap_or(HeadWait { has_bytes, ends_at });
        self.head_wait = is_idle.then_some(wait);
        wait.ends_at
    }

    /// Parses the buffered requests and starts those that may run now.
    fn read_requests(&mut self) {
        loop {
            self.forward_body();
            if self.incoming.is_some() || !self.may_start() {
                return;
            }
            match head::read_head(&self.buffer, self.limits.max_head_bytes) {
                Ok(Some(head)) => self.start(head),
                Ok(None) => return,
                Err(fault) => return self.refuse(fault),
            }
        }
    }

    fn may_start(&self) -> bool {
        let runs_concurrently = self.open.back().is_none_or(|open| open.runs_concurrently);
        !self.is_closing
            && !self.buffer.is_empty()
            && self.open.len() < self.limits.max_open
            && runs_concurrently
    }

    fn start(&mut self, head: head::RequestHead) {
        let is_head_request = head.parts.method == http::Method::HEAD;
        let runs_concurrently = head.parts.method.is_safe();
        if !runs_concurrently && !self.open.is_empty() {
            // Stays in the buffer until all earlier requests are finished; until then, the mark
            // keeps `may_start` from having its head parsed again.
            if let Some(last) = self.open.back_mut() {
                last.runs_concurrently = false;
            }
            return;
        }
        self.buffer.advance(head.length);
        self.is_closing |= head.is_last || self.shared.is_leaving();
        let body = self.make_body(&head);
        let request = http::Request::from_parts(head.parts, body);
        let handler = self.handler.clone();
        let response = tokio::spawn(async move { handler.handle(request).await });
        let response = task::AbortOnDropHandle::new(response);
        self.open.push_back(OpenRequest { response, is_head_request, runs_concurrently });
    }

    fn make_body(&mut self, head: &head::RequestHead) -> axum::body::Body {
        let decoder = body::BodyDecoder::new(head.body);
        if decoder.is_ended() {
            return axum::body::Body::empty();
        }
        if let head::BodyFraming::Length(length) = head.body
            && let Some(length) =
                usize::try_from(length).ok().filter(|length| *length <= self.buffer.len())
        {
            return axum::body::Body::from(self.buffer.split_to(length).freeze());
        }
        let (sender, body) = body::ChannelBody::new(head.body);
        let sends_continue = head.expects_continue && self.buffer.is_empty();
        self.incoming = Some(incoming::IncomingBody::new(decoder, sender, sends_continue));
        axum::body::Body::new(body)
    }

    /// Sends the buffered bytes of the body to its reader.
    fn forward_body(&mut self) {
        let Some(incoming) = &mut self.incoming else { return };
        match incoming.forward(&mut self.buffer) {
            Ok(is_ended) if is_ended => self.incoming = None,
            Ok(_) => {}
            // Without an end, the body fails at its reader.
            Err(_) => {
                self.is_closing = true;
                self.incoming = None;
            }
        }
    }

    /// Queues a refusal of an invalid head behind all earlier responses.
    fn refuse(&mut self, fault: head::HeadFault) {
        let kind = match fault {
            head::HeadFault::Malformed => refusal::RefusalKind::BadRequest(
                "the request is not well-formed; send one that ends in one place only",
            ),
            head::HeadFault::TooLarge => refusal::RefusalKind::HeadTooLarge,
        };
        self.is_closing = true;
        self.buffer.clear();
        let refusal = refusal::Refusal::not_run(kind);
        let response = tokio::spawn(async move { refusal.into_response() });
        let response = task::AbortOnDropHandle::new(response);
        self.open.push_back(OpenRequest {
            response,
            is_head_request: false,
            runs_concurrently: false,
        });
    }

    async fn send_continue(&mut self) -> Result<(), ConnectionEnd> {
        // Responses to earlier requests must be written first.
        let is_oldest = self.open.len() == 1;
        let Some(incoming) =
            self.incoming.as_mut().filter(|incoming| incoming.sends_continue && is_oldest)
        else {
            return Ok(());
        };
        incoming.sends_continue = false;
        let written = self.stream.write_all(CONTINUE).await;
        written.map_err(|_| ConnectionEnd::Closed)
    }

    async fn write(
        &mut self,
        finished: Option<(axum::response::Response, bool)>,
    ) -> Result<(), ConnectionEnd> {
        let (response, is_head_request) = finished.ok_or(ConnectionEnd::TaskEnded)?;
        let is_newest = self.open.is_empty();
        // The rest of a request body is not read once its response is written.
        let discards_body = is_newest && self.incoming.is_some();
        self.is_closing |=
            discards_body || self.shared.is_leaving() || has_connection_close(&response);
        let is_last = is_newest && self.is_closing;
        let mut written = self.write_response(response, is_head_request, is_last).await;
        // The caller has seen nothing of the failed response: a refusal in its place keeps the
        // connection, and the responses behind it.
        if matches!(written, Err(writer::WriteFault::Unsent(_))) {
            let outcome = exchange::RequestOutcome::Unknown;
            let refusal = refusal::Refusal { kind: refusal::RefusalKind::ExchangeFailed, outcome };
            written = self.write_response(refusal.into_response(), is_head_request, is_last).await;
        }
        written.map_err(ConnectionEnd::Write)?;
        if is_last { Err(ConnectionEnd::Finished) } else { Ok(()) }
    }

    async fn write_response(
        &mut self,
        response: axum::response::Response,
        is_head_request: bool,
        is_last: bool,
    ) -> Result<(), writer::WriteFault> {
        let timeout = self.limits.write_timeout;
        writer::write_response(&mut self.stream, response, is_head_request, is_last, timeout).await
    }
}

/// Logs the requests whose responses are not written when the task is dropped.
impl Drop for PipelinedConnection {
    fn drop(&mut self) {
        self.log_unwritten();
    }
}

/// Waits for bytes from the caller.
async fn read_more(
    stream: &mut tokio::net::TcpStream,
    buffer: &mut bytes::BytesMut,
) -> Result<(), ConnectionEnd> {
    match stream.read_buf(buffer).await {
        Ok(0) | Err(_) => Err(ConnectionEnd::Closed),
        Ok(_) => Ok(()),
    }
}

/// Waits for the response to the oldest request; returns `None` if its task has failed.
async fn next_response(
    open: &mut collections::VecDeque<OpenRequest>,
) -> Option<(axum::response::Response, bool)> {
    let oldest = open.front_mut()?;
    let response = (&mut oldest.response).await.ok();
    let is_head_request = oldest.is_head_request;
    open.pop_front();
    response.map(|response| (response, is_head_request))
}

/// Sends the pending part of a body once the channel has capacity.
async fn send_pending(incoming: &mut Option<incoming::IncomingBody>) {
    if let Some(incoming) = incoming {
        incoming.send_pending().await;
    }
}

fn has_connection_close(response: &axum::response::Response) -> bool {
    let value = response.headers().get(http::header::CONNECTION);
    value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}
