//! Synchronization between sending a request's first byte and abandoning the request.
//!
//! Invariant: if the first [`SendGate::close`] after [`SendGate::arm`] returns
//! [`AttemptState::NotSent`], no byte of the request is ever written, so reporting it as
//! "not run" is correct.
//!
//! [`AttemptState::NotSent`]: exchange::AttemptState::NotSent

use std::sync::atomic;

use marjoramwing_derives as derives;
use marjoramwing_entity::time;

use crate::exchange;

/// No request is assigned to the connection.
const IDLE: u8 = 0;
/// A request is assigned, and no byte of it may have been written.
const ARMED: u8 = 1;
/// Writing of the request was permitted.
const SENT: u8 = 2;
/// No further byte may be written; final.
const CLOSED: u8 = 3;

/// Decides before each write whether a connection may write.
///
/// The task that writes races with the task that abandons the request; a single atomic
/// state decides which of them wins.
#[derive(Debug)]
pub struct SendGate {
    state: atomic::AtomicU8,
    send_before_us: atomic::AtomicU64,
}

/// Whether a connection may write the next bytes.
#[derives::value]
pub enum GateVerdict {
    /// The bytes are the first of a request and may be written.
    First,
    /// The bytes continue a request and may be written.
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
    /// Prepares the gate for one request, whose first byte must be sent before
    /// `send_before`.
    ///
    /// Returns true if the connection may carry the request.
    #[must_use]
    pub fn arm(&self, send_before: time::Timestamp) -> bool {
        self.send_before_us.store(send_before.as_micros(), atomic::Ordering::Release);
        self.transition(IDLE, ARMED)
    }

    /// Requests permission to write now.
    #[must_use]
    pub fn permit_write(&self, now: time::Timestamp) -> GateVerdict {
        match self.state.load(atomic::Ordering::Acquire) {
            SENT => GateVerdict::Further,
            ARMED if now.as_micros() >= self.send_before_us.load(atomic::Ordering::Acquire) => {
                self.transition(ARMED, CLOSED);
                GateVerdict::Refused
            }
            ARMED if self.transition(ARMED, SENT) => GateVerdict::First,
            _ => GateVerdict::Refused,
        }
    }

    /// Revokes the permission for the first bytes, none of which was written.
    pub fn revoke(&self) {
        self.transition(SENT, CLOSED);
    }

    /// Returns the state that the request has reached.
    ///
    /// Valid only until the gate is closed or the request has finished; then it is
    /// [`AttemptState::NotSent`](exchange::AttemptState::NotSent) whatever was sent.
    #[must_use]
    pub fn attempt_state(&self) -> exchange::AttemptState {
        Self::state_of(self.state.load(atomic::Ordering::Acquire))
    }

    /// Forbids all further writes and returns the state that the request had reached.
    ///
    /// Only the first call returns that state; the gate does not keep it.
    pub fn close(&self) -> exchange::AttemptState {
        Self::state_of(self.state.swap(CLOSED, atomic::Ordering::AcqRel))
    }

    /// Ends a request whose response was read completely.
    ///
    /// Returns true if the connection may carry another request.
    #[must_use]
    pub fn finish(&self) -> bool {
        self.transition(SENT, IDLE)
    }

    fn state_of(state: u8) -> exchange::AttemptState {
        let event = match state {
            SENT => exchange::AttemptEvent::FirstByte,
            _ => exchange::AttemptEvent::Ended,
        };
        exchange::AttemptState::NotSent.after(event)
    }

    fn transition(&self, from: u8, to: u8) -> bool {
        let ordering = (atomic::Ordering::AcqRel, atomic::Ordering::Acquire);
        self.state.compare_exchange(from, to, ordering.0, ordering.1).is_ok()
    }
}
