//! The requests run by a group of backend servers.
//!
//! A run is one execution of a request by a server. Invariant: a run is recorded
//! before its first effect, so that the counts reveal lost and duplicated requests
//! even if a response is lost.

use std::collections;
use std::sync;

use marjoramwing_derives as derives;

use crate::leak;

/// The record of a group of backend servers; clones share its state.
#[derive(Debug, Clone, Default)]
pub struct RunRecord {
    counts: sync::Arc<sync::Mutex<RunCounts>>,
    gauges: sync::Arc<sync::Mutex<Vec<sync::Arc<SlotGauge>>>>,
}

/// The counts of a group, as returned by the control path of each of its servers.
#[derives::document]
#[derive(Default)]
pub struct RunCounts {
    /// Number of runs by request identifier.
    pub runs: collections::HashMap<String, u32>,
    /// Number of runs by team, for requests with the team header.
    pub teams: collections::HashMap<String, u32>,
    /// Requests that contained a key, by location.
    pub leaked_keys: leak::LeakCounts,
    /// Number of requests that were shed.
    pub shed: u64,
    /// Number of runs that ended because the connection was closed.
    pub cancelled: u64,
    /// Number of runs that ended at their deadline.
    pub expired: u64,
}

/// The current slots of a group.
#[derives::document]
#[derive(Copy, Default)]
pub struct SlotUse {
    /// Total number of slots.
    pub slots: u32,
    /// Number of slots in use.
    pub in_use: u32,
}

/// The slots of one server.
#[derive(Debug, Default)]
pub struct SlotGauge {
    slots: sync::atomic::AtomicU32,
    in_use: sync::atomic::AtomicU32,
}

/// A slot in use, released when dropped.
#[derive(Debug)]
pub struct SlotGuard(sync::Arc<SlotGauge>);

impl RunRecord {
    /// Returns the counts so far.
    ///
    /// # Panics
    ///
    /// Panics if the mutex of the counts is poisoned.
    #[must_use]
    pub fn counts(&self) -> RunCounts {
        self.lock().clone()
    }

    /// Returns the current slots of the group.
    ///
    /// # Panics
    ///
    /// Panics if the mutex of the gauges is poisoned.
    #[must_use]
    pub fn slot_use(&self) -> SlotUse {
        let gauges = self.gauges.lock().expect("the mutex of the gauges is not poisoned");
        gauges.iter().fold(SlotUse::default(), |sum, gauge| SlotUse {
            slots: sum.slots + gauge.slots(),
            in_use: sum.in_use + gauge.in_use(),
        })
    }

    pub(crate) fn add_gauge(&self, slots: u32) -> sync::Arc<SlotGauge> {
        let gauge = sync::Arc::new(SlotGauge::default());
        gauge.set_slots(slots);
        let mut gauges = self.gauges.lock().expect("the mutex of the gauges is not poisoned");
        gauges.push(sync::Arc::clone(&gauge));
        gauge
    }

    pub(crate) fn lock(&self) -> sync::MutexGuard<'_, RunCounts> {
        self.counts.lock().expect("the mutex of the counts is not poisoned")
    }
}

impl SlotGauge {
    /// Returns the number of slots in use.
    #[must_use]
    pub fn in_use(&self) -> u32 {
        self.in_use.load(sync::atomic::Ordering::Acquire)
    }

    /// Returns the number of slots.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.slots.load(sync::atomic::Ordering::Acquire)
    }

    pub(crate) fn set_slots(&self, slots: u32) {
        self.slots.store(slots, sync::atomic::Ordering::Release);
    }

    pub(crate) fn try_acquire(self: &sync::Arc<Self>) -> Option<SlotGuard> {
        let slots = self.slots();
        let acquired = self.in_use.fetch_update(
            sync::atomic::Ordering::AcqRel,
            sync::atomic::Ordering::Acquire,
            |in_use| (in_use < slots).then_some(in_use + 1),
        );
        acquired.ok().map(|_| SlotGuard(sync::Arc::clone(self)))
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.in_use.fetch_sub(1, sync::atomic::Ordering::AcqRel);
    }
}

impl RunCounts {
    /// Adds the counts of another group.
    pub fn add(&mut self, other: Self) {
        for (id, runs) in other.runs {
            *self.runs.entry(id).or_default() += runs;
        }
        for (team, runs) in other.teams {
            *self.teams.entry(team).or_default() += runs;
        }
        self.leaked_keys.add(other.leaked_keys);
        self.shed += other.shed;
        self.cancelled += other.cancelled;
        self.expired += other.expired;
    }
}
