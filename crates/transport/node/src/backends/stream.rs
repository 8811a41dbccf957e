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

use marjoramwing_dispatch::gate;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;

use crate::clock;
use crate::socket;

/// Bytes that may still be read from a backend server, shared by a connection and its stream.
///
/// Informational responses count as well: they precede a head in any number.
#[derive(Debug, Clone)]
pub struct ReadAllowance(sync::Arc<atomic::AtomicU64>);

impl Default for ReadAllowance {
    fn default() -> Self {
        Self(sync::Arc::new(atomic::AtomicU64::new(u64::MAX)))
    }
}

impl ReadAllowance {
    /// Limits what is read from now on.
    pub fn limit(&self, bytes: u64) {
        self.0.store(bytes, atomic::Ordering::Release);
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
        let _ = self.0.fetch_update(atomic::Ordering::AcqRel, atomic::Ordering::Acquire, spend);
    }

    fn is_spent(&self) -> bool {
        self.0.load(atomic::Ordering::Acquire) == 0
    }
}

/// TCP stream that writes only what its send gate permits.
#[derive(Debug)]
pub struct GatedStream {
    stream: tokio::net::TcpStream,
    gate: sync::Arc<gate::SendGate>,
    allowance: ReadAllowance,
    clock: clock::MonotonicClock,
    is_reused: bool,
}

impl GatedStream {
    /// Wraps a newly connected stream.
    #[must_use]
    pub const fn new(
        stream: tokio::net::TcpStream,
        gate: sync::Arc<gate::SendGate>,
        allowance: ReadAllowance,
        clock: clock::MonotonicClock,
    ) -> Self {
        Self { stream, gate, allowance, clock, is_reused: false }
    }

    fn write_gated(
        &mut self,
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
        let polled = write(pin::Pin::new(&mut self.stream));
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
        let polled = pin::Pin::new(&mut self.stream).poll_read(context, buffer);
        self.allowance.spend(buffer.filled().len() - before);
        polled
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        self.write_gated(|stream| stream.poll_write(context, bytes))
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        self.write_gated(|stream| stream.poll_write_vectored(context, slices))
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
