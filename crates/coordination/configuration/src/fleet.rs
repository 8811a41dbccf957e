//! The members as the configuration needs them.
//!
//! Who watches is only a hint: if two views differ, a few more or fewer
//! instances watch for a while.

use std::net;
use std::sync::Arc;

use marjoramwing_entity::incarnation;
use marjoramwing_membership::member;
use marjoramwing_membership::view;
use rand::seq::IteratorRandom;

/// Odd factor that spreads incarnations evenly over the ranks.
const RANK_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// The other members and the own place among them.
#[derive(Debug, Clone)]
pub struct FleetPlaces {
    own: incarnation::Incarnation,
    region: Arc<str>,
    view: Arc<view::MemberView>,
}

impl FleetPlaces {
    /// Makes the places of an instance that knows no other.
    #[must_use]
    pub fn new(own: incarnation::Incarnation, region: Arc<str>) -> Self {
        Self { own, region, view: Arc::default() }
    }

    /// Takes a changed view.
    pub fn set_view(&mut self, view: Arc<view::MemberView>) {
        self.view = view;
    }

    /// Returns the own region.
    #[must_use]
    pub const fn region(&self) -> &Arc<str> {
        &self.region
    }

    /// Returns all regions of which a member is remembered.
    #[must_use]
    pub fn regions(&self) -> &[Arc<str>] {
        &self.view.regions
    }

    /// Returns the region of the member at a peer address.
    #[must_use]
    pub fn region_at(&self, address: net::SocketAddr) -> Option<&Arc<str>> {
        let member = self.view.members.iter().find(|member| member.peers == address)?;
        Some(&member.region)
    }

    /// Tells whether this instance is among the watchers of its region.
    #[must_use]
    pub fn is_watcher(&self, watchers: usize) -> bool {
        let own_rank = rank(self.own);
        let near = self.others().filter(|member| member.region == self.region);
        let able = near.filter(|member| {
            matches!(member.state, member::MemberState::Starting | member::MemberState::Live)
        });
        let ahead =
            able.filter_map(|member| member.incarnation).filter(|run| rank(*run) < own_rank);
        ahead.count() < watchers
    }

    /// Picks members of the own region.
    pub fn pick_near(&self, most: usize, rng: &mut impl rand::Rng) -> Vec<net::SocketAddr> {
        let near = self.others().filter(|member| member.region == self.region);
        near.map(|member| member.peers).sample(rng, most)
    }

    /// Picks members of other regions.
    pub fn pick_far(&self, most: usize, rng: &mut impl rand::Rng) -> Vec<net::SocketAddr> {
        let far = self.others().filter(|member| member.region != self.region);
        far.map(|member| member.peers).sample(rng, most)
    }

    /// Picks a member of a region.
    pub fn pick_in(&self, region: &Arc<str>, rng: &mut impl rand::Rng) -> Option<net::SocketAddr> {
        let members = self.others().filter(|member| member.region == *region);
        members.map(|member| member.peers).choose(rng)
    }

    fn others(&self) -> impl Iterator<Item = &member::Member> {
        self.view.members.iter().filter(|member| member.incarnation != Some(self.own))
    }
}

fn rank(run: incarnation::Incarnation) -> u64 {
    run.as_u64().wrapping_mul(RANK_FACTOR).rotate_left(32).wrapping_mul(RANK_FACTOR)
}
