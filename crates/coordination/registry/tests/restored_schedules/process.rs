//! Processes of the simulated servers.

use rand::RngExt;

/// Time between the heartbeats of a process, in milliseconds.
pub(crate) const HEARTBEAT_MS: u64 = 1_500;

/// What a process of a server does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Phase {
    Ready,
    Draining,
    /// Crashed, or left and deleted its entry.
    Ended,
}

/// The process that has an identifier now, or had it last.
#[derive(Clone, Debug)]
pub(crate) struct Process {
    pub(crate) born: u64,
    pub(crate) sequence: u64,
    pub(crate) phase: Phase,
    pub(crate) next_heartbeat: u64,
    /// Time until which its heartbeats do not reach the store.
    pub(crate) silent_until: u64,
    /// Whether the registry was told that it runs.
    pub(crate) was_reported: bool,
    /// Time from which it must not be shown, since the registry was told that it drains or is gone,
    /// as it really does or is.
    pub(crate) hidden_from: Option<u64>,
    /// Whether the registry has removed it since it was told.
    pub(crate) was_removed: bool,
    /// Last time at which its entry was removed though it ran.
    pub(crate) expired_at: Option<u64>,
}

impl Process {
    pub(crate) fn hide_from(&mut self, time: u64) {
        self.hidden_from = Some(self.hidden_from.map_or(time, |known| known.min(time)));
    }

    pub(crate) fn start(now: u64, rng: &mut impl RngExt) -> Self {
        Self {
            born: now + 1,
            sequence: 0,
            phase: Phase::Ready,
            next_heartbeat: now + rng.random_range(0..HEARTBEAT_MS),
            silent_until: 0,
            was_reported: false,
            hidden_from: None,
            was_removed: false,
            expired_at: None,
        }
    }
}
