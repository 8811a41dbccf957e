//! The lease under which an instance holds limits, and its heir's promises.
//!
//! Invariant: an instance spends as a holder only while, within one lease, the
//! store has taken its renewal or its heir has promised not to take over. Both
//! count from the time at which the question was sent. Without the store the
//! heir's promises carry it for [`MAX_OUTAGE`] at most.

use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::incarnation;
use marjoramwing_entity::time;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;

use crate::action;
use crate::message;

/// Validity of a renewal or a promise.
pub const LEASE: duration::Duration = duration::Duration::from_secs(12);
/// Wait beyond a lease before another instance takes over.
pub const LEASE_MARGIN: duration::Duration = duration::Duration::from_secs(3);
/// Longest time that a holder goes on without the store.
pub const MAX_OUTAGE: duration::Duration = duration::Duration::from_secs(65 * 60);
const RENEW_PERIOD: duration::Duration = duration::Duration::from_secs(4);
const RETRY_DELAY: duration::Duration = duration::Duration::from_secs(1);

/// The stored form of a lease.
#[derives::document]
pub struct LeaseDocument {
    /// Term of the lease.
    pub term: u32,
    /// Incarnation that may take over once the lease has lapsed.
    pub heir: Option<incarnation::Incarnation>,
    /// Tells that the lease has ended, so that anyone may take over.
    pub is_ended: bool,
}

/// Keeps this instance's own lease.
#[derive(Debug)]
pub struct LeaseKeeper {
    own: incarnation::Incarnation,
    term: u32,
    valid_until: time::Timestamp,
    stored_at: Option<time::Timestamp>,
    version: Option<object::ObjectVersion>,
    heir: Option<incarnation::Incarnation>,
    pending: Option<PendingRenewal>,
    needs_read: bool,
    /// Tells that a write which names another heir may still take effect.
    has_doubt: bool,
    not_before: time::Timestamp,
    retry_at: time::Timestamp,
    promise_at: time::Timestamp,
    number: u64,
    asked: Option<AskedPromise>,
    is_releasing: bool,
}

#[derive(Debug, Clone, Copy)]
enum PendingRenewal {
    Read,
    Write { sent_at: time::Timestamp, heir: Option<incarnation::Incarnation>, is_ended: bool },
}

#[derive(Debug, Clone, Copy)]
struct AskedPromise {
    number: u64,
    sent_at: time::Timestamp,
    heir: incarnation::Incarnation,
}

/// What an answer did to the lease.
#[derives::value]
pub enum LeaseChange {
    /// The lease goes on, or was not touched.
    Kept,
    /// Another instance ended the lease; everything held under it is lost.
    Lost,
    /// This instance ended its own lease.
    Released,
}

impl LeaseKeeper {
    /// Makes a keeper that has no lease yet.
    #[must_use]
    pub fn new(own: incarnation::Incarnation) -> Self {
        Self {
            own,
            term: 1,
            valid_until: time::Timestamp::ZERO,
            stored_at: None,
            version: None,
            heir: None,
            pending: None,
            needs_read: false,
            has_doubt: false,
            not_before: time::Timestamp::ZERO,
            retry_at: time::Timestamp::ZERO,
            promise_at: time::Timestamp::ZERO,
            number: 0,
            asked: None,
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

    /// Returns the heir that the store names.
    #[must_use]
    pub const fn heir(&self) -> Option<incarnation::Incarnation> {
        self.heir
    }

    /// Ends the lease by the next write.
    pub fn release(&mut self, now: time::Timestamp) {
        if !self.is_releasing {
            self.is_releasing = true;
            self.not_before = now;
        }
    }

    /// Tells whether this instance has ended its own lease.
    #[must_use]
    pub fn is_released(&self) -> bool {
        self.is_releasing && self.not_before == time::Timestamp::NEVER
    }

    /// Starts the renewals that are due.
    pub fn step(
        &mut self,
        wanted_heir: Option<incarnation::Incarnation>,
        now: time::Timestamp,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        let is_new_heir = self.choose_heir(wanted_heir, now) != self.heir;
        let is_due = now >= self.not_before || (is_new_heir && now >= self.retry_at);
        if self.pending.is_none() && is_due && !self.is_released() {
            self.renew(wanted_heir, now, actions);
        }
        if now >= self.promise_at && !self.is_releasing {
            self.ask_promise(now, actions);
        }
    }

    /// Takes in the answer of the store on this instance's own lease.
    pub fn take_answer(
        &mut self,
        answer: &operation::StoreAnswer,
        now: time::Timestamp,
    ) -> LeaseChange {
        let pending = self.pending.take();
        self.not_before = now + RETRY_DELAY;
        self.retry_at = now + RETRY_DELAY;
        match (answer, pending) {
            (
                operation::StoreAnswer::Written(version),
                Some(PendingRenewal::Write { sent_at, heir, is_ended }),
            ) => {
                self.version = Some(*version);
                self.heir = heir;
                self.has_doubt = false;
                self.stored_at = Some(sent_at);
                self.not_before = sent_at + RENEW_PERIOD;
                if is_ended {
                    return self.end(LeaseChange::Released);
                }
                self.extend(sent_at);
            }
            (operation::StoreAnswer::Found(stored), _) => return self.read_back(stored, now),
            (operation::StoreAnswer::Missing, _) => {
                self.needs_read = false;
                if self.version.take().is_some() {
                    return self.lose(now);
                }
            }
            (operation::StoreAnswer::Conflict(_), _) => {
                self.needs_read = true;
                self.not_before = now;
            }
            (operation::StoreAnswer::Unknown, Some(PendingRenewal::Write { heir, .. })) => {
                self.needs_read = true;
                self.has_doubt |= heir != self.heir;
            }
            _ => {}
        }
        LeaseChange::Kept
    }

    /// Takes in the heir's promise.
    pub fn take_promise(&mut self, from: incarnation::Incarnation, promise: message::LeasePromise) {
        let Some(asked) = self.asked else { return };
        let is_answer = asked.number == promise.number && promise.term == self.term;
        if !is_answer
            || asked.heir != from
            || self.heir != Some(from)
            || self.may_have_changed(from)
        {
            return;
        }
        self.asked = None;
        self.extend(asked.sent_at);
    }

    /// Tells whether the store may name another heir.
    fn may_have_changed(&self, heir: incarnation::Incarnation) -> bool {
        let pending = self.pending;
        let is_change = matches!(pending, Some(PendingRenewal::Write { heir: named, .. }) if named != Some(heir));
        self.has_doubt || is_change
    }

    fn extend(&mut self, sent_at: time::Timestamp) {
        let Some(stored_at) = self.stored_at else { return };
        let until = (sent_at + LEASE).min(stored_at + MAX_OUTAGE);
        self.valid_until = self.valid_until.max(until);
    }

    fn renew(
        &mut self,
        wanted_heir: Option<incarnation::Incarnation>,
        now: time::Timestamp,
        actions: &mut Vec<action::LedgerAction>,
    ) {
        let operation = if self.needs_read {
            self.pending = Some(PendingRenewal::Read);
            operation::StoreOperation::Read(lease_name(self.own))
        } else {
            let heir = self.choose_heir(wanted_heir, now);
            let is_ended = self.is_releasing;
            self.pending = Some(PendingRenewal::Write { sent_at: now, heir, is_ended });
            let document = LeaseDocument { term: self.term, heir, is_ended };
            operation::StoreOperation::Write(write_lease(self.own, &document, self.version))
        };
        actions.push(action::LedgerAction::Store(operation));
    }

    /// Names another heir only while the store answers, so that no write that
    /// is in doubt stops the promises of the present one.
    fn choose_heir(
        &self,
        wanted: Option<incarnation::Incarnation>,
        now: time::Timestamp,
    ) -> Option<incarnation::Incarnation> {
        let is_recent = self.stored_at.is_none_or(|stored_at| now.since(stored_at) < LEASE);
        if is_recent { wanted } else { self.heir }
    }

    fn ask_promise(&mut self, now: time::Timestamp, actions: &mut Vec<action::LedgerAction>) {
        let Some(heir) = self.heir else { return };
        self.promise_at = now + RENEW_PERIOD;
        self.number += 1;
        self.asked = Some(AskedPromise { number: self.number, sent_at: now, heir });
        let promise = message::LeasePromise { term: self.term, number: self.number };
        let message = message::LedgerMessage::AskPromise(promise);
        actions.push(action::LedgerAction::Send { to: heir, message });
    }

    fn read_back(&mut self, stored: &operation::StoredObject, now: time::Timestamp) -> LeaseChange {
        let Some(document) = parse_lease(&stored.value) else { return LeaseChange::Kept };
        self.needs_read = false;
        self.has_doubt &= self.version == Some(stored.version);
        self.version = Some(stored.version);
        self.not_before = now;
        if document.is_ended && self.is_releasing {
            return self.end(LeaseChange::Released);
        }
        if document.is_ended && document.term >= self.term {
            self.term = document.term;
            return self.lose(now);
        }
        self.heir = document.heir;
        LeaseChange::Kept
    }

    fn lose(&mut self, now: time::Timestamp) -> LeaseChange {
        self.term += 1;
        self.heir = None;
        self.stored_at = None;
        self.not_before = now;
        self.end(LeaseChange::Lost)
    }

    fn end(&mut self, change: LeaseChange) -> LeaseChange {
        self.valid_until = time::Timestamp::ZERO;
        self.asked = None;
        if self.is_releasing {
            self.not_before = time::Timestamp::NEVER;
        }
        change
    }
}

/// Returns the object of an incarnation's lease.
#[must_use]
pub fn lease_name(holder: incarnation::Incarnation) -> object::ObjectName {
    object::ObjectName::new(object::ObjectKind::Ledger, &format!("lease-{holder}"))
}

/// Returns the incarnation whose lease an object is.
#[must_use]
pub fn lease_of_name(name: &object::ObjectName) -> Option<incarnation::Incarnation> {
    let number = u64::from_str_radix(name.name.strip_prefix("lease-")?, 16).ok()?;
    Some(incarnation::Incarnation::from_u64(number))
}

/// Reads the stored form of a lease.
#[must_use]
pub fn parse_lease(value: &[u8]) -> Option<LeaseDocument> {
    serde_json::from_slice(value).ok()
}

/// Makes the write of a lease.
///
/// # Panics
///
/// Panics if a document of numbers cannot be encoded, which cannot be.
#[must_use]
pub fn write_lease(
    holder: incarnation::Incarnation,
    document: &LeaseDocument,
    expected: Option<object::ObjectVersion>,
) -> operation::ConditionalWrite {
    let value = serde_json::to_vec(document).expect("numbers and text are valid JSON").into();
    operation::ConditionalWrite { name: lease_name(holder), expected, value }
}
