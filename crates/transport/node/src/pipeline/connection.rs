//! One connection of a caller.
//!
//! Invariants: answers leave in the order of their requests; a request is
//! dropped, with its attempts, once its caller has closed; no request that was
//! begun goes unanswered by a planned stop.

use std::collections;
use std::sync;
use std::time;

use axum::response::IntoResponse;
use bytes::Buf;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio_util::sync as cancellation;
use tokio_util::task;

use crate::callers::answer;
use crate::callers::guard;
use crate::pipeline::body;
use crate::pipeline::head;
use crate::pipeline::writer;
use crate::shared;

/// Bytes that wait to be read as requests.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Space for one read.
const READ_BYTES: usize = 16 * 1024;
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Limits of one connection.
#[derive(Debug, Clone, Copy)]
pub struct PipelineLimits {
    /// Largest head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Longest wait for a request's head, and for the next request.
    pub head_timeout: time::Duration,
    /// Longest wait until the caller reads an answer on.
    pub write_timeout: time::Duration,
    /// Requests that may be open at once.
    pub max_open: usize,
}

/// A caller's connection with the requests that are open on it.
#[derive(Debug)]
pub struct PipelinedConnection {
    stream: tokio::net::TcpStream,
    guard: guard::CallerGuard,
    shared: sync::Arc<shared::SharedTables>,
    limits: PipelineLimits,
    buffer: bytes::BytesMut,
    open: collections::VecDeque<OpenRequest>,
    arriving: Option<ArrivingRequest>,
    /// Whether the request read last is the last one that is read.
    is_ending: bool,
}

/// A request whose answer is awaited.
#[derive(Debug)]
struct OpenRequest {
    answer: task::AbortOnDropHandle<axum::response::Response>,
    is_head: bool,
    /// Whether the requests behind it may run beside it.
    runs_beside: bool,
}

/// A request whose body is still arriving.
#[derive(Debug)]
struct ArrivingRequest {
    decoder: body::BodyDecoder,
    /// Gone once nobody reads the body any more.
    sender: Option<body::PartSender>,
    waiting: Option<bytes::Bytes>,
    tells_continue: bool,
}

/// Why a connection ends.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum ConnectionEnd {
    /// The caller closed.
    #[display("the caller closed")]
    Closed,
    /// No request came for long.
    #[display("no request came in time")]
    Idle,
    /// The last answer was written.
    #[display("the last answer was written")]
    Finished,
    /// A request could not be answered.
    #[display("the task of a request ended early")]
    TaskEnded,
    /// An answer could not be written whole.
    #[display("{_0}")]
    Write(#[error(not(source))] writer::WriteFault),
}

impl PipelinedConnection {
    /// Takes over a connection that carried nothing yet.
    #[must_use]
    pub fn new(
        stream: tokio::net::TcpStream,
        guard: guard::CallerGuard,
        limits: PipelineLimits,
    ) -> Self {
        let shared = sync::Arc::clone(&guard.shared);
        Self {
            stream,
            guard,
            shared,
            limits,
            buffer: bytes::BytesMut::with_capacity(READ_BYTES),
            open: collections::VecDeque::new(),
            arriving: None,
            is_ending: false,
        }
    }

    /// Serves the connection until it ends; open requests are dropped with it.
    pub async fn serve(mut self, stop: cancellation::CancellationToken) -> ConnectionEnd {
        loop {
            let step = self.step(&stop).await;
            if let Err(end) = step {
                if matches!(end, ConnectionEnd::Finished) {
                    self.close().await;
                }
                return end;
            }
        }
    }

    async fn step(&mut self, stop: &cancellation::CancellationToken) -> Result<(), ConnectionEnd> {
        self.is_ending |= stop.is_cancelled();
        self.read_requests();
        self.tell_continue().await?;
        let is_idle = self.open.is_empty() && self.arriving.is_none();
        if is_idle && self.is_ending {
            return Err(ConnectionEnd::Finished);
        }
        let reads = self.buffer.len() < MAX_BUFFERED_BYTES.max(self.limits.max_head_bytes);
        let waits_for_reader =
            self.arriving.as_ref().is_some_and(|arriving| arriving.waiting.is_some());
        self.buffer.reserve(READ_BYTES);
        tokio::select! {
            biased;
            answer = next_answer(&mut self.open), if !self.open.is_empty() => {
                self.write(answer).await
            }
            () = hand_over(&mut self.arriving), if waits_for_reader => Ok(()),
            read = self.stream.read_buf(&mut self.buffer), if reads && !waits_for_reader => {
                match read {
                    Ok(0) | Err(_) => Err(ConnectionEnd::Closed),
                    Ok(_) => Ok(()),
                }
            }
            () = stop.cancelled(), if !self.is_ending => Ok(()),
            () = tokio::time::sleep(self.limits.head_timeout), if is_idle => {
                Err(ConnectionEnd::Idle)
            }
        }
    }

    /// Begins the requests at hand that may be begun now.
    fn read_requests(&mut self) {
        loop {
            self.feed_body();
            if self.arriving.is_some() || !self.may_begin() {
                return;
            }
            match head::read_head(&self.buffer, self.limits.max_head_bytes) {
                Ok(Some(head)) => self.begin(head),
                Ok(None) => return,
                Err(fault) => return self.refuse(fault),
            }
        }
    }

    fn may_begin(&self) -> bool {
        let runs_beside = self.open.back().is_none_or(|open| open.runs_beside);
        !self.is_ending
            && !self.buffer.is_empty()
            && self.open.len() < self.limits.max_open
            && runs_beside
    }

    fn begin(&mut self, head: head::RequestHead) {
        let is_head = head.parts.method == http::Method::HEAD;
        let runs_beside = head.parts.method.is_safe();
        if !runs_beside && !self.open.is_empty() {
            // Waits for the answers before it; its bytes stay in the buffer.
            if let Some(last) = self.open.back_mut() {
                last.runs_beside = false;
            }
            return;
        }
        self.buffer.advance(head.length);
        self.is_ending |= head.is_last || self.shared.is_leaving();
        let body = self.take_body(&head);
        let request = http::Request::from_parts(head.parts, body);
        let guard = self.guard.clone();
        let answer = tokio::spawn(async move { guard.answer(request).await });
        let answer = task::AbortOnDropHandle::new(answer);
        self.open.push_back(OpenRequest { answer, is_head, runs_beside });
    }

    fn take_body(&mut self, head: &head::RequestHead) -> axum::body::Body {
        let decoder = body::BodyDecoder::new(head.body);
        if decoder.is_ended() {
            return axum::body::Body::empty();
        }
        if let head::BodyFraming::Length(length) = head.body
            && let Some(length) = usize::try_from(length).ok().filter(|l| *l <= self.buffer.len())
        {
            return axum::body::Body::from(self.buffer.split_to(length).freeze());
        }
        let (sender, body) = body::ArrivingBody::new(head.body);
        let tells_continue = head.expects_continue && self.buffer.is_empty();
        self.arriving =
            Some(ArrivingRequest { decoder, sender: Some(sender), waiting: None, tells_continue });
        axum::body::Body::new(body)
    }

    /// Moves what has arrived of a body on to whoever reads it.
    fn feed_body(&mut self) {
        while let Some(arriving) = &mut self.arriving {
            if arriving.waiting.is_some() {
                return;
            }
            match arriving.decoder.next_part(&mut self.buffer) {
                Ok(Some(part)) => arriving.offer(Ok(part)),
                Ok(None) if arriving.decoder.is_ended() => self.arriving = None,
                Ok(None) => return,
                Err(fault) => {
                    arriving.offer(Err(fault));
                    self.is_ending = true;
                    self.arriving = None;
                }
            }
        }
    }

    /// Refuses what cannot be read as a request, behind all answers before it.
    fn refuse(&mut self, fault: head::HeadFault) {
        let kind = match fault {
            head::HeadFault::Malformed => answer::RefusalKind::BadRequest(
                "the request is not well-formed; send one that ends in one place only",
            ),
            head::HeadFault::TooLarge => answer::RefusalKind::HeadTooLarge,
        };
        self.is_ending = true;
        self.buffer.clear();
        let refusal = answer::Refusal::not_run(kind);
        let answer = tokio::spawn(async move { refusal.into_response() });
        let answer = task::AbortOnDropHandle::new(answer);
        self.open.push_back(OpenRequest { answer, is_head: false, runs_beside: false });
    }

    async fn tell_continue(&mut self) -> Result<(), ConnectionEnd> {
        let alone = self.open.len() == 1;
        let Some(arriving) = self.arriving.as_mut().filter(|told| told.tells_continue && alone)
        else {
            return Ok(());
        };
        arriving.tells_continue = false;
        let written = self.stream.write_all(CONTINUE).await;
        written.map_err(|_| ConnectionEnd::Closed)
    }

    async fn write(
        &mut self,
        answered: Option<(axum::response::Response, bool)>,
    ) -> Result<(), ConnectionEnd> {
        let (answer, is_head) = answered.ok_or(ConnectionEnd::TaskEnded)?;
        let answers_last = self.open.is_empty();
        // The rest of a body that nobody reads any more is not waited for.
        let cuts_body = answers_last && self.arriving.is_some();
        self.is_ending |= cuts_body || self.shared.is_leaving() || asks_close(&answer);
        let is_last = answers_last && self.is_ending;
        let timeout = self.limits.write_timeout;
        let written =
            writer::write_answer(&mut self.stream, answer, is_head, is_last, timeout).await;
        written.map_err(ConnectionEnd::Write)?;
        if is_last { Err(ConnectionEnd::Finished) } else { Ok(()) }
    }

    /// Closes in a way that does not reset what the caller has yet to read.
    async fn close(&mut self) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let mut dropped = [0; 1_024];
        let drain = async { while matches!(self.stream.read(&mut dropped).await, Ok(1..)) {} };
        let _ = tokio::time::timeout(CLOSE_WAIT, drain).await;
    }
}

/// Longest wait for the caller to close after the last answer.
const CLOSE_WAIT: time::Duration = time::Duration::from_millis(500);

impl ArrivingRequest {
    /// Hands a part over, or keeps it until there is room.
    fn offer(&mut self, part: Result<bytes::Bytes, body::BodyFault>) {
        let Some(sender) = &self.sender else { return };
        match sender.try_send(part) {
            Ok(()) => {}
            Err(tokio::sync::mpsc::error::TrySendError::Full(Ok(part))) => {
                self.waiting = Some(part);
            }
            Err(_) => self.sender = None,
        }
    }
}

/// Waits for the answer to the oldest request; `None` if its task has ended.
async fn next_answer(
    open: &mut collections::VecDeque<OpenRequest>,
) -> Option<(axum::response::Response, bool)> {
    let oldest = open.front_mut()?;
    let answer = (&mut oldest.answer).await.ok();
    let is_head = oldest.is_head;
    open.pop_front();
    answer.map(|answer| (answer, is_head))
}

/// Waits for room and hands over the part that waits.
async fn hand_over(arriving: &mut Option<ArrivingRequest>) {
    let Some(arriving) = arriving else { return };
    let Some(part) = &arriving.waiting else { return };
    if let Some(sender) = &arriving.sender {
        // A reader that is gone takes no further part.
        if sender.send(Ok(part.clone())).await.is_err() {
            arriving.sender = None;
        }
    }
    arriving.waiting = None;
}

fn asks_close(answer: &axum::response::Response) -> bool {
    let value = answer.headers().get(http::header::CONNECTION);
    value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}
