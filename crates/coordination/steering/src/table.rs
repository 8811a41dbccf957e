//! The immutable table that lookups read.
//!
//! It is built off the hot path whenever configuration tables or members
//! change. Members are identified by their index in the membership view from
//! which the table was built and which it holds.

use std::collections;
use std::net;
use std::sync::Arc;

use marjoramwing_blocks::builder;
use marjoramwing_blocks::table;
use marjoramwing_entity::entity_key;
use marjoramwing_entity::primary;
use marjoramwing_membership::member;
use marjoramwing_membership::view;
use marjoramwing_tables::name;
use marjoramwing_tables::region;
use marjoramwing_tables::site;
use marjoramwing_tables::snapshot;

use marjoramwing_entity::rendezvous;

entity_key! {
    /// Index of a member in the view of a [`SteeringTable`].
    pub struct MemberIndex, "member"
}

/// A member that accepts new requests, with its rendezvous seed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LiveMember {
    pub(crate) index: MemberIndex,
    pub(crate) seed: u64,
}

/// Members of one region that accept new requests.
#[derive(Debug, Clone, Default)]
pub(crate) struct RegionEntry {
    pub(crate) members: Vec<LiveMember>,
}

/// Sites, address blocks and live members, prepared for lookups.
#[derive(Debug, Clone)]
pub struct SteeringTable {
    pub(crate) regions: primary::PrimaryMap<region::RegionKey, RegionEntry>,
    blocks: Arc<table::BlockTable>,
    site_regions: primary::PrimaryMap<site::SiteKey, region::RegionKey>,
    region_names: primary::PrimaryMap<region::RegionKey, name::RegionName>,
    view: Arc<view::MemberView>,
}

impl SteeringTable {
    /// Builds a table from the sites of a snapshot and the live members of a view.
    #[must_use]
    pub fn new(
        tables: &snapshot::TableSnapshot,
        blocks: Arc<table::BlockTable>,
        view: Arc<view::MemberView>,
    ) -> Self {
        let site_regions = tables.sites.values().map(|site| site.region).collect();
        let mut regions: primary::PrimaryMap<_, RegionEntry> =
            tables.regions.values().map(|_| RegionEntry::default()).collect();
        let finder = RegionFinder::new(tables);
        for (index, member) in view.members.iter().enumerate() {
            if let Some(region) = finder.serving_region(&view, member) {
                let index = marjoramwing_entity::key::EntityKey::from_index(index);
                let seed = rendezvous::seed_of(&member.name);
                regions[region].members.push(LiveMember { index, seed });
            }
        }
        let region_names = tables.regions.values().map(|region| region.name.clone()).collect();
        Self { regions, blocks, site_regions, region_names, view }
    }

    /// Returns the home region of a client, or `None` if its address is in no block.
    #[must_use]
    pub fn find_home(&self, client: net::IpAddr) -> Option<region::RegionKey> {
        let site = self.blocks.find(client)?;
        self.site_regions.get(site).copied()
    }

    /// Returns the name of a region, or `None` if the table does not hold the region.
    #[must_use]
    pub fn region_name(&self, region: region::RegionKey) -> Option<&name::RegionName> {
        self.region_names.get(region)
    }

    /// Returns the member at an index.
    ///
    /// # Panics
    ///
    /// Panics if the index is out of bounds; an index that a lookup in this table returned
    /// never is.
    #[must_use]
    pub fn member(&self, index: MemberIndex) -> &member::Member {
        &self.view.members[marjoramwing_entity::key::EntityKey::index(index)]
    }

    /// Returns the number of members of a region that accept new requests.
    #[must_use]
    pub fn serving_count(&self, region: region::RegionKey) -> usize {
        self.regions.get(region).map_or(0, |entry| entry.members.len())
    }
}

/// Builds the table of a snapshot's address blocks.
#[must_use]
pub fn build_blocks(tables: &snapshot::TableSnapshot) -> Arc<table::BlockTable> {
    let mut builder = builder::TableBuilder::default();
    for block in &tables.blocks {
        builder.add(&block.prefix, block.site);
    }
    Arc::new(builder.build())
}

/// Resolves the region that a member serves.
struct RegionFinder<'a> {
    regions: collections::HashMap<&'a str, region::RegionKey>,
    draining_sites: collections::HashSet<&'a str>,
}

impl<'a> RegionFinder<'a> {
    fn new(tables: &'a snapshot::TableSnapshot) -> Self {
        let regions = tables.regions.iter().map(|(key, region)| (region.name.as_str(), key));
        let draining = tables.sites.values().filter(|site| site.draining);
        Self {
            regions: regions.collect(),
            draining_sites: draining.map(|site| site.name.as_str()).collect(),
        }
    }

    /// Returns a member's region, or `None` if the member is not live, its site is draining or
    /// its region is not configured.
    fn serving_region(
        &self,
        view: &view::MemberView,
        member: &member::Member,
    ) -> Option<region::RegionKey> {
        let is_live = view.is_live(member);
        let is_draining = self.draining_sites.contains(&*member.site);
        if !is_live || is_draining {
            return None;
        }
        self.regions.get(&*member.region).copied()
    }
}
