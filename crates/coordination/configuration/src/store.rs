//! How the keeper deals with the store.

use std::time;

use marjoramwing_entity::time as entity_time;
use marjoramwing_objects::operation;
use rand::RngExt;

use crate::candidate;
use crate::group;
use crate::keeper;

type ActionList = Vec<keeper::ConfigurationAction>;

/// Calls to the store that wait for an answer or their time.
#[derive(Debug)]
pub(crate) struct StoreCalls {
    revision: u64,
    /// Time at which the open watch was sent.
    watch_sent: Option<entity_time::Timestamp>,
    next_watch: entity_time::Timestamp,
    next_poll: entity_time::Timestamp,
    /// Time of a watch whose changes have not all been read.
    unread_since: Option<entity_time::Timestamp>,
    reads: [ReadState; candidate::TableObject::ALL.len()],
    retry: time::Duration,
}

/// The read of one object.
#[derive(Debug, Clone, Copy, Default)]
enum ReadState {
    #[default]
    Idle,
    Open,
    Due(entity_time::Timestamp),
}

impl StoreCalls {
    pub(crate) fn new(first_call: entity_time::Timestamp) -> Self {
        Self {
            revision: 0,
            watch_sent: None,
            next_watch: first_call,
            next_poll: first_call,
            unread_since: None,
            reads: Default::default(),
            retry: time::Duration::ZERO,
        }
    }

    pub(crate) const fn revision(&self) -> u64 {
        self.revision
    }
}

impl keeper::ConfigurationKeeper {
    /// Starts the calls that are due.
    pub(crate) fn call_store(&mut self, now: entity_time::Timestamp, actions: &mut ActionList) {
        self.start_watch(now, actions);
        for object in candidate::TableObject::ALL {
            let read = &mut self.calls.reads[object as usize];
            if matches!(read, ReadState::Due(due) if *due <= now) {
                *read = ReadState::Open;
                actions.push(keeper::ConfigurationAction::Read(object));
            }
        }
    }

    pub(crate) fn take_watch(
        &mut self,
        answer: Option<operation::WatchAnswer>,
        now: entity_time::Timestamp,
        rng: &mut impl rand::Rng,
        actions: &mut ActionList,
    ) {
        let sent = self.calls.watch_sent.take().unwrap_or(now);
        let Some(answer) = answer else {
            self.note_failure(now, rng);
            return;
        };
        self.plan_next(now, rng);
        self.note_answer();
        // A store that answers from an older state confirms nothing.
        if answer.revision < self.calls.revision {
            return;
        }
        self.calls.revision = answer.revision;
        let mut told = Vec::new();
        for change in answer.changes {
            let Some(object) = candidate::TableObject::from_name(&change.name) else { continue };
            let wanted = group::version_mut(&mut self.wanted, object);
            *wanted = change.version.0.max(*wanted);
            match change.value {
                operation::ChangedValue::Told(text) => {
                    told.push(keeper::ToldObject { object, version: change.version.0, text });
                }
                // The fault is that of the text, which is offered so that it is reported.
                operation::ChangedValue::Unreadable(reason) => {
                    let text = bytes::Bytes::copy_from_slice(reason.as_bytes());
                    told.push(keeper::ToldObject { object, version: change.version.0, text });
                }
                operation::ChangedValue::Untold | operation::ChangedValue::Deleted => {}
            }
        }
        self.offer_all(told, rng, actions);
        self.calls.unread_since = Some(sent);
        self.read_wanted(now, actions);
        self.confirm_read();
    }

    pub(crate) fn take_read(
        &mut self,
        object: candidate::TableObject,
        answer: operation::StoreAnswer,
        now: entity_time::Timestamp,
        rng: &mut impl rand::Rng,
        actions: &mut ActionList,
    ) {
        self.calls.reads[object as usize] = ReadState::Idle;
        match answer {
            operation::StoreAnswer::Found(stored) => {
                self.note_answer();
                self.offer(object, stored.version.0, stored.value, rng, actions);
            }
            operation::StoreAnswer::Missing => {
                self.note_answer();
                let newest = group::version_of(&self.selector.newest(), object);
                *group::version_mut(&mut self.wanted, object) = newest;
            }
            _ => self.note_failure(now, rng),
        }
        if self.lacks(object) {
            let due = now + self.settings.retry.mul_f64(rng.random_range(0.75..1.5));
            self.calls.reads[object as usize] = ReadState::Due(due);
        }
        self.confirm_read();
    }

    fn start_watch(&mut self, now: entity_time::Timestamp, actions: &mut ActionList) {
        if self.calls.watch_sent.is_some() {
            return;
        }
        let is_watcher = self.is_watcher() && self.has_members();
        let due = if is_watcher { self.calls.next_watch } else { self.calls.next_poll };
        // An instance whose tables grow old looks for itself.
        let is_early = self.settings.repairs && self.is_ageing(now) && self.calls.next_watch <= now;
        if now < due && !is_early {
            return;
        }
        let wait = if is_watcher { self.settings.watch_wait } else { time::Duration::ZERO };
        self.calls.watch_sent = Some(now);
        let after = self.calls.revision;
        actions.push(keeper::ConfigurationAction::Watch { after, wait });
    }

    fn has_members(&self) -> bool {
        !self.fleet.regions().is_empty()
    }

    fn plan_next(&mut self, now: entity_time::Timestamp, rng: &mut impl rand::Rng) {
        self.calls.retry = time::Duration::ZERO;
        let spread = rng.random_range(0.75..1.25);
        let is_watcher = self.is_watcher() && self.has_members();
        let pause = if is_watcher { time::Duration::ZERO } else { self.settings.start_poll };
        self.calls.next_watch = now + pause.mul_f64(spread);
        let has_tables = self.selector.newest().routes > 0;
        let poll = if has_tables { self.settings.poll } else { self.settings.start_poll };
        self.calls.next_poll = now + poll.mul_f64(spread);
    }

    fn read_wanted(&mut self, now: entity_time::Timestamp, actions: &mut ActionList) {
        for object in candidate::TableObject::ALL {
            let is_idle = matches!(self.calls.reads[object as usize], ReadState::Idle);
            if is_idle && self.lacks(object) {
                self.calls.reads[object as usize] = ReadState::Due(now);
            }
        }
        self.call_store(now, actions);
    }

    /// Takes what the store said as confirmed once all of it has been read.
    fn confirm_read(&mut self) {
        if group::covers(&self.selector.newest(), &self.wanted)
            && let Some(at) = self.calls.unread_since.take()
        {
            self.sight.confirm(at);
        }
    }

    fn lacks(&self, object: candidate::TableObject) -> bool {
        let newest = group::version_of(&self.selector.newest(), object);
        newest < group::version_of(&self.wanted, object)
    }

    fn note_answer(&mut self) {
        self.sight.note_answer();
    }

    fn note_failure(&mut self, now: entity_time::Timestamp, rng: &mut impl rand::Rng) {
        self.sight.note_failure(now);
        let doubled = self.calls.retry * 2;
        self.calls.retry = doubled.clamp(self.settings.retry, self.settings.max_retry);
        let pause = self.calls.retry.mul_f64(rng.random_range(0.75..1.25));
        self.calls.next_watch = now + pause;
        self.calls.next_poll = now + pause;
    }
}
