//! Holds requests that end the backend servers that run them.
//!
//! An attempt that ended together with its server makes its request a suspect, and so are the requests
//! that merely ran beside it. Copies of a suspect are then tried one at a time, and after
//! [`MIN_HELD_CRASHES`] crashes they are refused. A request is cleared by an answer to any of its
//! copies, and a crash no longer counts against it once another request with more crashes explains it.
//! A team with several held requests waits after each further crash before anything runs that is new
//! from it, so that a team that sends ever new ones ends few servers.
//!
//! Invariants: what is known only grows, so that reports may arrive in any order and more than once;
//! the number of suspects is bounded.

use std::collections;
use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::rendezvous;
use marjoramwing_entity::time;

use crate::fingerprint;
use crate::suspect;

/// Crashes from which on a request is held.
const MIN_HELD_CRASHES: usize = 2;
/// Held requests of one team from which on its other requests are paused after each crash.
const MIN_TEAM_HELD: u32 = 3;
/// Time within which the last crash of such a request must lie.
const TEAM_PERIOD: duration::Duration = duration::Duration::from_secs(60);
/// Pause of a team with the least number of held requests; doubles with each further one.
const TEAM_PAUSE: duration::Duration = duration::Duration::from_secs(1);
/// Maximum number of times that the pause doubles.
const MAX_TEAM_DOUBLINGS: u32 = 5;
/// Maximum number of suspects.
const MAX_SUSPECTS: usize = 1_024;
/// Time after a crash in which no copy is tried, so that reports of other instances arrive first.
const SETTLE_TIME: duration::Duration = duration::Duration::from_millis(150);
/// Further time for which copies leave the first trial to the requests whose own attempt broke off.
const WITNESS_TIME: duration::Duration = duration::Duration::from_millis(500);
/// Part of the time before a copy is tried that differs between instances.
const WITNESS_JITTER: duration::Duration = duration::Duration::from_secs(1);
/// Time for which other copies wait while it is found out why an attempt broke off.
const INVESTIGATION_TIME: duration::Duration = duration::Duration::from_millis(250);
/// Time for which a request is held after its second crash.
const FIRST_HOLD: duration::Duration = duration::Duration::from_secs(5);
/// Part of that time that differs between instances.
const FIRST_HOLD_JITTER: duration::Duration = duration::Duration::from_secs(5);
/// Time for which a request is held after its third crash; doubles with each further one.
const LONG_HOLD: duration::Duration = duration::Duration::from_secs(8 * 3_600);
/// Longest time for which one trial keeps other copies waiting.
const MAX_TRIAL_TIME: duration::Duration = duration::Duration::from_secs(4);
/// Time for which a request without crashes is remembered.
const BREAK_RETENTION: duration::Duration = duration::Duration::from_secs(5);
/// Time for which a request that was cleared of its only crash is remembered, so that late reports of
/// the crash change nothing.
const CLEARED_RETENTION: duration::Duration = duration::Duration::from_secs(60);
/// Time after its last crash for which a request with one crash is remembered.
const SUSPECT_RETENTION: duration::Duration = duration::Duration::from_secs(600);

/// What a copy of a request may do now.
#[derives::value]
pub enum QuarantineVerdict {
    /// It may run.
    Run,
    /// It may run as the only copy, whose end decides about the others.
    Trial,
    /// Another copy is being tried, or is about to be; ask again by this time.
    Wait(time::Timestamp),
    /// It is refused until this time.
    Held(time::Timestamp),
}

/// Which copy of a request asks.
#[derives::value]
pub enum CopyRole {
    /// One whose own attempt ended with its server; it is tried first.
    Witness,
    /// Any other one.
    Other,
}

/// A change of what is known of a request.
#[derives::value]
pub enum QuarantineChange {
    /// A server ended under it for the first time.
    Suspected,
    /// It is held from now on, or for longer.
    Held {
        /// Number of servers that ended under it.
        crashes: usize,
    },
    /// It is not held any more.
    Released,
}

/// A request as it is shown to operators.
#[derives::record]
pub struct SuspectStatus {
    /// The request.
    pub content: fingerprint::ContentFingerprint,
    /// Crashes that count against it.
    pub crashes: usize,
    /// Time since the last crash.
    pub crash_age: duration::Duration,
    /// Time for which it is still held; zero if it is not.
    pub held_for: duration::Duration,
}

/// The requests under which servers ended, as one instance knows them.
#[derive(Debug, Clone)]
pub struct RequestQuarantine {
    /// Seed by which the instances differ in when they try a held request.
    seed: u64,
    suspects: collections::HashMap<fingerprint::ContentFingerprint, suspect::Suspect>,
    /// The teams with held requests.
    senders: collections::HashMap<suspect::SenderId, SenderRecord>,
}

/// The held requests of one team.
#[derive(Debug, Clone, Copy)]
struct SenderRecord {
    held: u32,
    last_crash: time::Timestamp,
}

impl RequestQuarantine {
    /// Creates a quarantine without suspects for the instance of this name.
    #[must_use]
    pub fn new(instance: &str) -> Self {
        let seed = rendezvous::seed_of(instance);
        Self { seed, suspects: collections::HashMap::new(), senders: collections::HashMap::new() }
    }

    /// Returns true if there are no suspects.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Decides whether a copy of a request may run now; records the trial if it is one.
    pub fn begin_attempt(
        &mut self,
        content: fingerprint::ContentFingerprint,
        sender: suspect::SenderId,
        role: CopyRole,
        now: time::Timestamp,
    ) -> QuarantineVerdict {
        let crashes = self.count_crashes(content);
        let due = self.due_at(content, crashes, role);
        let Some(suspect) = self.suspects.get_mut(&content) else {
            let paused_until = self.paused_until(sender);
            return match now < paused_until {
                true => QuarantineVerdict::Held(paused_until),
                false => QuarantineVerdict::Run,
            };
        };
        match crashes {
            0 if now < suspect.trial_until => QuarantineVerdict::Wait(suspect.trial_until),
            0 => QuarantineVerdict::Run,
            _ if now < due && crashes >= MIN_HELD_CRASHES => QuarantineVerdict::Held(due),
            _ if now < due => QuarantineVerdict::Wait(due),
            _ if now < suspect.trial_until => QuarantineVerdict::Wait(suspect.trial_until),
            _ => {
                suspect.trial_until = now + MAX_TRIAL_TIME;
                suspect.is_unreported = true;
                QuarantineVerdict::Trial
            }
        }
    }

    /// Records that an attempt broke off; other copies wait until it is known why.
    pub fn record_break(&mut self, content: fingerprint::ContentFingerprint, now: time::Timestamp) {
        let suspect = self.entry(content, now);
        suspect.trial_until = now + INVESTIGATION_TIME;
        suspect.is_unreported = true;
    }

    /// Returns true if a copy of the request may not simply run.
    #[must_use]
    pub fn is_suspect(
        &self,
        content: fingerprint::ContentFingerprint,
        now: time::Timestamp,
    ) -> bool {
        let is_waited_for =
            self.suspects.get(&content).is_some_and(|suspect| now < suspect.trial_until);
        is_waited_for || self.count_crashes(content) > 0
    }

    /// Returns the time until which a request is held, if it is.
    #[must_use]
    pub fn held_until(
        &self,
        content: fingerprint::ContentFingerprint,
        now: time::Timestamp,
    ) -> Option<time::Timestamp> {
        let crashes = self.count_crashes(content);
        let due = self.due_at(content, crashes, CopyRole::Other);
        (crashes >= MIN_HELD_CRASHES && now < due).then_some(due)
    }

    /// Ends a trial that has shown nothing, since the copy did not run.
    pub fn end_trial(&mut self, content: fingerprint::ContentFingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&content) {
            suspect.trial_until = time::Timestamp::ZERO;
        }
    }

    /// Records that a server ended while it ran a copy of a request.
    pub fn record_crash(
        &mut self,
        content: fingerprint::ContentFingerprint,
        sender: suspect::SenderId,
        crash: suspect::CrashId,
        now: time::Timestamp,
    ) -> Option<QuarantineChange> {
        let before = self.count_crashes(content);
        let suspect = self.entry(content, now);
        suspect.sender = sender;
        if !suspect.merge_crash(suspect::SuspectCrash { id: crash, excused: false }) {
            return None;
        }
        suspect.last_crash = suspect.last_crash.max(now);
        suspect.trial_until = time::Timestamp::ZERO;
        suspect.is_unreported = true;
        self.change_since(content, before)
    }

    /// Records that a copy of a request was answered, which clears it.
    pub fn record_answer(
        &mut self,
        content: fingerprint::ContentFingerprint,
    ) -> Option<QuarantineChange> {
        let before = self.count_crashes(content);
        self.suspects.get_mut(&content)?.excuse().then_some(())?;
        self.change_since(content, before)
    }

    /// Records what another instance, or the store, reports about a request.
    pub fn record_report(
        &mut self,
        report: &suspect::SuspectReport,
        now: time::Timestamp,
    ) -> Option<QuarantineChange> {
        let before = self.count_crashes(report.content);
        let age = now.since(time::Timestamp::ZERO).min(report.crash_age);
        let suspect = self.entry(report.content, now - age);
        suspect.sender = suspect.sender.max(report.sender);
        let mut is_new = false;
        for crash in &report.crashes {
            is_new |= suspect.merge_crash(*crash);
        }
        suspect.last_crash = suspect.last_crash.max(now - age);
        let is_cleared = !suspect.crashes.is_empty() && suspect.counted().next().is_none();
        suspect.trial_until = match is_new {
            // A crash or an answer has ended the trial that was known.
            true => now + report.trial_left,
            false => suspect.trial_until.max(now + report.trial_left),
        };
        if is_cleared {
            suspect.trial_until = time::Timestamp::ZERO;
        }
        self.change_since(report.content, before)
    }

    /// Returns what the other instances do not yet know, and takes it as told.
    pub fn take_reports(&mut self, now: time::Timestamp) -> Vec<suspect::SuspectReport> {
        let unreported = self.suspects.iter_mut().filter(|(_, suspect)| suspect.is_unreported);
        let reports = unreported.map(|(content, suspect)| {
            suspect.is_unreported = false;
            suspect.report(*content, now)
        });
        reports.collect()
    }

    /// Returns all that is known, the requests with the most crashes first.
    #[must_use]
    pub fn all_reports(&self, now: time::Timestamp) -> Vec<suspect::SuspectReport> {
        let reports = self.suspects.iter().map(|(content, suspect)| suspect.report(*content, now));
        let mut reports: Vec<_> = reports.collect();
        reports.sort_by_key(|report| std::cmp::Reverse(report.crashes.len()));
        reports
    }

    /// Returns what must outlive the processes: the requests with enough crashes to be held, held or
    /// cleared.
    #[must_use]
    pub fn lasting_reports(&self, now: time::Timestamp) -> Vec<suspect::SuspectReport> {
        let mut reports = self.all_reports(now);
        reports.retain(|report| report.crashes.len() >= MIN_HELD_CRASHES);
        reports
    }

    /// Returns true if a request must outlive the processes, held or cleared.
    #[must_use]
    pub fn is_lasting(&self, content: fingerprint::ContentFingerprint) -> bool {
        let suspect = self.suspects.get(&content);
        suspect.is_some_and(|suspect| suspect.crashes.len() >= MIN_HELD_CRASHES)
    }

    /// Returns the suspects that no answer has cleared, for operators.
    #[must_use]
    pub fn statuses(&self, now: time::Timestamp) -> Vec<SuspectStatus> {
        let statuses = self.suspects.iter().map(|(content, suspect)| {
            let crashes = self.count_crashes(*content);
            let due = self.due_at(*content, crashes, CopyRole::Other);
            let is_held = crashes >= MIN_HELD_CRASHES;
            let held_for = if is_held { due.since(now) } else { duration::Duration::ZERO };
            let crash_age = now.since(suspect.last_crash);
            SuspectStatus { content: *content, crashes, crash_age, held_for }
        });
        let mut statuses: Vec<_> = statuses.filter(|status| status.crashes > 0).collect();
        statuses.sort_by_key(|status| (std::cmp::Reverse(status.crashes), status.content));
        statuses
    }

    /// Forgets suspects whose last crash is long ago.
    pub fn expire(&mut self, now: time::Timestamp) {
        self.suspects.retain(|_, suspect| {
            let crashes = suspect.crashes.len();
            let retention = match crashes {
                0 => BREAK_RETENTION,
                1 if suspect.counted().next().is_none() => CLEARED_RETENTION,
                crashes => hold_time(crashes).max(SUSPECT_RETENTION) * 2,
            };
            now.since(suspect.last_crash) < retention
        });
    }

    /// Returns the number of crashes that count against a request.
    ///
    /// A crash that another request with more of them explains does not count.
    #[must_use]
    pub fn count_crashes(&self, content: fingerprint::ContentFingerprint) -> usize {
        let Some(suspect) = self.suspects.get(&content) else { return 0 };
        let own = suspect.counted().count();
        let explains = |other: &suspect::Suspect, crash: suspect::CrashId| {
            let count = other.counted().count();
            count >= MIN_HELD_CRASHES && count > own && other.counted().any(|id| id == crash)
        };
        let is_explained =
            |crash: suspect::CrashId| self.suspects.values().any(|other| explains(other, crash));
        suspect.counted().filter(|crash| !is_explained(*crash)).count()
    }

    /// Returns when a copy may be tried again.
    fn due_at(
        &self,
        content: fingerprint::ContentFingerprint,
        crashes: usize,
        role: CopyRole,
    ) -> time::Timestamp {
        let Some(suspect) = self.suspects.get(&content) else { return time::Timestamp::ZERO };
        let wait = match (crashes, role) {
            (0, _) => duration::Duration::ZERO,
            (1, CopyRole::Witness) => SETTLE_TIME,
            (1, CopyRole::Other) => {
                SETTLE_TIME + WITNESS_TIME + self.jitter(content, WITNESS_JITTER)
            }
            (MIN_HELD_CRASHES, _) => FIRST_HOLD + self.jitter(content, FIRST_HOLD_JITTER),
            _ => hold_time(crashes),
        };
        suspect.last_crash + wait
    }

    /// Returns this instance's part of a time by which the instances differ.
    fn jitter(
        &self,
        content: fingerprint::ContentFingerprint,
        longest: duration::Duration,
    ) -> duration::Duration {
        let score = rendezvous::score(content.halves().1, self.seed);
        longest.mul_f64(score as f64 / u64::MAX as f64)
    }

    fn change_since(
        &mut self,
        content: fingerprint::ContentFingerprint,
        before: usize,
    ) -> Option<QuarantineChange> {
        let crashes = self.count_crashes(content);
        if before.max(crashes) >= MIN_HELD_CRASHES && before != crashes {
            self.refresh_senders();
        }
        match (before, crashes) {
            (0, 1) => Some(QuarantineChange::Suspected),
            (before, crashes) if crashes >= MIN_HELD_CRASHES && crashes > before => {
                Some(QuarantineChange::Held { crashes })
            }
            (before, 0) if before >= MIN_HELD_CRASHES => Some(QuarantineChange::Released),
            _ => None,
        }
    }

    /// Returns the time until which nothing new of a team runs.
    fn paused_until(&self, sender: suspect::SenderId) -> time::Timestamp {
        let Some(record) = self.senders.get(&sender) else { return time::Timestamp::ZERO };
        let Some(further) = record.held.checked_sub(MIN_TEAM_HELD) else {
            return time::Timestamp::ZERO;
        };
        record.last_crash + TEAM_PAUSE * (1 << further.min(MAX_TEAM_DOUBLINGS))
    }

    /// Counts the held requests of each team whose last crashes are near to the team's last one.
    fn refresh_senders(&mut self) {
        let held = self.suspects.iter().filter(|(content, suspect)| {
            suspect.sender != suspect::SenderId::default()
                && self.count_crashes(**content) >= MIN_HELD_CRASHES
        });
        let mut crashes: collections::HashMap<suspect::SenderId, Vec<time::Timestamp>> =
            collections::HashMap::new();
        for (_, suspect) in held {
            crashes.entry(suspect.sender).or_default().push(suspect.last_crash);
        }
        let record = |(sender, crashes): (suspect::SenderId, Vec<time::Timestamp>)| {
            let last_crash = crashes.iter().copied().max()?;
            let recent = crashes.iter().filter(|at| last_crash.since(**at) < TEAM_PERIOD);
            let held = u32::try_from(recent.count()).unwrap_or(u32::MAX);
            Some((sender, SenderRecord { held, last_crash }))
        };
        self.senders = crashes.into_iter().filter_map(record).collect();
    }

    /// Returns the entry of a request, in place of the least grave one if there are too many.
    fn entry(
        &mut self,
        content: fingerprint::ContentFingerprint,
        last_crash: time::Timestamp,
    ) -> &mut suspect::Suspect {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&content) {
            let gravity =
                |suspect: &suspect::Suspect| (suspect.counted().count(), suspect.last_crash);
            let least = self.suspects.iter().min_by_key(|(_, suspect)| gravity(suspect));
            if let Some(least) = least.map(|(content, _)| *content) {
                self.suspects.remove(&least);
            }
        }
        self.suspects.entry(content).or_insert(suspect::Suspect {
            sender: suspect::SenderId::default(),
            crashes: Vec::new(),
            last_crash,
            trial_until: time::Timestamp::ZERO,
            is_unreported: false,
        })
    }
}

/// Returns the time for which a request is held after this many crashes.
fn hold_time(crashes: usize) -> duration::Duration {
    match crashes {
        0 | 1 => duration::Duration::ZERO,
        MIN_HELD_CRASHES => FIRST_HOLD,
        _ => LONG_HOLD * (1 << (crashes - MIN_HELD_CRASHES - 1).min(suspect::MAX_CRASHES)),
    }
}
