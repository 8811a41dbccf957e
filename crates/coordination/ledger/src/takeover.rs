//! Ending the lease of a holder that no longer answers.
//!
//! Invariants: a lease is ended only by a conditional write at the version
//! that was seen unchanged for long enough, so that the holder has stopped:
//! one lease and a margin at its heir, the longest outage and a margin at any
//! other instance. An heir that has promised waits for the promise to lapse,
//! and promises nothing while its write may take effect, nor for a term that
//! has ended.

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
/// Time between two looks at a lease that is waited for.
const REREAD_PERIOD: duration::Duration = duration::Duration::from_secs(60);

/// Watches leases of holders that are suspected, and gives promises as an heir.
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
    seen: Option<SeenLease>,
    pending: Option<PendingCheck>,
    /// Version at which a write of ours may still take effect.
    doubted: Option<object::ObjectVersion>,
    not_before: time::Timestamp,
    reread_at: time::Timestamp,
}

#[derive(Debug, Clone, Copy)]
enum PendingCheck {
    Read,
    End,
}

#[derive(Debug, Clone, Copy)]
struct SeenLease {
    version: object::ObjectVersion,
    term: u32,
    due: time::Timestamp,
}

impl SuspectLease {
    /// Tells whether a write that ends the lease may take effect.
    fn may_end(&self) -> bool {
        self.doubted.is_some() || matches!(self.pending, Some(PendingCheck::End))
    }
}

/// A lease that is known to have ended.
#[derives::value]
pub struct EndedLease {
    /// Whose lease it was.
    pub holder: incarnation::Incarnation,
    /// Its term; earlier ones have ended as well.
    pub term: u32,
    /// Tells whether this instance ended it as the heir.
    pub is_heir: bool,
}

impl TakeoverKeeper {
    /// Makes a keeper that suspects nobody.
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

    /// Tells whether this instance has been a holder's heir of late.
    #[must_use]
    pub fn has_promised(&self, holder: incarnation::Incarnation) -> bool {
        self.promised.contains_key(&holder)
    }

    /// Begins to watch the lease of a holder that no longer answers.
    pub fn suspect(&mut self, holder: incarnation::Incarnation, now: time::Timestamp) {
        if holder == self.own {
            return;
        }
        let suspect = SuspectLease {
            seen: None,
            pending: None,
            doubted: None,
            not_before: now,
            reread_at: now,
        };
        self.suspects.entry(holder).or_insert(suspect);
    }

    /// Ends the watch over a holder that answers, unless a write is on its way.
    pub fn clear(&mut self, holder: incarnation::Incarnation) {
        if self.suspects.get(&holder).is_some_and(|suspect| !suspect.may_end()) {
            self.suspects.remove(&holder);
        }
    }

    /// Promises a holder not to take over for one lease, if that is true.
    pub fn promise(
        &mut self,
        holder: incarnation::Incarnation,
        promise: message::LeasePromise,
        now: time::Timestamp,
    ) -> Option<message::LedgerMessage> {
        let has_ended = self.ended.get(&holder).is_some_and(|ended| promise.term <= *ended);
        let refuses = self.mechanisms.is_on(mechanism::LedgerMechanism::RefuseEnded);
        if (has_ended && refuses) || self.suspects.get(&holder).is_some_and(SuspectLease::may_end) {
            return None;
        }
        self.promised.insert(holder, now + lease::LEASE + lease::LEASE_MARGIN);
        Some(message::LedgerMessage::Promise(promise))
    }

    /// Starts the reads and writes that are due.
    pub fn step(&mut self, now: time::Timestamp, actions: &mut Vec<action::LedgerAction>) {
        let keeps = self.mechanisms.is_on(mechanism::LedgerMechanism::KeepPromise);
        for (holder, suspect) in &mut self.suspects {
            if suspect.pending.is_some() || now < suspect.not_before {
                continue;
            }
            let promised = self.promised.get(holder).copied().filter(|_| keeps).unwrap_or_default();
            let due = suspect.seen.filter(|seen| now >= seen.due && now >= promised);
            let operation = match due {
                Some(seen) => {
                    suspect.pending = Some(PendingCheck::End);
                    end_lease(*holder, seen)
                }
                None if suspect.seen.is_some() && now < suspect.reread_at => continue,
                None => {
                    suspect.pending = Some(PendingCheck::Read);
                    suspect.reread_at = now + REREAD_PERIOD;
                    operation::StoreOperation::Read(lease::lease_name(*holder))
                }
            };
            actions.push(action::LedgerAction::Store(operation));
        }
    }

    /// Takes in the answer of the store on another instance's lease.
    pub fn take_answer(
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
                    return self.end(holder, document.term, false);
                }
                suspect.doubted = suspect.doubted.filter(|version| *version == stored.version);
                let is_same = suspect.seen.is_some_and(|seen| seen.version == stored.version);
                if !is_same {
                    suspect.seen = Some(see_lease(own, &document, stored.version, now));
                }
            }
            operation::StoreAnswer::Missing => return self.end(holder, u32::MAX, false),
            operation::StoreAnswer::Written(_) => {
                let term = suspect.seen.map_or(0, |seen| seen.term);
                return self.end(holder, term, true);
            }
            operation::StoreAnswer::Conflict(_) => suspect.seen = None,
            operation::StoreAnswer::Rejected => suspect.not_before = now + RETRY_DELAY,
            operation::StoreAnswer::Unknown => {
                suspect.not_before = now + RETRY_DELAY;
                if matches!(pending, Some(PendingCheck::End)) {
                    suspect.doubted = suspect.seen.map(|seen| seen.version);
                }
            }
        }
        None
    }

    fn end(
        &mut self,
        holder: incarnation::Incarnation,
        term: u32,
        is_heir: bool,
    ) -> Option<EndedLease> {
        self.suspects.remove(&holder);
        self.promised.remove(&holder);
        self.ended.insert(holder, term);
        Some(EndedLease { holder, term, is_heir })
    }
}

fn see_lease(
    own: incarnation::Incarnation,
    document: &lease::LeaseDocument,
    version: object::ObjectVersion,
    now: time::Timestamp,
) -> SeenLease {
    // Without an heir no promise prolongs the lease beyond its last renewal.
    let is_free = document.heir.is_none_or(|heir| heir == own);
    let wait = if is_free { lease::LEASE } else { lease::MAX_OUTAGE };
    SeenLease { version, term: document.term, due: now + wait + lease::LEASE_MARGIN }
}

fn end_lease(holder: incarnation::Incarnation, seen: SeenLease) -> operation::StoreOperation {
    let document = lease::LeaseDocument { term: seen.term, heir: None, is_ended: true };
    operation::StoreOperation::Write(lease::write_lease(holder, &document, Some(seen.version)))
}
