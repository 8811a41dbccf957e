//! The instances among which bounds on a service are divided.
//!
//! Invariant: instances that start at the same time, before they know of each other, divide a
//! bound as if all instances that the platform lists were running. An instance that has just
//! started and has not read the list sends nothing to cold servers. A later list that lacks
//! instances, such as that of a store restored from an older copy, raises no share.

use std::sync::Arc;
use std::time as duration;

use marjoramwing_entity::rendezvous;
use marjoramwing_entity::time;

use crate::cold;
use crate::share;

/// Time after the start for which the list counts; by then members know of each other.
const STARTUP_PERIOD: duration::Duration = duration::Duration::from_secs(4);
/// Number of instances assumed after the start while the list has not been read.
const DEFAULT_FLEET_SIZE: usize = 450;

/// The instances of the fleet, as known to one of them.
#[derive(Debug, Clone)]
pub struct FleetRoster {
    own: Arc<str>,
    /// Names of the live instances, including this one.
    members: Vec<Arc<str>>,
    /// Names that the platform has listed since the start, of instances running or not.
    listed: Option<Vec<Arc<str>>>,
    /// Largest number of instances that were live at the same time.
    max_members: usize,
    startup_ends_at: time::Timestamp,
}

impl FleetRoster {
    /// Creates the roster of an instance that starts now and knows no other.
    #[must_use]
    pub fn new(own: Arc<str>, now: time::Timestamp) -> Self {
        let startup_ends_at = now + STARTUP_PERIOD;
        Self { own, members: Vec::new(), listed: None, max_members: 0, startup_ends_at }
    }

    /// Replaces the live instances; returns true if they have changed.
    pub fn set_members(&mut self, members: Vec<Arc<str>>) -> bool {
        let has_changed = self.members != members;
        self.max_members = self.max_members.max(members.len());
        self.members = members;
        has_changed
    }

    /// Adds the listed instances; returns true if they matter now and any is new.
    ///
    /// Those of earlier lists still count, since a restored store lacks the entries that are
    /// younger than its copy.
    pub fn set_listed(&mut self, listed: Vec<Arc<str>>, now: time::Timestamp) -> bool {
        if !self.is_starting(now) {
            return false;
        }
        let is_first = self.listed.is_none();
        let known = self.listed.get_or_insert_default();
        let known_count = known.len();
        known.extend(listed);
        known.sort_unstable();
        known.dedup();
        is_first || known.len() > known_count
    }

    /// Returns true while the list counts.
    #[must_use]
    pub fn is_starting(&self, now: time::Timestamp) -> bool {
        now < self.startup_ends_at
    }

    /// Returns the number of instances among which bounds are divided.
    #[must_use]
    pub fn fleet_size(&self, now: time::Timestamp) -> usize {
        let known = self.max_members.max(1);
        match &self.listed {
            _ if !self.is_starting(now) => known,
            Some(listed) => known.max(listed.len() + self.unlisted(listed).count()),
            None => known.max(DEFAULT_FLEET_SIZE),
        }
    }

    /// Returns this instance's share of the requests per second to a cold server.
    #[must_use]
    pub fn cold_share(
        &self,
        allowance: cold::ColdAllowance,
        server: &str,
        now: time::Timestamp,
    ) -> u32 {
        let rank = match (&self.listed, self.is_starting(now)) {
            (_, false) => self.rank_among(self.members.iter(), server),
            (Some(listed), true) => {
                self.rank_among(listed.iter().chain(self.unlisted(listed)), server)
            }
            (None, true) => return 0,
        };
        allowance.share(rank, self.fleet_size(now))
    }

    /// Returns the instances among which the rates of limited servers are divided.
    #[must_use]
    pub fn share_fleet(&self, now: time::Timestamp) -> share::ShareFleet {
        let (size, is_starting) = (self.fleet_size(now), self.is_starting(now));
        match &self.listed {
            Some(listed) if is_starting => {
                let names = listed.iter().chain(self.unlisted(listed));
                share::ShareFleet::new(&self.own, names, size, true)
            }
            // The own name is among the members once membership has started.
            _ => share::ShareFleet::new(&self.own, self.members.iter(), size, !is_starting),
        }
    }

    /// Returns the live instances that are not listed.
    fn unlisted<'a>(&'a self, listed: &'a [Arc<str>]) -> impl Iterator<Item = &'a Arc<str>> {
        self.members.iter().filter(|member| !listed.contains(member))
    }

    /// Returns the number of instances that rendezvous hashing ranks before this one for a server.
    fn rank_among<'a>(&self, names: impl Iterator<Item = &'a Arc<str>>, server: &str) -> usize {
        let key = rendezvous::seed_of(server);
        let score = |name: &str| rendezvous::score(key, rendezvous::seed_of(name));
        let own = score(&self.own);
        names.filter(|name| score(name) > own).count()
    }
}
