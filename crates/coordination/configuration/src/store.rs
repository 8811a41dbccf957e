//! The keeper's calls to the store.
//!
//! Invariant: positions of the store are ordered by era, then by revision. The answer to a watch
//! from before the known position has no effect.

use std::time;

use marjoramwing_entity::time as entity_time;
use marjoramwing_objects::operation;
use marjoramwing_objects::position;
use marjoramwing_tables::fault;
use rand::RngExt;

use crate::candidate;
use crate::group;
use crate::keeper;
use crate::selector;
use crate::status;

type ActionList = Vec<keeper::ConfigurationAction>;

/// Calls to the store that are in flight or scheduled.
#[derive(Debug)]
pub(crate) struct StoreCalls {
    /// Position of the store up to which this instance knows all changes.
    position: position::StorePosition,
    /// Time at which the watch in flight was sent.
    watch_sent_at: Option<entity_time::Timestamp>,
    /// Earliest time of the next watch, or of an early poll on an instance that does not watch.
    next_watch_at: entity_time::Timestamp,
    next_poll_at: entity_time::Timestamp,
    /// Send time of the last watch whose changes have not all been read yet.
    unread_watch_sent_at: Option<entity_time::Timestamp>,
    reads: [ReadState; candidate::TableObject::ALL.len()],
    /// Delay after the last call without a usable answer; reset when a watch or poll succeeds.
    retry_delay: time::Duration,
}

/// State of the read of one object.
#[derive(Debug, Clone, Copy, Default)]
enum ReadState {
    #[default]
    Idle,
    InFlight {
        /// Newest version known when the read was sent.
        known: u128,
    },
    Due(entity_time::Timestamp),
}

impl StoreCalls {
    pub(crate) fn new(first_call_at: entity_time::Timestamp) -> Self {
        Self {
            position: position::StorePosition::default(),
            watch_sent_at: None,
            next_watch_at: first_call_at,
            next_poll_at: first_call_at,
            unread_watch_sent_at: None,
            reads: Default::default(),
            retry_delay: time::Duration::ZERO,
        }
    }

    pub(crate) const fn position(&self) -> position::StorePosition {
        self.position
    }
}

impl keeper::ConfigurationKeeper {
    /// Starts the watch, poll and reads that are due.
    pub(crate) fn start_due_calls(
        &mut self,
        now: entity_time::Timestamp,
        actions: &mut ActionList,
    ) {
        self.start_watch(now, actions);
        for object in candidate::TableObject::ALL {
            let known = group::version_of(&self.latest_known, object);
            let read = &mut self.calls.reads[object as usize];
            if matches!(read, ReadState::Due(due_at) if *due_at <= now) {
                *read = ReadState::InFlight { known };
                actions.push(keeper::ConfigurationAction::Read(object));
            }
        }
    }

    pub(crate) fn handle_watch(
        &mut self,
        answer: Option<operation::WatchAnswer>,
        now: entity_time::Timestamp,
        rng: &mut impl rand::Rng,
        actions: &mut ActionList,
    ) {
        let sent_at = self.calls.watch_sent_at.take().unwrap_or(now);
        let Some(answer) = answer else {
            self.record_failure(now, rng);
            return;
        };
        self.record_answer();
        // An answer from an older state of the store confirms nothing.
        if answer.position < self.calls.position {
            self.delay_calls(now, rng);
            return;
        }
        self.schedule_next(now, rng);
        let known = std::mem::replace(&mut self.calls.position, answer.position);
        if known.era < answer.position.era && !known.is_start() {
            self.status_reports.iter_mut().for_each(status::StatusReport::record_restore);
        }
        let mut received = Vec::new();
        for change in answer.changes {
            let Some(object) = candidate::TableObject::from_name(&change.name) else { continue };
            let latest_known = group::version_mut(&mut self.latest_known, object);
            *latest_known = change.version.0.max(*latest_known);
            let text = match change.value {
                operation::ChangedValue::Included(text) => text,
                operation::ChangedValue::Malformed(reason) if change.version.0 == 0 => {
                    self.refuse_unversioned(object, reason, actions);
                    continue;
                }
                // The reason is not a valid document either, so the selector records a fault that
                // is then reported.
                operation::ChangedValue::Malformed(reason) => {
                    bytes::Bytes::copy_from_slice(reason.as_bytes())
                }
                operation::ChangedValue::Omitted | operation::ChangedValue::Deleted => continue,
            };
            self.unversioned[object as usize] = fault::FaultList::default();
            received.push(keeper::ReceivedObject { object, version: change.version.0, text });
        }
        self.offer_all(received, selector::ObjectSource::Store, rng, actions);
        self.calls.unread_watch_sent_at = Some(sent_at);
        self.read_missing(now, actions);
        self.confirm_if_current();
    }

    pub(crate) fn handle_read(
        &mut self,
        object: candidate::TableObject,
        answer: operation::StoreAnswer,
        now: entity_time::Timestamp,
        rng: &mut impl rand::Rng,
        actions: &mut ActionList,
    ) {
        let read = std::mem::take(&mut self.calls.reads[object as usize]);
        match answer {
            operation::StoreAnswer::Found(stored) => {
                self.record_answer();
                let (version, text) = (stored.version.0, stored.value);
                let received = vec![keeper::ReceivedObject { object, version, text }];
                self.offer_all(received, selector::ObjectSource::Store, rng, actions);
            }
            operation::StoreAnswer::Missing => {
                self.record_answer();
                // The object does not exist any more, so there is no newer version to wait for,
                // unless that became known after the read was sent or a peer has it: a store that
                // was restored may lack what a peer has read from it.
                let newest = group::version_of(&self.selector.newest_read(), object);
                let latest_known = group::version_mut(&mut self.latest_known, object);
                let is_late =
                    !matches!(read, ReadState::InFlight { known } if known >= *latest_known);
                if !is_late && !self.fetches.is_pending(object) {
                    *latest_known = newest;
                }
            }
            _ => self.record_failure(now, rng),
        }
        if self.is_outdated(object) {
            let due_at = now + self.settings.retry_delay.mul_f64(rng.random_range(0.75..1.5));
            self.calls.reads[object as usize] = ReadState::Due(due_at);
        }
        self.confirm_if_current();
    }

    /// Reports a value of the store that has no readable version, which is never applied: its place
    /// among the other versions is unknown.
    fn refuse_unversioned(
        &mut self,
        object: candidate::TableObject,
        reason: std::sync::Arc<str>,
        actions: &mut ActionList,
    ) {
        let mut faults = fault::FaultList::default();
        faults.add(object.to_string(), fault::FaultKind::Syntax(reason));
        let known = std::mem::replace(&mut self.unversioned[object as usize], faults);
        if known != self.unversioned[object as usize] {
            actions.push(keeper::ConfigurationAction::Refused(object));
        }
    }

    /// Starts the next watch if it is due; instances that do not watch poll with a watch that ends
    /// immediately.
    fn start_watch(&mut self, now: entity_time::Timestamp, actions: &mut ActionList) {
        if self.calls.watch_sent_at.is_some() {
            return;
        }
        let is_watcher = self.is_watcher() && self.has_members();
        let due_at = if is_watcher { self.calls.next_watch_at } else { self.calls.next_poll_at };
        // An instance whose tables are ageing polls early.
        let polls_early =
            self.settings.anti_entropy && self.is_ageing(now) && self.calls.next_watch_at <= now;
        if now < due_at && !polls_early {
            return;
        }
        let wait = if is_watcher { self.settings.watch_wait } else { time::Duration::ZERO };
        self.calls.watch_sent_at = Some(now);
        let after = self.calls.position;
        actions.push(keeper::ConfigurationAction::Watch { after, wait });
    }

    fn has_members(&self) -> bool {
        !self.fleet.regions().is_empty()
    }

    /// Schedules the next watch and poll after a successful call.
    fn schedule_next(&mut self, now: entity_time::Timestamp, rng: &mut impl rand::Rng) {
        self.calls.retry_delay = time::Duration::ZERO;
        let jitter = rng.random_range(0.75..1.25);
        let is_watcher = self.is_watcher() && self.has_members();
        let watch_delay =
            if is_watcher { time::Duration::ZERO } else { self.settings.initial_poll_interval };
        self.calls.next_watch_at = now + watch_delay.mul_f64(jitter);
        let has_tables = self.selector.newest_read().routes > 0;
        let poll_interval = if has_tables {
            self.settings.poll_interval
        } else {
            self.settings.initial_poll_interval
        };
        self.calls.next_poll_at = now + poll_interval.mul_f64(jitter);
    }

    /// Reads the objects of which a newer version is known than the one that was read last.
    fn read_missing(&mut self, now: entity_time::Timestamp, actions: &mut ActionList) {
        for object in candidate::TableObject::ALL {
            let is_idle = matches!(self.calls.reads[object as usize], ReadState::Idle);
            if is_idle && self.is_outdated(object) {
                self.calls.reads[object as usize] = ReadState::Due(now);
            }
        }
        self.start_due_calls(now, actions);
    }

    /// Confirms the tables once every change that the last watch reported has been read.
    fn confirm_if_current(&mut self) {
        if group::covers(&self.selector.newest_read(), &self.latest_known)
            && let Some(at) = self.calls.unread_watch_sent_at.take()
        {
            self.freshness.confirm(at);
        }
    }

    /// Returns true if a newer version of an object is known than the newest one that was read.
    fn is_outdated(&self, object: candidate::TableObject) -> bool {
        let newest = group::version_of(&self.selector.newest_read(), object);
        newest < group::version_of(&self.latest_known, object)
    }

    fn record_answer(&mut self) {
        self.freshness.record_answer();
    }

    /// Records a failed call and delays the next watch and poll.
    fn record_failure(&mut self, now: entity_time::Timestamp, rng: &mut impl rand::Rng) {
        self.freshness.record_failure(now);
        self.delay_calls(now, rng);
    }

    /// Delays the next watch and poll, twice as long with each unusable answer in succession.
    fn delay_calls(&mut self, now: entity_time::Timestamp, rng: &mut impl rand::Rng) {
        let doubled = self.calls.retry_delay * 2;
        self.calls.retry_delay =
            doubled.clamp(self.settings.retry_delay, self.settings.max_retry_delay);
        let delay = self.calls.retry_delay.mul_f64(rng.random_range(0.75..1.25));
        self.calls.next_watch_at = now + delay;
        self.calls.next_poll_at = now + delay;
    }
}
