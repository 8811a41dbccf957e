//! Ending the lease of a holder that no longer answers.
//!
//! Invariants: a lease is ended only by a conditional write at a version that has stayed
//! unchanged long enough for the holder to have stopped: one lease plus a margin at the
//! holder's successor, the longest outage plus a margin at any other instance. If the lease
//! names no successor, one lease plus a margin suffices at every instance. A successor
//! also waits until its own promise expires. It makes no promise while its write may still
//! take effect, nor for a term that has ended.

use std::collections;
use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::incarnation;
use marjoramwing_entity::time;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;

use crate::action;
use crate::lease;
use crate::mechanism;
use crate::message;

const RETRY_DELAY: duration::Duration = duration::Duration::from_secs(1);
/// Period at which the lease of a suspected holder is read again.
const REREAD_PERIOD: duration::Duration = duration::Duration::from_secs(60);

/// Watches the leases of suspected holders, and makes promises as a successor.
#[derive(Debug)]
pub struct TakeoverKeeper {
    own: incarnation::Incarnation,
    suspects: collections::BTreeMap<incarnation::Incarnation, SuspectLease>,
    promised: collections::BTreeMap<incarnation::Incarnation, time::Timestamp>,
    ended: collections::BTreeMap<incarnation::Incarnation, u32>,
    mechanisms: mechanism::MechanismSet,
}

#[derive(Debug, Clone, Copy)]
struct SuspectLease {
    observed: Option<ObservedLease>,
    pending: Option<PendingCheck>,
    /// Version at which an unconfirmed write of this instance may still take effect.
    unconfirmed: Option<object::ObjectVersion>,
    not_before: time::Timestamp,
    reread_at: time::Timestamp,
}

#[derive(Debug, Clone, Copy)]
enum PendingCheck {
    Read,
    End,
}

#[derive(Debug, Clone, Copy)]
struct ObservedLease {
    version: object::ObjectVersion,
    term: u32,
    takeover_at: time::Timestamp,
}

impl SuspectLease {
    /// Returns true if a write that ends the lease may take effect.
    fn may_end(&self) -> bool {
        self.unconfirmed.is_some() || matches!(self.pending, Some(PendingCheck::End))
    }
}

/// A lease that is known to have ended.
#[derives::value]
pub struct EndedLease {
    /// Incarnation of the former holder.
    pub holder: incarnation::Incarnation,
    /// Ended term; earlier terms have ended as well.
    pub term: u32,
    /// Whether this instance ended the lease, so that it claims the limits.
    pub was_ended_here: bool,
}

impl TakeoverKeeper {
    /// Creates a keeper that watches no lease.
    #[must_use]
    pub fn new(own: incarnation::Incarnation, mechanisms: mechanism::MechanismSet) -> Self {
        Self {
            own,
            suspects: collections::BTreeMap::new(),
            promised: collections::BTreeMap::new(),
            ended: collections::BTreeMap::new(),
            mechanisms,
        }
    }

    /// Returns true if this instance made a promise to the holder, and its lease has not
    /// ended since.
    #[must_use]
    pub fn has_promised(&self, holder: incarnation::Incarnation) -> bool {
        self.promised.contains_key(&holder)
    }

    /// Starts to watch the lease of a holder that no longer answers.
    pub fn suspect(&mut self, holder: incarnation::Incarnation, now: time::Timestamp) {
        if holder == self.own {
            return;
        }
        let suspect = SuspectLease {
            observed: None,
            pending: None,
            unconfirmed: None,
            not_before: now,
            reread_at: now,
        };
        self.suspects.entry(holder).or_insert(suspect);
    }

    /// Stops watching a holder that answers, unless a write that ends its lease may take effect.
    pub fn clear(&mut self, holder: incarnation::Incarnation) {
        if self.suspects.get(&holder).is_some_and(|suspect| !suspect.may_end()) {
            self.suspects.remove(&holder);
        }
    }

    /// Promises a holder not to take over for the length of one lease; returns `None` if the
    /// lease has ended or a write that ends it may take effect.
    pub fn promise(
        &mut self,
        holder: incarnation::Incarnation,
        promise: message::LeasePromise,
        now: time::Timestamp,
    ) -> Option<message::LedgerMessage> {
        let has_ended = self.ended.get(&holder).is_some_and(|ended| promise.term <= *ended);
        let refuses = self.mechanisms.is_on(mechanism::LedgerMechanism::RefuseEndedTerm);
        if (has_ended && refuses) || self.suspects.get(&holder).is_some_and(SuspectLease::may_end) {
            return None;
        }
        self.promised.insert(holder, now + lease::LEASE_DURATION + lease::LEASE_MARGIN);
        Some(message::LedgerMessage::Promise(promise))
    }

    /// Starts the reads and writes that are due.
    pub fn step(&mut self, now: time::Timestamp, actions: &mut Vec<action::LedgerAction>) {
        let honors = self.mechanisms.is_on(mechanism::LedgerMechanism::HonorPromise);
        for (holder, suspect) in &mut self.suspects {
            if suspect.pending.is_some() || now < suspect.not_before {
                continue;
            }
            let promised =
                self.promised.get(holder).copied().filter(|_| honors).unwrap_or_default();
            let due =
                suspect.observed.filter(|observed| now >= observed.takeover_at && now >= promised);
            let operation = match due {
                Some(observed) => {
                    suspect.pending = Some(PendingCheck::End);
                    end_lease(*holder, observed)
                }
                None if suspect.observed.is_some() && now < suspect.reread_at => continue,
                None => {
                    suspect.pending = Some(PendingCheck::Read);
                    suspect.reread_at = now + REREAD_PERIOD;
                    operation::StoreOperation::Read(lease::lease_name(*holder))
                }
            };
            actions.push(action::LedgerAction::Store(operation));
        }
    }

    /// Handles the store's answer on another instance's lease.
    pub fn handle_answer(
        &mut self,
        holder: incarnation::Incarnation,
        answer: &operation::StoreAnswer,
        now: time::Timestamp,
    ) -> Option<EndedLease> {
        let own = self.own;
        let suspect = self.suspects.get_mut(&holder)?;
        let pending = suspect.pending.take();
        match answer {
            operation::StoreAnswer::Found(stored) => {
                let document = lease::parse_lease(&stored.value)?;
                if document.is_ended {
                    return self.record_end(holder, document.term, false);
                }
                suspect.unconfirmed =
                    suspect.unconfirmed.filter(|version| *version == stored.version);
                let is_same =
                    suspect.observed.is_some_and(|observed| observed.version == stored.version);
                if !is_same {
                    suspect.observed = Some(observe_lease(own, &document, stored.version, now));
                }
            }
            operation::StoreAnswer::Missing => return self.record_end(holder, u32::MAX, false),
            operation::StoreAnswer::Written(_) => {
                let term = suspect.observed.map_or(0, |observed| observed.term);
                return self.record_end(holder, term, true);
            }
            operation::StoreAnswer::Conflict(_) => suspect.observed = None,
            operation::StoreAnswer::Rejected => suspect.not_before = now + RETRY_DELAY,
            operation::StoreAnswer::Unknown => {
                suspect.not_before = now + RETRY_DELAY;
                if matches!(pending, Some(PendingCheck::End)) {
                    suspect.unconfirmed = suspect.observed.map(|observed| observed.version);
                }
            }
        }
        None
    }

    fn record_end(
        &mut self,
        holder: incarnation::Incarnation,
        term: u32,
        was_ended_here: bool,
    ) -> Option<EndedLease> {
        self.suspects.remove(&holder);
        self.promised.remove(&holder);
        self.ended.insert(holder, term);
        Some(EndedLease { holder, term, was_ended_here })
    }
}

fn observe_lease(
    own: incarnation::Incarnation,
    document: &lease::LeaseDocument,
    version: object::ObjectVersion,
    now: time::Timestamp,
) -> ObservedLease {
    // Without a successor, no promise extends the lease beyond its last renewal.
    let is_eligible = document.successor.is_none_or(|successor| successor == own);
    let wait = if is_eligible { lease::LEASE_DURATION } else { lease::MAX_OUTAGE };
    ObservedLease { version, term: document.term, takeover_at: now + wait + lease::LEASE_MARGIN }
}

fn end_lease(
    holder: incarnation::Incarnation,
    observed: ObservedLease,
) -> operation::StoreOperation {
    let document = lease::LeaseDocument { term: observed.term, successor: None, is_ended: true };
    operation::StoreOperation::Write(lease::lease_write(holder, &document, Some(observed.version)))
}
