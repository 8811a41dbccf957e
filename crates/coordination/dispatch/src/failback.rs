//! Limits how fast requests return from remote regions once local servers have
//! capacity again.
//!
//! Invariant: from one window to the next, the share of a service's requests that is
//! served by remote regions falls by at most the configured step, as long as the caller
//! sends requests to a remote region while [`FailbackLimiter::must_stay_remote`] returns
//! true. No limit applies after a window with fewer than `MIN_REQUESTS` requests.

use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::time;

/// Period over which the remote share is measured.
const WINDOW: duration::Duration = duration::Duration::from_secs(2);
/// Part of the step, as a divisor, by which the remote share may exceed its minimum for the
/// requests of sessions that are placed remotely.
const PLACED_EXCESS_DIVISOR: u32 = 8;
/// Minimum number of requests in the previous window for its remote share to apply.
const MIN_REQUESTS: u32 = 8;

/// Request counts of one window.
#[derives::value]
#[derive(Default)]
struct WindowCount {
    all: u32,
    remote: u32,
}

/// Limits how fast a service's requests return to the local region.
#[derives::value]
pub struct FailbackLimiter {
    /// Maximum drop of the remote share from one window to the next, in thousandths.
    failback_step_milli: u32,
    /// Start of the current window; `None` before the first request.
    started_at: Option<time::Timestamp>,
    current: WindowCount,
    previous: WindowCount,
}

impl FailbackLimiter {
    /// Creates a limiter without recorded requests.
    ///
    /// `failback_step` is the maximum drop of the remote share from one window to the
    /// next, as a fraction of all requests. `initial_remote_milli` is the share, in
    /// thousandths, that the local slots are not expected to serve; it is taken as the
    /// remote share of the window before the first.
    #[must_use]
    pub fn new(failback_step: f64, initial_remote_milli: u32) -> Self {
        Self {
            failback_step_milli: (failback_step * 1_000.0) as u32,
            started_at: None,
            current: WindowCount::default(),
            previous: WindowCount { all: 1_000, remote: initial_remote_milli.min(1_000) },
        }
    }

    /// Returns true if a request was recorded.
    #[must_use]
    pub const fn has_started(&self) -> bool {
        self.started_at.is_some()
    }

    /// Returns the share of the requests, in thousandths, that must still be sent to remote
    /// regions in the current window.
    #[must_use]
    pub fn min_remote_milli(&self, now: time::Timestamp) -> u32 {
        let (_, previous) = self.counts_at(now);
        match previous.all {
            0..MIN_REQUESTS => 0,
            all => (previous.remote * 1_000 / all).saturating_sub(self.failback_step_milli),
        }
    }

    /// Returns true if the next request must still be sent to a remote region.
    #[must_use]
    pub fn must_stay_remote(&self, now: time::Timestamp) -> bool {
        self.is_remote_share_below(self.min_remote_milli(now), now)
    }

    /// Returns true if the next request may still be sent to a remote region because its session
    /// is placed there; the remote share falls by most of the step nevertheless.
    #[must_use]
    pub fn may_stay_remote(&self, now: time::Timestamp) -> bool {
        let excess_milli = self.failback_step_milli / PLACED_EXCESS_DIVISOR;
        self.is_remote_share_below(self.min_remote_milli(now) + excess_milli, now)
    }

    /// Returns true if the remote share of the current window would be below `share_milli`
    /// after one more local request.
    fn is_remote_share_below(&self, share_milli: u32, now: time::Timestamp) -> bool {
        let (current, _) = self.counts_at(now);
        current.remote * 1_000 < share_milli * (current.all + 1)
    }

    /// Records a request and whether it was sent to a remote region.
    pub fn record(&mut self, is_remote: bool, now: time::Timestamp) {
        (self.current, self.previous) = self.counts_at(now);
        if self.started_at.is_none_or(|started_at| now.since(started_at) >= WINDOW) {
            self.started_at = Some(now);
        }
        self.current.all += 1;
        self.current.remote += u32::from(is_remote);
    }

    /// Returns the counts of the current and the previous window.
    fn counts_at(&self, now: time::Timestamp) -> (WindowCount, WindowCount) {
        let Some(started_at) = self.started_at else { return (self.current, self.previous) };
        match now.since(started_at) {
            elapsed if elapsed < WINDOW => (self.current, self.previous),
            elapsed if elapsed < 2 * WINDOW => (WindowCount::default(), self.current),
            _ => (WindowCount::default(), WindowCount::default()),
        }
    }
}
