//! One HTTP/1 connection to a backend server whose writes are controlled by a send gate.
//!
//! Invariant: dropping a connection closes it immediately, so that the backend
//! server can cancel the work on an abandoned request.

use std::sync;

use hyper::client::conn::http1;
use hyper_util::rt;
use marjoramwing_dispatch::exchange;
use marjoramwing_dispatch::gate;
use marjoramwing_entity::time;

use crate::backends::dial;
use crate::backends::replay;
use crate::backends::stream;
use crate::clock;

/// Largest response head, and size of the read buffer of a response body, in bytes.
///
/// A backend server that sends a head without end costs no more memory than this.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Bytes that may be read before the response head is complete: informational responses, the
/// head, and the start of the body, which is read ahead.
const MAX_READ_BEFORE_HEAD: u64 = 4 * READ_BUFFER_BYTES as u64;

/// An open connection to a backend server.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<replay::RequestBody>,
    gate: sync::Arc<gate::SendGate>,
    allowance: stream::ReadAllowance,
    task: tokio::task::AbortHandle,
    requests: u32,
    request_stream: Option<replay::SharedStream>,
    relay_region: Option<sync::Arc<str>>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Sets up HTTP on an open stream; returns `None` if that fails.
    pub async fn new(dialed: dial::DialedStream, clock: clock::MonotonicClock) -> Option<Self> {
        let dial::DialedStream { stream, relay_region, framing } = dialed;
        stream.set_nodelay(true).ok()?;
        let gate = sync::Arc::new(gate::SendGate::default());
        let allowance = stream::ReadAllowance::default();
        let gated = stream::GatedStream::new(
            stream,
            framing,
            sync::Arc::clone(&gate),
            allowance.clone(),
            clock,
        );
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES);
        let (sender, driver) = builder.handshake(rt::TokioIo::new(gated)).await.ok()?;
        let task = tokio::spawn(driver).abort_handle();
        let (requests, request_stream) = (0, None);
        Some(Self { sender, gate, allowance, task, requests, request_stream, relay_region })
    }

    /// Returns the number of requests sent on the connection.
    #[must_use]
    pub const fn requests(&self) -> u32 {
        self.requests
    }

    /// Returns the region of the instance through which the connection goes; `None` if it is direct.
    #[must_use]
    pub const fn relay_region(&self) -> Option<&sync::Arc<str>> {
        self.relay_region.as_ref()
    }

    /// Returns true if the server, or the relaying instance, fell silent.
    #[must_use]
    pub fn has_timed_out(&self) -> bool {
        self.allowance.has_timed_out()
    }

    /// Returns true if the connection is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns the send gate that controls writes to the connection.
    #[must_use]
    pub const fn gate(&self) -> &sync::Arc<gate::SendGate> {
        &self.gate
    }

    /// Ends a request whose response was read completely.
    ///
    /// Returns true if the connection can be reused. It cannot if the response
    /// ended before the request body was sent completely.
    #[must_use]
    pub fn finish(&mut self) -> bool {
        let is_sent = self.request_stream.take().is_none_or(|stream| stream.is_exhausted());
        is_sent && self.gate.finish()
    }

    /// Sends a request whose first byte must be written before `send_before`.
    ///
    /// # Errors
    ///
    /// If no response head arrives, returns the state that the attempt had reached.
    pub async fn send(
        &mut self,
        request: http::Request<replay::RequestBody>,
        send_before: time::Timestamp,
    ) -> Result<http::Response<hyper::body::Incoming>, exchange::AttemptState> {
        if self.sender.ready().await.is_err() || !self.gate.arm(send_before) {
            return Err(self.gate.close());
        }
        self.requests += 1;
        self.request_stream = request.body().stream();
        self.allowance.limit(MAX_READ_BEFORE_HEAD);
        let sent = self.sender.send_request(request).await;
        self.allowance.lift();
        sent.map_err(|_| self.gate.close())
    }
}
