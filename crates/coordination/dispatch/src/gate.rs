//! The last moment before a request's first byte is handed to a socket.
//!
//! Invariant: once [`SendGate::close`] has returned [`AttemptState::NotSent`],
//! no byte of the request is ever written, so "not run" is true of it.
//!
//! [`AttemptState::NotSent`]: exchange::AttemptState::NotSent

use std::sync::atomic;

use marjoramwing_derives as derives;
use marjoramwing_entity::time;

use crate::exchange;

const IDLE: u8 = 0;
const ARMED: u8 = 1;
const SENT: u8 = 2;
const CLOSED: u8 = 3;

/// Decides, byte by byte, whether a connection may write.
///
/// The task that writes and the task that gives up race; one atomic state
/// decides between them.
#[derive(Debug)]
pub struct SendGate {
    state: atomic::AtomicU8,
    send_before_us: atomic::AtomicU64,
}

/// What a connection may do with the bytes at hand.
#[derives::value]
pub enum GateVerdict {
    /// These are the first bytes of a request.
    First,
    /// The request was begun and may go on.
    Further,
    /// Nothing may be written.
    Refused,
}

impl Default for SendGate {
    fn default() -> Self {
        Self {
            state: atomic::AtomicU8::new(IDLE),
            send_before_us: atomic::AtomicU64::new(time::Timestamp::NEVER.as_micros()),
        }
    }
}

impl SendGate {
    /// Prepares for one request, whose first byte must go before `send_before`.
    ///
    /// Returns whether the connection may carry another request.
    #[must_use]
    pub fn arm(&self, send_before: time::Timestamp) -> bool {
        self.send_before_us.store(send_before.as_micros(), atomic::Ordering::Release);
        self.change(IDLE, ARMED)
    }

    /// Asks whether bytes may be written now.
    #[must_use]
    pub fn pass(&self, now: time::Timestamp) -> GateVerdict {
        match self.state.load(atomic::Ordering::Acquire) {
            SENT => GateVerdict::Further,
            ARMED if now.as_micros() >= self.send_before_us.load(atomic::Ordering::Acquire) => {
                self.change(ARMED, CLOSED);
                GateVerdict::Refused
            }
            ARMED if self.change(ARMED, SENT) => GateVerdict::First,
            _ => GateVerdict::Refused,
        }
    }

    /// Takes back the first pass, since no byte was written after all.
    pub fn revoke(&self) {
        self.change(SENT, CLOSED);
    }

    /// Tells how far the request came.
    #[must_use]
    pub fn reached(&self) -> exchange::AttemptState {
        Self::state_of(self.state.load(atomic::Ordering::Acquire))
    }

    /// Forbids all further writing and tells how far the request came.
    pub fn close(&self) -> exchange::AttemptState {
        Self::state_of(self.state.swap(CLOSED, atomic::Ordering::AcqRel))
    }

    /// Ends a request whose answer was read whole.
    ///
    /// Returns whether the connection may carry another request.
    #[must_use]
    pub fn finish(&self) -> bool {
        self.change(SENT, IDLE)
    }

    fn state_of(state: u8) -> exchange::AttemptState {
        let event = match state {
            SENT => exchange::AttemptEvent::FirstByte,
            _ => exchange::AttemptEvent::Ended,
        };
        exchange::AttemptState::NotSent.after(event)
    }

    fn change(&self, from: u8, to: u8) -> bool {
        let ordering = (atomic::Ordering::AcqRel, atomic::Ordering::Acquire);
        self.state.compare_exchange(from, to, ordering.0, ordering.1).is_ok()
    }
}
