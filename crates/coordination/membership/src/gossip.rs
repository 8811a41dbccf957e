//! Updates queued for dissemination.
//!
//! Invariant: the queue holds at most one entry per incarnation, so its size
//! is bounded by the number of known incarnations.

use std::collections;

use marjoramwing_entity::incarnation;

/// Incarnations whose latest state is disseminated, with the number of times it was sent.
#[derive(Debug, Clone, Default)]
pub struct GossipQueue {
    sends: collections::BTreeMap<incarnation::Incarnation, u32>,
}

impl GossipQueue {
    /// Queues the state of an incarnation and resets its send count.
    pub fn push(&mut self, incarnation: incarnation::Incarnation) {
        self.sends.insert(incarnation, 0);
    }

    /// Returns up to `limit` incarnations, those sent least often first.
    ///
    /// Counts a send for each of them and removes those that reach `max_sends`.
    pub fn next_batch(&mut self, limit: usize, max_sends: u32) -> Vec<incarnation::Incarnation> {
        let mut queued: Vec<_> =
            self.sends.iter().map(|(incarnation, sends)| (*sends, *incarnation)).collect();
        queued.sort_unstable();
        queued.truncate(limit);
        for (_, incarnation) in &queued {
            self.count_send(*incarnation, max_sends);
        }
        queued.into_iter().map(|(_, incarnation)| incarnation).collect()
    }

    /// Returns the number of queued incarnations.
    #[must_use]
    pub fn len(&self) -> usize {
        self.sends.len()
    }

    /// Returns true if nothing is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    fn count_send(&mut self, incarnation: incarnation::Incarnation, max_sends: u32) {
        let Some(sends) = self.sends.get_mut(&incarnation) else { return };
        *sends += 1;
        if *sends >= max_sends {
            self.sends.remove(&incarnation);
        }
    }
}
