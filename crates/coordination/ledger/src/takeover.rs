//! Ending the lease of another instance that no longer renews it.
//!
//! Watching a lease means to read it from the store repeatedly, and to end it if it stays
//! unchanged for too long. An instance that still renews its lease keeps it.
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

/// Delay before a failed operation is retried.
const RETRY_DELAY: duration::Duration = duration::Duration::from_secs(1);
/// Period at which a watched lease is read again.
const REREAD_PERIOD: duration::Duration = duration::Duration::from_secs(60);

/// Watches the leases of holders that may have stopped, and makes promises as a successor.
#[derive(Debug)]
pub struct TakeoverKeeper {
    own: incarnation::Incarnation,
    watched: collections::BTreeMap<incarnation::Incarnation, WatchedLease>,
    /// Time until which this instance does not take over, by the holder it promised that to.
    promised: collections::BTreeMap<incarnation::Incarnation, time::Timestamp>,
    /// Last term known to have ended, by holder.
    ended: collections::BTreeMap<incarnation::Incarnation, u32>,
    mechanisms: mechanism::MechanismSet,
}

/// A lease that this instance watches.
#[derive(Debug, Clone, Copy)]
struct WatchedLease {
    /// Lease as last read; `None` until it has been read since the last conflict.
    observed: Option<ObservedLease>,
    /// Operation that the store has not answered yet.
    in_flight: Option<InFlightCheck>,
    /// Version at which an unconfirmed write of this instance may still take effect.
    unconfirmed: Option<object::ObjectVersion>,
    /// Earliest time of the next operation after a failed one.
    not_before: time::Timestamp,
    reread_at: time::Timestamp,
}

/// Operation on a watched lease: a read, or the write that ends it.
#[derive(Debug, Clone, Copy)]
enum InFlightCheck {
    Read,
    End,
}

/// A lease as read from the store.
#[derive(Debug, Clone, Copy)]
struct ObservedLease {
    version: object::ObjectVersion,
    term: u32,
    /// Time from which the lease may be ended if its version is still the same.
    takeover_at: time::Timestamp,
}

impl WatchedLease {
    /// Returns true if a write that ends the lease may take effect.
    fn may_end(&self) -> bool {
        self.unconfirmed.is_some() || matches!(self.in_flight, Some(InFlightCheck::End))
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
            watched: collections::BTreeMap::new(),
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

    /// Starts to watch the lease of a holder that may have stopped or lost it; does nothing
    /// for this instance's own lease.
    pub fn watch_lease(&mut self, holder: incarnation::Incarnation, now: time::Timestamp) {
        if holder == self.own {
            return;
        }
        let watched = WatchedLease {
            observed: None,
            in_flight: None,
            unconfirmed: None,
            not_before: now,
            reread_at: now,
        };
        self.watched.entry(holder).or_insert(watched);
    }

    /// Stops watching the lease of a holder, unless a write that ends it may take effect.
    pub fn unwatch_lease(&mut self, holder: incarnation::Incarnation) {
        if self.watched.get(&holder).is_some_and(|watched| !watched.may_end()) {
            self.watched.remove(&holder);
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
        if (has_ended && refuses) || self.watched.get(&holder).is_some_and(WatchedLease::may_end) {
            return None;
        }
        self.promised.insert(holder, now + lease::LEASE_DURATION + lease::LEASE_MARGIN);
        Some(message::LedgerMessage::Promise(promise))
    }

    /// Starts the reads and writes that are due.
    pub fn step(&mut self, now: time::Timestamp, actions: &mut Vec<action::LedgerAction>) {
        let honors = self.mechanisms.is_on(mechanism::LedgerMechanism::HonorPromise);
        for (holder, watched) in &mut self.watched {
            if watched.in_flight.is_some() || now < watched.not_before {
                continue;
            }
            let promised =
                self.promised.get(holder).copied().filter(|_| honors).unwrap_or_default();
            let due =
                watched.observed.filter(|observed| now >= observed.takeover_at && now >= promised);
            let operation = match due {
                Some(observed) => {
                    watched.in_flight = Some(InFlightCheck::End);
                    end_lease(*holder, observed)
                }
                None if watched.observed.is_some() && now < watched.reread_at => continue,
                None => {
                    watched.in_flight = Some(InFlightCheck::Read);
                    watched.reread_at = now + REREAD_PERIOD;
                    operation::StoreOperation::Read(lease::lease_name(*holder))
                }
            };
            actions.push(action::LedgerAction::Store(operation));
        }
    }

    /// Handles the store's answer on another instance's lease; returns the lease if it has
    /// ended. A missing object ends all terms.
    pub fn handle_store_answer(
        &mut self,
        holder: incarnation::Incarnation,
        answer: &operation::StoreAnswer,
        now: time::Timestamp,
    ) -> Option<EndedLease> {
        let own = self.own;
        let watched = self.watched.get_mut(&holder)?;
        let in_flight = watched.in_flight.take();
        match answer {
            operation::StoreAnswer::Found(stored) => {
                let document = lease::parse_lease(&stored.value)?;
                if document.is_ended {
                    return self.record_end(holder, document.term, false);
                }
                watched.unconfirmed =
                    watched.unconfirmed.filter(|version| *version == stored.version);
                let is_same =
                    watched.observed.is_some_and(|observed| observed.version == stored.version);
                if !is_same {
                    watched.observed = Some(observe_lease(own, &document, stored.version, now));
                }
            }
            operation::StoreAnswer::Missing => return self.record_end(holder, u32::MAX, false),
            operation::StoreAnswer::Written(_) => {
                let term = watched.observed.map_or(0, |observed| observed.term);
                return self.record_end(holder, term, true);
            }
            // The lease was written since it was observed; the wait starts anew.
            operation::StoreAnswer::Conflict(_) => watched.observed = None,
            operation::StoreAnswer::Rejected => watched.not_before = now + RETRY_DELAY,
            operation::StoreAnswer::Unknown => {
                watched.not_before = now + RETRY_DELAY;
                if matches!(in_flight, Some(InFlightCheck::End)) {
                    watched.unconfirmed = watched.observed.map(|observed| observed.version);
                }
            }
        }
        None
    }

    /// Stops watching a lease that has ended.
    fn record_end(
        &mut self,
        holder: incarnation::Incarnation,
        term: u32,
        was_ended_here: bool,
    ) -> Option<EndedLease> {
        self.watched.remove(&holder);
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
