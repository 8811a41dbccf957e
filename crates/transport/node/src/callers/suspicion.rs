//! One request as a copy of its content, which the quarantine may hold.

use std::cell;
use std::mem;
use std::sync;
use std::time as duration;

use marjoramwing_dispatch::fingerprint;
use marjoramwing_dispatch::quarantine;
use marjoramwing_dispatch::suspect;
use marjoramwing_entity::time;

use crate::callers::attempts;
use crate::callers::investigation;

/// Longest wait for what the trial of another copy of a suspected request shows.
const MAX_TRIAL_WAIT: duration::Duration = duration::Duration::from_secs(2);

/// What the quarantine needs to know of a request, and what it decided.
pub(crate) struct SuspectCopy<'a> {
    context: attempts::AttemptContext<'a>,
    content: cell::OnceCell<fingerprint::ContentFingerprint>,
    /// Whether a server ended under one of this request's own attempts.
    is_witness: bool,
    /// Whether this request is the one copy that is being tried.
    is_trial: bool,
    /// Time until which the request is held, if it was refused for that.
    held_until: Option<time::Timestamp>,
    /// Finds out whether the server of the last attempt has ended.
    investigation: Option<tokio::task::JoinHandle<bool>>,
}

impl<'a> SuspectCopy<'a> {
    /// Creates the copy for a request without attempts.
    pub(crate) const fn new(context: attempts::AttemptContext<'a>) -> Self {
        Self {
            context,
            content: cell::OnceCell::new(),
            is_witness: false,
            is_trial: false,
            held_until: None,
            investigation: None,
        }
    }

    /// Returns the fingerprint of the request.
    pub(crate) fn content(&self) -> fingerprint::ContentFingerprint {
        let key = &self.context.shared.fingerprints;
        *self.content.get_or_init(|| self.context.request.fingerprint(key))
    }

    /// Returns the time until which the request is held, if it was refused for that.
    pub(crate) const fn held_until(&self) -> Option<time::Timestamp> {
        self.held_until
    }

    /// Waits until this copy of the request may run; returns false if it may not, as far as the
    /// caller can wait.
    pub(crate) async fn pass_quarantine(&mut self) -> bool {
        if let Some(investigation) = self.investigation.take() {
            self.is_witness |= investigation.await.unwrap_or(false);
        }
        let shared = self.context.shared;
        let clock = shared.clock();
        if shared.quarantine.is_empty() || self.is_trial {
            return true;
        }
        let role = match self.is_witness {
            true => quarantine::CopyRole::Witness,
            false => quarantine::CopyRole::Other,
        };
        let sender = suspect::SenderId::of(self.context.team);
        let time_left = self.context.deadline.since(shared.now());
        let longest_wait = time_left / attempts::CALLER_WAIT_DIVISOR;
        let give_up = shared.now() + longest_wait.min(MAX_TRIAL_WAIT);
        loop {
            let changed = shared.quarantine.changed();
            let now = shared.now();
            match shared.quarantine.begin_attempt(self.content(), sender, role, now) {
                quarantine::QuarantineVerdict::Run => return true,
                quarantine::QuarantineVerdict::Trial => {
                    self.is_trial = true;
                    return true;
                }
                quarantine::QuarantineVerdict::Wait(until) if now < give_up => {
                    tokio::select! {
                        _ = clock.wait(until.min(give_up), changed) => {}
                        () = shared.finish_ended() => return false,
                    }
                }
                quarantine::QuarantineVerdict::Wait(until)
                | quarantine::QuarantineVerdict::Held(until) => {
                    self.held_until = Some(until);
                    return false;
                }
            }
        }
    }

    /// Returns true if the request has become a suspect since it was last allowed to run.
    pub(crate) fn must_ask_again(&self) -> bool {
        !self.is_trial && self.is_suspect()
    }

    /// Returns true if a copy of the request may not simply run.
    pub(crate) fn is_suspect(&self) -> bool {
        let shared = self.context.shared;
        !shared.quarantine.is_empty() && shared.quarantine.is_suspect(self.content(), shared.now())
    }

    /// Returns true if the request is held now, also while an attempt is open, which may still wait in
    /// the queue of its server.
    pub(crate) fn is_held(&mut self) -> bool {
        let shared = self.context.shared;
        if shared.quarantine.is_empty() {
            return false;
        }
        let held_until = shared.quarantine.held_until(self.content(), shared.now());
        self.held_until = self.held_until.max(held_until);
        held_until.is_some()
    }

    /// Starts to find out whether the server of an attempt that broke off has ended under it.
    ///
    /// A task of its own does so, since the caller may leave meanwhile.
    pub(crate) fn investigate(&mut self, server: investigation::BrokenServer) {
        let content = self.content();
        let sender = suspect::SenderId::of(self.context.team);
        let shared = sync::Arc::clone(self.context.shared);
        self.is_trial = false;
        shared.quarantine.record_break(content, shared.now());
        self.investigation = Some(tokio::spawn(async move {
            let investigations = &shared.quarantine.investigations;
            let crash = investigations.find_crash(&server, &shared).await;
            match crash {
                Some(crash) => {
                    let now = shared.now();
                    shared.quarantine.record_crash(content, sender, crash, server.address, now);
                }
                None => shared.quarantine.end_trial(content),
            }
            crash.is_some()
        }));
    }

    /// Clears the request if a server has survived it.
    pub(crate) fn clear(&self, open: &mut attempts::OpenResponse) {
        if !self.is_suspect() {
            return;
        }
        if open.response.body().is_buffered() {
            self.context.shared.quarantine.record_answer(self.content());
        } else {
            open.resources.suspect = Some(self.content());
        }
    }

    /// Ends the trial if this request was to be the one copy that is tried, and has not run.
    pub(crate) fn end_trial(&mut self) {
        if mem::take(&mut self.is_trial) {
            self.context.shared.quarantine.end_trial(self.content());
        }
    }
}
