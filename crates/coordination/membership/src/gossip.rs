//! Updates that wait to be passed on.
//!
//! Invariant: at most one entry for each run, so the queue is bounded by the
//! number of known instances.

use std::collections;

use marjoramwing_entity::incarnation;

/// Runs whose newest state is passed on, with the times that was done.
#[derive(Debug, Clone, Default)]
pub struct GossipQueue {
    sends: collections::BTreeMap<incarnation::Incarnation, u32>,
}

impl GossipQueue {
    /// Passes on the state of a run from now on.
    pub fn push(&mut self, incarnation: incarnation::Incarnation) {
        self.sends.insert(incarnation, 0);
    }

    /// Takes the runs that have been passed on the least.
    pub fn take(&mut self, most: usize, max_sends: u32) -> Vec<incarnation::Incarnation> {
        let mut waiting: Vec<_> = self.sends.iter().map(|(run, sends)| (*sends, *run)).collect();
        waiting.sort_unstable();
        waiting.truncate(most);
        for (_, run) in &waiting {
            self.count_send(*run, max_sends);
        }
        waiting.into_iter().map(|(_, run)| run).collect()
    }

    /// Returns the number of runs that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.sends.len()
    }

    /// Tells whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    fn count_send(&mut self, run: incarnation::Incarnation, max_sends: u32) {
        let Some(sends) = self.sends.get_mut(&run) else { return };
        *sends += 1;
        if *sends >= max_sends {
            self.sends.remove(&run);
        }
    }
}
