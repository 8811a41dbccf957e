//! Requests that end the backend servers that run them, as this instance knows them.
//!
//! The decisions are those of [`quarantine::RequestQuarantine`]; this module logs them, wakes the
//! requests that wait for one, and keeps instances without suspects free of any cost.

use std::net;
use std::sync;
use std::sync::atomic;

use marjoramwing_dispatch::fingerprint;
use marjoramwing_dispatch::quarantine;
use marjoramwing_dispatch::suspect;
use marjoramwing_entity::time;
use marjoramwing_events::catalogue;
use marjoramwing_events::emit;

use crate::callers::investigation;

/// Requests under which servers ended.
#[derive(Debug)]
pub struct QuarantineControl {
    state: sync::Mutex<quarantine::RequestQuarantine>,
    is_empty: atomic::AtomicBool,
    /// Wakes the requests that wait for a decision.
    changed: tokio::sync::Notify,
    /// Wakes the task that tells the other instances.
    unreported: tokio::sync::Notify,
    /// Wakes the task that writes to the store.
    lasting: tokio::sync::Notify,
    pub(crate) investigations: investigation::InvestigationTable,
}

impl QuarantineControl {
    /// Creates a quarantine without suspects for the instance of this name.
    #[must_use]
    pub fn new(instance: &str) -> Self {
        Self {
            state: sync::Mutex::new(quarantine::RequestQuarantine::new(instance)),
            is_empty: atomic::AtomicBool::new(true),
            changed: tokio::sync::Notify::new(),
            unreported: tokio::sync::Notify::new(),
            lasting: tokio::sync::Notify::new(),
            investigations: investigation::InvestigationTable::default(),
        }
    }

    /// Returns true if there are no suspects, so that no request needs to be looked up.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.is_empty.load(atomic::Ordering::Acquire)
    }

    /// Decides whether a copy of a request may run now.
    #[must_use]
    pub fn begin_attempt(
        &self,
        content: fingerprint::ContentFingerprint,
        sender: suspect::SenderId,
        role: quarantine::CopyRole,
        now: time::Timestamp,
    ) -> quarantine::QuarantineVerdict {
        let verdict = self.lock().begin_attempt(content, sender, role, now);
        if verdict == quarantine::QuarantineVerdict::Trial {
            emit!(catalogue::REQUEST_TRIED, content = %content);
            self.unreported.notify_one();
        }
        verdict
    }

    /// Returns true if a copy of the request may not simply run.
    #[must_use]
    pub fn is_suspect(
        &self,
        content: fingerprint::ContentFingerprint,
        now: time::Timestamp,
    ) -> bool {
        !self.is_empty() && self.lock().is_suspect(content, now)
    }

    /// Returns the time until which a request is held, if it is.
    #[must_use]
    pub fn held_until(
        &self,
        content: fingerprint::ContentFingerprint,
        now: time::Timestamp,
    ) -> Option<time::Timestamp> {
        self.lock().held_until(content, now)
    }

    /// Records that an attempt broke off; other copies wait until it is known why.
    pub fn record_break(&self, content: fingerprint::ContentFingerprint, now: time::Timestamp) {
        self.lock().record_break(content, now);
        self.is_empty.store(false, atomic::Ordering::Release);
        self.unreported.notify_one();
    }

    /// Ends a trial whose copy did not run.
    pub fn end_trial(&self, content: fingerprint::ContentFingerprint) {
        self.lock().end_trial(content);
        self.changed.notify_waiters();
    }

    /// Records that a server ended while it ran a copy of a request.
    pub fn record_crash(
        &self,
        content: fingerprint::ContentFingerprint,
        sender: suspect::SenderId,
        crash: suspect::CrashId,
        server: net::SocketAddr,
        now: time::Timestamp,
    ) {
        let mut state = self.lock();
        let change = state.record_crash(content, sender, crash, now);
        self.is_empty.store(false, atomic::Ordering::Release);
        drop(state);
        if change == Some(quarantine::QuarantineChange::Suspected) {
            emit!(catalogue::REQUEST_SUSPECTED, content = %content, server = %server);
        }
        self.publish(content, change);
    }

    /// Records that a copy of a request was answered, which clears it.
    pub fn record_answer(&self, content: fingerprint::ContentFingerprint) {
        self.release(content);
    }

    /// Clears a request of its crashes; returns false if there were none.
    pub fn release(&self, content: fingerprint::ContentFingerprint) -> bool {
        let (change, is_lasting) = {
            let mut state = self.lock();
            if state.count_crashes(content) == 0 {
                return false;
            }
            (state.record_answer(content), state.is_lasting(content))
        };
        self.publish(content, change);
        if is_lasting {
            self.lasting.notify_one();
        }
        true
    }

    /// Records what another instance or the store reports.
    pub fn record_reports(&self, reports: &[suspect::SuspectReport], now: time::Timestamp) {
        if reports.is_empty() {
            return;
        }
        for report in reports {
            let change = self.lock().record_report(report, now);
            log_change(report.content, change);
        }
        self.is_empty.store(self.lock().is_empty(), atomic::Ordering::Release);
        self.changed.notify_waiters();
    }

    /// Waits until there is something to tell the other instances, and returns it.
    pub async fn next_reports(
        &self,
        now: impl Fn() -> time::Timestamp,
    ) -> Vec<suspect::SuspectReport> {
        self.unreported.notified().await;
        self.lock().take_reports(now())
    }

    /// Waits until this instance has learned something that must outlive the processes.
    pub async fn lasting_change(&self) {
        self.lasting.notified().await;
    }

    /// Returns what must outlive the processes.
    #[must_use]
    pub fn lasting_reports(&self, now: time::Timestamp) -> Vec<suspect::SuspectReport> {
        self.lock().lasting_reports(now)
    }

    /// Forgets old suspects and returns what is known of the others.
    #[must_use]
    pub fn refresh(&self, now: time::Timestamp) -> Vec<suspect::SuspectReport> {
        if self.is_empty() {
            return Vec::new();
        }
        let mut state = self.lock();
        state.expire(now);
        self.is_empty.store(state.is_empty(), atomic::Ordering::Release);
        state.all_reports(now)
    }

    /// Returns the suspects, for the state dump.
    #[must_use]
    pub fn statuses(&self, now: time::Timestamp) -> Vec<quarantine::SuspectStatus> {
        self.lock().statuses(now)
    }

    /// Returns a future that is ready once anything has changed; create it before asking.
    pub fn changed(&self) -> tokio::sync::futures::Notified<'_> {
        self.changed.notified()
    }

    /// Tells those who wait what has changed by this instance's own observation.
    fn publish(
        &self,
        content: fingerprint::ContentFingerprint,
        change: Option<quarantine::QuarantineChange>,
    ) {
        log_change(content, change);
        if matches!(change, Some(quarantine::QuarantineChange::Held { .. })) {
            self.lasting.notify_one();
        }
        self.changed.notify_waiters();
        self.unreported.notify_one();
    }

    fn lock(&self) -> sync::MutexGuard<'_, quarantine::RequestQuarantine> {
        self.state.lock().expect("no task panics while it holds the quarantine")
    }
}

fn log_change(
    content: fingerprint::ContentFingerprint,
    change: Option<quarantine::QuarantineChange>,
) {
    match change {
        Some(quarantine::QuarantineChange::Held { crashes }) => {
            emit!(catalogue::REQUEST_HELD, content = %content, crashes);
        }
        Some(quarantine::QuarantineChange::Released) => {
            emit!(catalogue::REQUEST_RELEASED, content = %content);
        }
        Some(quarantine::QuarantineChange::Suspected) | None => {}
    }
}
