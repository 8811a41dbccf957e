//! What a group of backend servers ran.
//!
//! Invariant: a run is recorded before its first effect, so a lost or doubled
//! request shows here whatever becomes of its answer.

use std::collections;
use std::sync;

use marjoramwing_derives as derives;

use crate::leak;

/// The shared record of a group of backend servers.
#[derive(Debug, Clone, Default)]
pub struct RunRecord {
    state: sync::Arc<sync::Mutex<RunCounts>>,
    gauges: sync::Arc<sync::Mutex<Vec<sync::Arc<SlotGauge>>>>,
}

/// The runs of a group, as its control port tells them.
#[derives::document]
#[derive(Default)]
pub struct RunCounts {
    /// Runs by request id.
    pub runs: collections::HashMap<String, u32>,
    /// Runs by the team that the request was for.
    pub teams: collections::HashMap<String, u32>,
    /// Requests that showed a key, by the place where it was seen.
    pub leaked_keys: leak::LeakCounts,
    /// Requests that were shed.
    pub shed: u64,
    /// Runs that ended because the connection was closed.
    pub cancelled: u64,
    /// Runs that ended at their deadline.
    pub expired: u64,
}

/// Slots of a group at one moment.
#[derives::document]
#[derive(Copy, Default)]
pub struct SlotUse {
    /// Slots of all servers.
    pub slots: u32,
    /// Slots in use.
    pub in_use: u32,
}

/// Slots of one server.
#[derive(Debug, Default)]
pub struct SlotGauge {
    slots: sync::atomic::AtomicU32,
    in_use: sync::atomic::AtomicU32,
}

/// Holds one slot until dropped.
#[derive(Debug)]
pub struct SlotGuard(sync::Arc<SlotGauge>);

impl RunRecord {
    /// Returns the runs so far.
    ///
    /// # Panics
    ///
    /// Panics if a task panicked while it held the runs.
    #[must_use]
    pub fn counts(&self) -> RunCounts {
        self.lock().clone()
    }

    /// Returns the slots in use now.
    ///
    /// # Panics
    ///
    /// Panics if a task panicked while it held the gauges.
    #[must_use]
    pub fn slot_use(&self) -> SlotUse {
        let gauges = self.gauges.lock().expect("no task panics while it holds the gauges");
        gauges.iter().fold(SlotUse::default(), |sum, gauge| SlotUse {
            slots: sum.slots + gauge.slots(),
            in_use: sum.in_use + gauge.in_use(),
        })
    }

    pub(crate) fn add_gauge(&self, slots: u32) -> sync::Arc<SlotGauge> {
        let gauge = sync::Arc::new(SlotGauge::default());
        gauge.set_slots(slots);
        let mut gauges = self.gauges.lock().expect("no task panics while it holds the gauges");
        gauges.push(sync::Arc::clone(&gauge));
        gauge
    }

    pub(crate) fn lock(&self) -> sync::MutexGuard<'_, RunCounts> {
        self.state.lock().expect("no task panics while it holds the runs")
    }
}

impl SlotGauge {
    /// Returns the slots in use.
    #[must_use]
    pub fn in_use(&self) -> u32 {
        self.in_use.load(sync::atomic::Ordering::Acquire)
    }

    /// Returns the slots that there are.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.slots.load(sync::atomic::Ordering::Acquire)
    }

    pub(crate) fn set_slots(&self, slots: u32) {
        self.slots.store(slots, sync::atomic::Ordering::Release);
    }

    pub(crate) fn take(self: &sync::Arc<Self>) -> Option<SlotGuard> {
        let slots = self.slots();
        let taken = self.in_use.fetch_update(
            sync::atomic::Ordering::AcqRel,
            sync::atomic::Ordering::Acquire,
            |in_use| (in_use < slots).then_some(in_use + 1),
        );
        taken.ok().map(|_| SlotGuard(sync::Arc::clone(self)))
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.in_use.fetch_sub(1, sync::atomic::Ordering::AcqRel);
    }
}

impl RunCounts {
    /// Adds the runs of another group.
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
