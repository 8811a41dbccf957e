//! The lease under which an instance holds limits, and the promises of its successor.
//!
//! Invariant: an instance spends as a holder only if, within the length of one lease, the
//! store has accepted its renewal or its successor has promised not to take over. Both
//! count from the time at which the request was sent. Without the store, the successor's
//! promises extend the lease for at most [`MAX_OUTAGE`].

use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::incarnation;
use marjoramwing_entity::time;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;

use crate::action;
use crate::message;

/// Validity of a renewal or a promise.
pub const LEASE_DURATION: duration::Duration = duration::Duration::from_secs(12);
/// Margin after the expiry of a lease before another instance takes over.
pub const LEASE_MARGIN: duration::Duration = duration::Duration::from_secs(3);
/// Maximum time that a holder continues without the store.
pub const MAX_OUTAGE: duration::Duration = duration::Duration::from_secs(65 * 60);
/// Period of renewals and of promise requests.
const RENEW_PERIOD: duration::Duration = duration::Duration::from_secs(4);
/// Delay before a failed renewal is retried.
const RETRY_DELAY: duration::Duration = duration::Duration::from_secs(1);

/// The stored form of a lease.
#[derives::document]
pub struct LeaseDocument {
    /// Term of the lease.
    pub term: u32,
    /// Incarnation that may take over once the lease has expired.
    #[serde(rename = "heir")]
    pub successor: Option<incarnation::Incarnation>,
    /// Whether the lease has ended, so that any instance may take over.
    pub is_ended: bool,
}

/// Maintains this instance's own lease.
#[derive(Debug)]
pub struct LeaseKeeper {
    own: incarnation::Incarnation,
    term: u32,
    valid_until: time::Timestamp,
    /// Time at which the last renewal that the store accepted was sent.
    stored_at: Option<time::Timestamp>,
    version: Option<object::ObjectVersion>,
    /// Successor that the stored lease names, as last confirmed.
    successor: Option<incarnation::Incarnation>,
    /// Operation that the store has not answered yet.
    in_flight: Option<InFlightRenewal>,
    needs_read: bool,
    /// Whether an unconfirmed write that names another successor may still take effect.
    has_unconfirmed_write: bool,
    next_renewal_at: time::Timestamp,
    /// Earliest time of a renewal that changes the successor.
    earliest_renewal_at: time::Timestamp,
    next_promise_at: time::Timestamp,
    last_number: u64,
    /// Promise request that the successor has not answered yet.
    open_promise_request: Option<SentPromiseRequest>,
    is_releasing: bool,
}

#[derive(Debug, Clone, Copy)]
enum InFlightRenewal {
    Read,
    Write { sent_at: time::Timestamp, successor: Option<incarnation::Incarnation>, is_ended: bool },
}

#[derive(Debug, Clone, Copy)]
struct SentPromiseRequest {
    number: u64,
    sent_at: time::Timestamp,
    successor: incarnation::Incarnation,
}

/// Effect of a store answer on the lease.
#[derives::value]
pub enum LeaseChange {
    /// The lease continues, or is not affected.
    Unchanged,
    /// Another instance ended the lease, or its object is missing; all limits held under it
    /// are lost.
    Lost,
    /// This instance ended its own lease.
    Released,
}

impl LeaseKeeper {
    /// Creates a keeper that has no lease yet.
    #[must_use]
    pub fn new(own: incarnation::Incarnation) -> Self {
        Self {
            own,
            term: 1,
            valid_until: time::Timestamp::ZERO,
            stored_at: None,
            version: None,
            successor: None,
            in_flight: None,
            needs_read: false,
            has_unconfirmed_write: false,
            next_renewal_at: time::Timestamp::ZERO,
            earliest_renewal_at: time::Timestamp::ZERO,
            next_promise_at: time::Timestamp::ZERO,
            last_number: 0,
            open_promise_request: None,
            is_releasing: false,
        }
    }

    /// Returns the term of the lease.
    #[must_use]
    pub const fn term(&self) -> u32 {
        self.term
    }

    /// Returns the time until which this instance may spend as a holder.
    #[must_use]
    pub const fn valid_until(&self) -> time::Timestamp {
        self.valid_until
    }

    /// Returns the successor that the store names, as last confirmed.
    #[must_use]
    pub const fn successor(&self) -> Option<incarnation::Incarnation> {
        self.successor
    }

    /// Makes the next write end the lease; it is not renewed again.
    pub fn release(&mut self, now: time::Timestamp) {
        if !self.is_releasing {
            self.is_releasing = true;
            self.next_renewal_at = now;
        }
    }

    /// Returns true if this instance has ended its own lease.
    #[must_use]
    pub fn is_released(&self) -> bool {
        self.is_releasing && self.next_renewal_at == time::Timestamp::NEVER
    }

    /// Starts the renewals and the promise request that are due.
    pub fn step(
        &mut self,
        preferred_successor: Option<incarnation::Incarnation>,
        now: time::Timestamp,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        let is_new_successor = self.choose_successor(preferred_successor, now) != self.successor;
        let is_due =
            now >= self.next_renewal_at || (is_new_successor && now >= self.earliest_renewal_at);
        if self.in_flight.is_none() && is_due && !self.is_released() {
            self.renew(preferred_successor, now, actions);
        }
        if now >= self.next_promise_at && !self.is_releasing {
            self.request_promise(now, actions);
        }
    }

    /// Handles the store's answer on this instance's own lease.
    pub fn handle_store_answer(
        &mut self,
        answer: &operation::StoreAnswer,
        now: time::Timestamp,
    ) -> LeaseChange {
        let in_flight = self.in_flight.take();
        self.next_renewal_at = now + RETRY_DELAY;
        self.earliest_renewal_at = now + RETRY_DELAY;
        match (answer, in_flight) {
            (
                operation::StoreAnswer::Written(version),
                Some(InFlightRenewal::Write { sent_at, successor, is_ended }),
            ) => {
                self.version = Some(*version);
                self.successor = successor;
                self.has_unconfirmed_write = false;
                self.stored_at = Some(sent_at);
                self.next_renewal_at = sent_at + RENEW_PERIOD;
                if is_ended {
                    return self.end(LeaseChange::Released);
                }
                self.extend(sent_at);
            }
            (operation::StoreAnswer::Found(stored), _) => return self.handle_read(stored, now),
            (operation::StoreAnswer::Missing, _) => {
                self.needs_read = false;
                if self.version.take().is_some() {
                    return self.lose(now);
                }
            }
            (operation::StoreAnswer::Conflict(_), _) => {
                self.needs_read = true;
                self.next_renewal_at = now;
            }
            (operation::StoreAnswer::Unknown, Some(InFlightRenewal::Write { successor, .. })) => {
                self.needs_read = true;
                self.has_unconfirmed_write |= successor != self.successor;
            }
            _ => {}
        }
        LeaseChange::Unchanged
    }

    /// Handles the successor's promise.
    pub fn handle_promise(
        &mut self,
        from: incarnation::Incarnation,
        promise: message::LeasePromise,
    ) {
        let Some(open_promise_request) = self.open_promise_request else { return };
        let is_answer = open_promise_request.number == promise.number && promise.term == self.term;
        if !is_answer
            || open_promise_request.successor != from
            || self.successor != Some(from)
            || self.may_name_other(from)
        {
            return;
        }
        self.open_promise_request = None;
        self.extend(open_promise_request.sent_at);
    }

    /// Returns true if the stored lease may name another successor than `successor`.
    fn may_name_other(&self, successor: incarnation::Incarnation) -> bool {
        let in_flight = self.in_flight;
        let is_change = matches!(in_flight, Some(InFlightRenewal::Write { successor: named, .. }) if named != Some(successor));
        self.has_unconfirmed_write || is_change
    }

    /// Extends the validity after a renewal or a promise whose request was sent at `sent_at`.
    fn extend(&mut self, sent_at: time::Timestamp) {
        let Some(stored_at) = self.stored_at else { return };
        let until = (sent_at + LEASE_DURATION).min(stored_at + MAX_OUTAGE);
        self.valid_until = self.valid_until.max(until);
    }

    /// Writes the lease, or reads it first if its stored version may have changed.
    fn renew(
        &mut self,
        preferred_successor: Option<incarnation::Incarnation>,
        now: time::Timestamp,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        let operation = if self.needs_read {
            self.in_flight = Some(InFlightRenewal::Read);
            operation::StoreOperation::Read(lease_name(self.own))
        } else {
            let successor = self.choose_successor(preferred_successor, now);
            let is_ended = self.is_releasing;
            self.in_flight = Some(InFlightRenewal::Write { sent_at: now, successor, is_ended });
            let document = LeaseDocument { term: self.term, successor, is_ended };
            operation::StoreOperation::Write(lease_write(self.own, &document, self.version))
        };
        actions.push(action::LedgerAction::Store(operation));
    }

    /// Returns the successor to write. It changes only while the store answers: an
    /// unconfirmed write with another successor would invalidate the promises of the
    /// current one.
    fn choose_successor(
        &self,
        preferred: Option<incarnation::Incarnation>,
        now: time::Timestamp,
    ) -> Option<incarnation::Incarnation> {
        let is_recent =
            self.stored_at.is_none_or(|stored_at| now.since(stored_at) < LEASE_DURATION);
        if is_recent { preferred } else { self.successor }
    }

    /// Asks the successor that the stored lease names for a promise.
    fn request_promise(&mut self, now: time::Timestamp, actions: &mut Vec<action::LedgerAction>) {
        let Some(successor) = self.successor else { return };
        self.next_promise_at = now + RENEW_PERIOD;
        self.last_number += 1;
        self.open_promise_request =
            Some(SentPromiseRequest { number: self.last_number, sent_at: now, successor });
        let promise = message::LeasePromise { term: self.term, number: self.last_number };
        let message = message::LedgerMessage::PromiseRequest(promise);
        actions.push(action::LedgerAction::Send { to: successor, message });
    }

    fn handle_read(
        &mut self,
        stored: &operation::StoredObject,
        now: time::Timestamp,
    ) -> LeaseChange {
        let Some(document) = parse_lease(&stored.value) else { return LeaseChange::Unchanged };
        self.needs_read = false;
        self.has_unconfirmed_write &= self.version == Some(stored.version);
        self.version = Some(stored.version);
        self.next_renewal_at = now;
        if document.is_ended && self.is_releasing {
            return self.end(LeaseChange::Released);
        }
        if document.is_ended && document.term >= self.term {
            self.term = document.term;
            return self.lose(now);
        }
        self.successor = document.successor;
        LeaseChange::Unchanged
    }

    /// Starts the next term after another instance ended the lease, or its object is missing.
    fn lose(&mut self, now: time::Timestamp) -> LeaseChange {
        self.term += 1;
        self.successor = None;
        self.stored_at = None;
        self.next_renewal_at = now;
        self.end(LeaseChange::Lost)
    }

    /// Stops spending under the lease, and renewing it if this instance releases it.
    fn end(&mut self, change: LeaseChange) -> LeaseChange {
        self.valid_until = time::Timestamp::ZERO;
        self.open_promise_request = None;
        if self.is_releasing {
            self.next_renewal_at = time::Timestamp::NEVER;
        }
        change
    }
}

/// Returns the name of the object that stores an incarnation's lease.
#[must_use]
pub fn lease_name(holder: incarnation::Incarnation) -> object::ObjectName {
    object::ObjectName::new(object::ObjectKind::Ledger, &format!("lease-{holder}"))
}

/// Returns the incarnation whose lease an object stores, if it is a lease.
#[must_use]
pub fn holder_of_lease(name: &object::ObjectName) -> Option<incarnation::Incarnation> {
    let number = u64::from_str_radix(name.name.strip_prefix("lease-")?, 16).ok()?;
    Some(incarnation::Incarnation::from_u64(number))
}

/// Parses the stored form of a lease.
#[must_use]
pub fn parse_lease(value: &[u8]) -> Option<LeaseDocument> {
    serde_json::from_slice(value).ok()
}

/// Returns the conditional write of a lease.
///
/// # Panics
///
/// Panics if the document cannot be encoded, which never occurs for numbers and text.
#[must_use]
pub fn lease_write(
    holder: incarnation::Incarnation,
    document: &LeaseDocument,
    expected: Option<object::ObjectVersion>,
) -> operation::ConditionalWrite {
    let value = serde_json::to_vec(document).expect("numbers and text are valid JSON").into();
    operation::ConditionalWrite { name: lease_name(holder), expected, value }
}
