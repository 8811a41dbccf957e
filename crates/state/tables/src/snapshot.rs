//! One immutable set of all tables.
//!
//! Invariants, established when a snapshot is built: every pool that a route names
//! exists, every team that a key names exists, every site that a block names
//! exists, every region that a headroom or cap names exists, and names are unique
//! within their table.

use std::collections;
use std::sync::Arc;
use std::time;

use marjoramwing_derives as derives;
use marjoramwing_entity::primary;

use crate::builder;
use crate::credential;
use crate::document;
use crate::fault;
use crate::pool;
use crate::region;
use crate::route;
use crate::site;
use crate::team;
use crate::version;

/// Versions of the objects from which a snapshot was built.
#[derives::value]
#[derive(Default, serde::Serialize)]
pub struct TableVersions {
    /// Version of the `routes` object.
    #[serde(serialize_with = "version::serialize")]
    pub routes: u128,
    /// Version of the `pools` object.
    #[serde(serialize_with = "version::serialize")]
    pub pools: u128,
    /// Version of the `teams` object.
    #[serde(serialize_with = "version::serialize")]
    pub teams: u128,
    /// Version of the `keys` object.
    #[serde(serialize_with = "version::serialize")]
    pub keys: u128,
    /// Version of the `steering` object.
    #[serde(serialize_with = "version::serialize")]
    pub steering: u128,
}

/// The raw documents of one snapshot.
#[derives::document]
#[derive(Default)]
pub struct TableDocuments {
    /// The `routes` object.
    pub routes: document::RoutesDocument,
    /// The `pools` object.
    pub pools: document::PoolsDocument,
    /// The `teams` object.
    pub teams: document::TeamsDocument,
    /// The `keys` object.
    pub keys: document::KeysDocument,
    /// The `steering` object.
    pub steering: document::SteeringDocument,
}

/// All validated tables at one set of versions.
#[derive(Debug, Clone, Default)]
pub struct TableSnapshot {
    /// Routes of the snapshot.
    pub routes: primary::PrimaryMap<route::RouteKey, route::Route>,
    /// Pools of the snapshot.
    pub pools: primary::PrimaryMap<pool::PoolKey, pool::Pool>,
    /// Teams of the snapshot.
    pub teams: primary::PrimaryMap<team::TeamKey, team::Team>,
    /// Sites of the snapshot.
    pub sites: primary::PrimaryMap<site::SiteKey, site::Site>,
    /// Blocks of client addresses with their home sites.
    pub blocks: Vec<site::ClientBlock>,
    /// Regions of the sites.
    pub regions: primary::PrimaryMap<region::RegionKey, region::Region>,
    /// Caps on the traffic between regions.
    pub shifts: Vec<region::ShiftCap>,
    /// Team rate per additional instance in a lookup response, in requests per second.
    pub spread_rate: f64,
    /// Planned capacity of one instance, in requests per second.
    pub instance_rate: f64,
    /// Time for which callers may cache a lookup response.
    pub lookup_ttl: time::Duration,
    /// Format of the team keys.
    pub key_format: credential::KeyFormat,
    /// Valid keys by identifier.
    pub(crate) credentials: collections::HashMap<Arc<str>, credential::Credential>,
    /// Routes, most specific first; equally specific ones in the order of the document.
    pub(crate) route_order: Vec<route::RouteKey>,
}

impl TableSnapshot {
    /// Returns the most specific route that matches a request; of equally specific ones, the first
    /// in the document.
    #[must_use]
    pub fn find_route(&self, query: &route::RouteQuery<'_>) -> Option<route::RouteKey> {
        self.route_order.iter().copied().find(|key| self.routes[*key].matches(query))
    }

    /// Returns the team that a presented key authenticates, or `None` if the key is not valid.
    #[must_use]
    pub fn authenticate(&self, key: &credential::PresentedKey<'_>) -> Option<team::TeamKey> {
        // The hash is computed before the lookup, and so also for an unknown identifier.
        let presented = key.hash();
        let credential = self.credentials.get(key.id())?;
        credential.hash.matches(&presented).then_some(credential.team)
    }

    /// Returns true if the key with this identifier and hash is valid.
    #[must_use]
    pub fn has_credential(&self, id: &str, hash: &credential::KeyHash) -> bool {
        self.credentials.get(id).is_some_and(|credential| credential.hash.matches(hash))
    }

    /// Returns true if there is a valid key with this identifier.
    #[must_use]
    pub fn has_key_id(&self, id: &str) -> bool {
        self.credentials.contains_key(id)
    }

    /// Returns true if a route needs a key.
    #[must_use]
    pub fn requires_keys(&self) -> bool {
        self.routes.values().any(|route| route.access == route::RouteAccess::Keyed)
    }

    /// Returns the number of valid keys.
    #[must_use]
    pub fn credential_count(&self) -> usize {
        self.credentials.len()
    }
}

impl TryFrom<&TableDocuments> for TableSnapshot {
    type Error = fault::FaultList;

    /// Checks documents that operators edit with this project's commands.
    fn try_from(documents: &TableDocuments) -> Result<Self, Self::Error> {
        let (snapshot, faults) = builder::build(documents, fault::FaultHandling::Reject);
        if faults.is_empty() { Ok(snapshot) } else { Err(faults) }
    }
}

impl TableSnapshot {
    /// Builds the tables from documents that the users' store has accepted as a whole.
    ///
    /// Each fault is confined to its row; see [`fault::FaultHandling::Confine`]. Returns the faults
    /// with the tables. Without a row of a team, no route needs a key.
    #[must_use]
    pub fn confine(documents: &TableDocuments) -> (Self, fault::FaultList) {
        builder::build(documents, fault::FaultHandling::Confine)
    }
}
