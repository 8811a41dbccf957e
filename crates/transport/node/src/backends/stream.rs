//! The TCP stream behind the send gate.
//!
//! Invariants: no byte of a request is written unless the gate permits it; a
//! reused connection that has unread bytes, or that the backend server has
//! closed, carries no further request; a backend server that sends no response head
//! is read no further than its allowance.

use std::io;
use std::mem;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;

use marjoramwing_dispatch::exchange;
use marjoramwing_dispatch::gate;
use marjoramwing_events::catalogue;
use marjoramwing_events::emit;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;

use crate::backends::inbound;
use crate::clock;
use crate::socket;

/// What a connection and its stream share: the bytes that may still be read from the backend server,
/// and whether it fell silent.
///
/// Informational responses count as well: they precede a head in any number.
#[derive(Debug, Clone)]
pub struct ReadAllowance(sync::Arc<AllowanceState>);

#[derive(Debug)]
struct AllowanceState {
    bytes: atomic::AtomicU64,
    /// Whether the connection failed since its peer did not answer at all.
    has_timed_out: atomic::AtomicBool,
}

impl Default for ReadAllowance {
    fn default() -> Self {
        let bytes = atomic::AtomicU64::new(u64::MAX);
        let has_timed_out = atomic::AtomicBool::new(false);
        Self(sync::Arc::new(AllowanceState { bytes, has_timed_out }))
    }
}

impl ReadAllowance {
    /// Limits what is read from now on.
    pub fn limit(&self, bytes: u64) {
        self.0.bytes.store(bytes, atomic::Ordering::Release);
    }

    /// Removes the limit.
    pub fn lift(&self) {
        self.limit(u64::MAX);
    }

    /// Uses up the allowance for bytes that were read.
    fn spend(&self, bytes: usize) {
        let spend = |left: u64| match left {
            u64::MAX => None,
            _ => Some(left.saturating_sub(bytes as u64)),
        };
        // Fails if there is no limit.
        let orders = (atomic::Ordering::AcqRel, atomic::Ordering::Acquire);
        let _ = self.0.bytes.fetch_update(orders.0, orders.1, spend);
    }

    fn is_spent(&self) -> bool {
        self.0.bytes.load(atomic::Ordering::Acquire) == 0
    }

    /// Returns true if the connection failed since its peer did not answer at all.
    #[must_use]
    pub fn has_timed_out(&self) -> bool {
        self.0.has_timed_out.load(atomic::Ordering::Acquire)
    }

    fn record_error(&self, error: &io::Error) {
        if error.kind() == io::ErrorKind::TimedOut {
            self.0.has_timed_out.store(true, atomic::Ordering::Release);
        }
    }
}

/// TCP stream that writes only what its send gate permits.
#[derive(Debug)]
pub struct GatedStream {
    stream: tokio::net::TcpStream,
    framing: inbound::InboundFraming,
    gate: sync::Arc<gate::SendGate>,
    allowance: ReadAllowance,
    clock: clock::MonotonicClock,
    is_reused: bool,
    acks: socket::AckMonitor,
}

impl GatedStream {
    /// Wraps a newly connected stream.
    #[must_use]
    pub fn new(
        stream: tokio::net::TcpStream,
        framing: inbound::InboundFraming,
        gate: sync::Arc<gate::SendGate>,
        allowance: ReadAllowance,
        clock: clock::MonotonicClock,
    ) -> Self {
        let acks = socket::AckMonitor::default();
        Self { stream, framing, gate, allowance, clock, is_reused: false, acks }
    }

    /// Logs that the relaying instance, or the link to it, ended a connection under a request.
    fn report_cut(&self, error: &io::Error) {
        let is_cut = error.kind() == io::ErrorKind::UnexpectedEof;
        if is_cut && self.gate.attempt_state() != exchange::AttemptState::NotSent {
            let relay =
                self.stream.peer_addr().map_or_else(|_| "unknown".into(), |at| at.to_string());
            emit!(catalogue::RELAYED_CONNECTION_CUT, relay = %relay);
        }
    }

    fn write_gated(
        &mut self,
        bytes: usize,
        write: impl FnOnce(pin::Pin<&mut tokio::net::TcpStream>) -> task::Poll<io::Result<usize>>,
    ) -> task::Poll<io::Result<usize>> {
        let verdict = self.gate.permit_write(self.clock.now());
        if verdict == gate::GateVerdict::Refused {
            return task::Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let first = verdict == gate::GateVerdict::First;
        if first && mem::replace(&mut self.is_reused, true) && !socket::is_idle(&self.stream) {
            self.gate.revoke();
            return task::Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        self.acks.record_sent(&self.stream, bytes);
        let polled = write(pin::Pin::new(&mut self.stream));
        if let task::Poll::Ready(Err(error)) = &polled {
            self.allowance.record_error(error);
        }
        if first && matches!(polled, task::Poll::Ready(Err(_))) {
            self.gate.revoke();
        }
        polled
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        if self.allowance.is_spent() {
            return task::Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let before = buffer.filled().len();
        let this = &mut *self;
        let polled = this.framing.poll_read(&mut this.stream, context, buffer);
        let received = buffer.filled().len() - before;
        self.allowance.spend(received);
        if received > 0 {
            self.acks.record_received();
        }
        if let task::Poll::Ready(Err(error)) = &polled {
            self.allowance.record_error(error);
            self.report_cut(error);
        }
        polled
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        self.write_gated(bytes.len(), |stream| stream.poll_write(context, bytes))
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let bytes = slices.iter().map(|slice| slice.len()).sum();
        self.write_gated(bytes, |stream| stream.poll_write_vectored(context, slices))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
