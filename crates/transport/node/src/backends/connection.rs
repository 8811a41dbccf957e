//! One connection to a backend server, whose first byte passes a gate.
//!
//! Invariant: a connection that is dropped is closed at once, so that the
//! backend server learns that an abandoned request is no longer wanted.

use std::net;
use std::sync;
use std::time as duration;

use hyper::client::conn::http1;
use hyper_util::rt;
use marjoramwing_dispatch::exchange;
use marjoramwing_dispatch::gate;
use marjoramwing_entity::time;

use crate::backends::replay;
use crate::backends::stream;
use crate::clock;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: duration::Duration = duration::Duration::from_secs(1);

/// One open connection.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<replay::RequestBody>,
    gate: sync::Arc<gate::SendGate>,
    task: tokio::task::AbortHandle,
    requests: u32,
    streamed: Option<replay::SharedStream>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Opens a connection, or returns `None` when it cannot be had in time.
    pub async fn open(address: net::SocketAddr, clock: clock::MonotonicClock) -> Option<Self> {
        let connect = tokio::net::TcpStream::connect(address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connect).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let gate = sync::Arc::new(gate::SendGate::default());
        let gated = stream::GatedStream::new(stream, sync::Arc::clone(&gate), clock);
        let (sender, driver) = http1::handshake(rt::TokioIo::new(gated)).await.ok()?;
        let task = tokio::spawn(driver).abort_handle();
        Some(Self { sender, gate, task, requests: 0, streamed: None })
    }

    /// Returns the requests that the connection has carried.
    #[must_use]
    pub const fn requests(&self) -> u32 {
        self.requests
    }

    /// Tells whether the connection has ended.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Returns the gate that the connection's bytes pass.
    #[must_use]
    pub const fn gate(&self) -> &sync::Arc<gate::SendGate> {
        &self.gate
    }

    /// Ends an exchange whose answer was read whole.
    ///
    /// Returns whether the connection may be kept: an answer that came before
    /// the end of the request's body leaves it unusable.
    #[must_use]
    pub fn finish(&mut self) -> bool {
        let sent = self.streamed.take().is_none_or(|stream| stream.is_end());
        sent && self.gate.finish()
    }

    /// Sends one request, the first byte before `send_before`.
    ///
    /// # Errors
    ///
    /// Returns how far the request came when no answer arrived.
    pub async fn send(
        &mut self,
        request: http::Request<replay::RequestBody>,
        send_before: time::Timestamp,
    ) -> Result<http::Response<hyper::body::Incoming>, exchange::AttemptState> {
        if self.sender.ready().await.is_err() || !self.gate.arm(send_before) {
            return Err(self.gate.close());
        }
        self.requests += 1;
        self.streamed = request.body().stream();
        self.sender.send_request(request).await.map_err(|_| self.gate.close())
    }
}
