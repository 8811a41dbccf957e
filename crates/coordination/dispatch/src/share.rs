//! The instances among which the rate of a limited server is divided.

use std::sync::Arc;

use marjoramwing_entity::rendezvous;

/// The instances of the fleet, as seeds of their names.
#[derive(Debug, Clone)]
pub struct ShareFleet {
    own: u64,
    /// Seeds of the running instances, including this one.
    members: Arc<[u64]>,
    /// Number of instances among which a rate is divided; more than the members while some are not
    /// known.
    size: usize,
    /// Whether the instances are known well enough to send anything.
    is_known: bool,
}

impl Default for ShareFleet {
    /// Returns a fleet of one instance.
    fn default() -> Self {
        Self { own: 0, members: Arc::from([0]), size: 1, is_known: true }
    }
}

impl ShareFleet {
    /// Creates the fleet of an instance; `size` is at least the number of members.
    pub fn new<'a>(
        own: &str,
        members: impl Iterator<Item = &'a Arc<str>>,
        size: usize,
        is_known: bool,
    ) -> Self {
        let members: Arc<[u64]> = members.map(|name| rendezvous::seed_of(name)).collect();
        let size = size.max(members.len());
        Self { own: rendezvous::seed_of(own), members, size, is_known }
    }

    /// Returns the number of instances among which a rate is divided.
    #[must_use]
    pub const fn size(&self) -> usize {
        self.size
    }

    /// Returns the number of instances that rendezvous hashing ranks before this one for a key;
    /// `None` if the instances are not known.
    #[must_use]
    pub fn rank(&self, key: u64) -> Option<usize> {
        let own = rendezvous::score(key, self.own);
        let before = self.members.iter().filter(|seed| rendezvous::score(key, **seed) > own);
        self.is_known.then(|| before.count())
    }
}
