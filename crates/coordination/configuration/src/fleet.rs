//! Member selection for watching the store and for exchanging messages.
//!
//! The choice of watchers need not be exact: while the member views of two
//! instances differ, a few more or fewer instances watch.

use std::net;
use std::sync::Arc;

use marjoramwing_entity::incarnation;
use marjoramwing_membership::member;
use marjoramwing_membership::view;
use rand::seq::IteratorRandom;

/// Odd multiplier that spreads incarnations evenly over the ranks.
const RANK_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// The members of the fleet, from the point of view of this instance.
#[derive(Debug, Clone)]
pub struct FleetMembers {
    incarnation: incarnation::Incarnation,
    region: Arc<str>,
    view: Arc<view::MemberView>,
}

impl FleetMembers {
    /// Creates the state of an instance that knows no other member.
    #[must_use]
    pub fn new(incarnation: incarnation::Incarnation, region: Arc<str>) -> Self {
        Self { incarnation, region, view: Arc::default() }
    }

    /// Replaces the member view.
    pub fn set_view(&mut self, view: Arc<view::MemberView>) {
        self.view = view;
    }

    /// Returns the region of this instance.
    #[must_use]
    pub const fn region(&self) -> &Arc<str> {
        &self.region
    }

    /// Returns the regions of all members, including dead ones whose records are still kept.
    #[must_use]
    pub fn regions(&self) -> &[Arc<str>] {
        &self.view.regions
    }

    /// Returns the region of the member with the given peer address.
    #[must_use]
    pub fn region_at(&self, address: net::SocketAddr) -> Option<&Arc<str>> {
        let member = self.view.members.iter().find(|member| member.peer_address == address)?;
        Some(&member.region)
    }

    /// Returns true if this instance is one of the `watchers` lowest-ranked members of its region.
    #[must_use]
    pub fn is_watcher(&self, watchers: usize) -> bool {
        let own_rank = rank(self.incarnation);
        let local = self.others().filter(|member| member.region == self.region);
        let eligible = local.filter(|member| {
            matches!(member.state, member::MemberState::Starting | member::MemberState::Live)
        });
        let ahead = eligible
            .filter_map(|member| member.incarnation)
            .filter(|other| rank(*other) < own_rank);
        ahead.count() < watchers
    }

    /// Picks up to `limit` random members of this region.
    pub fn pick_local(&self, limit: usize, rng: &mut impl rand::Rng) -> Vec<net::SocketAddr> {
        let local = self.others().filter(|member| member.region == self.region);
        local.map(|member| member.peer_address).sample(rng, limit)
    }

    /// Picks up to `limit` random members of other regions.
    pub fn pick_remote(&self, limit: usize, rng: &mut impl rand::Rng) -> Vec<net::SocketAddr> {
        let remote = self.others().filter(|member| member.region != self.region);
        remote.map(|member| member.peer_address).sample(rng, limit)
    }

    /// Picks a random member of a region.
    pub fn pick_in_region(
        &self,
        region: &Arc<str>,
        rng: &mut impl rand::Rng,
    ) -> Option<net::SocketAddr> {
        let members = self.others().filter(|member| member.region == *region);
        members.map(|member| member.peer_address).choose(rng)
    }

    /// Iterates over all members except this instance.
    fn others(&self) -> impl Iterator<Item = &member::Member> {
        self.view.members.iter().filter(|member| member.incarnation != Some(self.incarnation))
    }
}

/// Returns the pseudo-random rank by which a region's watchers are chosen.
fn rank(incarnation: incarnation::Incarnation) -> u64 {
    incarnation.as_u64().wrapping_mul(RANK_FACTOR).rotate_left(32).wrapping_mul(RANK_FACTOR)
}
