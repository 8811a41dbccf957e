//! Validated regions and the caps on traffic between them.

use marjoramwing_derives as derives;
use marjoramwing_entity::entity_key;

use crate::name;
use crate::team;

entity_key! {
    /// Key of a region.
    pub struct RegionKey, "region"
}

/// A region, which groups sites.
#[derive(Debug, Clone, PartialEq)]
pub struct Region {
    /// Name of the region.
    pub name: name::RegionName,
    /// Limit on the traffic that the region accepts for clients of all other regions; no limit if
    /// `None`.
    pub headroom: Option<team::RateLimit>,
}

/// A cap on the traffic that one region accepts for the clients of another.
#[derives::measure]
pub struct ShiftCap {
    /// Home region of the clients.
    pub from: RegionKey,
    /// Region that serves them.
    pub to: RegionKey,
    /// Limit over all instances.
    pub limit: team::RateLimit,
}
