//! One immutable set of all tables.
//!
//! Invariants, checked when a snapshot is built: every pool that a route names
//! exists, every team that a key names exists, every site that a block names
//! exists, every region that a headroom or cap names exists, and names are unique
//! within their table.

use std::collections;
use std::sync::Arc;
use std::time;

use marjoramwing_derives as derives;
use marjoramwing_entity::primary;

use crate::credential;
use crate::document;
use crate::fault;
use crate::name;
use crate::pool;
use crate::region;
use crate::route;
use crate::site;
use crate::team;
use crate::version;

const MAX_DEADLINE_MS: u64 = 600_000;
const MAX_BODY_BYTES: u64 = 1 << 30;
const MAX_ATTEMPTS: u32 = 16;
const MAX_WEIGHT: u32 = 1_000_000;
const MAX_COLD_MS: u64 = 3_600_000;
const MIN_COLD_RATE: f64 = 0.001;
const MAX_COLD_RATE: f64 = 1_000_000.0;

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
    credentials: collections::HashMap<Arc<str>, credential::Credential>,
    /// Routes, most specific first; equally specific ones in the order of the document.
    route_order: Vec<route::RouteKey>,
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

    /// Returns the number of valid keys.
    #[must_use]
    pub fn credential_count(&self) -> usize {
        self.credentials.len()
    }
}

impl TryFrom<&TableDocuments> for TableSnapshot {
    type Error = fault::FaultList;

    fn try_from(documents: &TableDocuments) -> Result<Self, Self::Error> {
        let mut builder = SnapshotBuilder::default();
        builder.add_pools(&documents.pools);
        builder.add_routes(&documents.routes);
        builder.add_teams(&documents.teams);
        builder.add_keys(&documents.keys);
        builder.add_steering(&documents.steering);
        builder.finish()
    }
}

/// Collects the validated rows and all faults of the documents.
#[derive(Debug, Default)]
pub(crate) struct SnapshotBuilder {
    pub(crate) snapshot: TableSnapshot,
    pub(crate) faults: fault::FaultList,
    pool_keys: collections::HashMap<Arc<str>, pool::PoolKey>,
    team_keys: collections::HashMap<Arc<str>, team::TeamKey>,
    pub(crate) site_keys: collections::HashMap<Arc<str>, site::SiteKey>,
    pub(crate) region_keys: collections::HashMap<Arc<str>, region::RegionKey>,
    route_names: collections::HashSet<Arc<str>>,
}

impl SnapshotBuilder {
    fn add_pools(&mut self, raw: &document::PoolsDocument) {
        for (index, row) in raw.pools.iter().enumerate() {
            let path = format!("pools[{index}]");
            let name =
                self.faults.check(format!("{path}.name"), name::PoolName::try_from(&row.name));
            let servers = self.check_servers(&path, row);
            let cold_start = row.cold_start.map(check_cold_start).transpose();
            let cold_start = self.faults.check(format!("{path}.cold_start"), cold_start);
            let (Some(name), Some(cold_start)) = (name, cold_start) else { continue };
            let key = self.snapshot.pools.push(pool::Pool { name, servers, cold_start });
            if self.pool_keys.insert(Arc::clone(&row.name), key).is_some() {
                self.faults.add(path, fault::FaultKind::Duplicate(Arc::clone(&row.name)));
            }
        }
    }

    fn check_servers(
        &mut self,
        path: &str,
        row: &document::PoolDocument,
    ) -> primary::PrimaryMap<pool::ServerKey, pool::BackendServer> {
        let mut addresses = collections::HashSet::new();
        let mut servers = primary::PrimaryMap::new();
        for (index, raw) in row.servers.iter().enumerate() {
            let path = format!("{path}.servers[{index}]");
            if !addresses.insert(Arc::clone(&raw.address)) {
                self.faults
                    .add(path.clone(), fault::FaultKind::Duplicate(Arc::clone(&raw.address)));
            }
            if let Some(server) = self.check_server(&path, raw) {
                servers.push(server);
            }
        }
        servers
    }

    fn check_server(
        &mut self,
        path: &str,
        raw: &document::ServerDocument,
    ) -> Option<pool::BackendServer> {
        let address = raw.address.parse().map_err(|_| fault::FaultKind::Malformed {
            text: Arc::clone(&raw.address),
            expected: "an IP address and port such as 10.0.0.1:8080",
        });
        let address = self.faults.check(format!("{path}.address"), address);
        let domain = name::FailureDomainName::try_from(&raw.failure_domain);
        let domain = self.faults.check(format!("{path}.failure_domain"), domain);
        let slots = fault::check_range(raw.slots, 1, pool::MAX_SLOTS);
        let slots = self.faults.check(format!("{path}.slots"), slots);
        Some(pool::BackendServer {
            address: address?,
            failure_domain: domain?,
            slots: slots?,
            draining: raw.draining,
            registered: None,
        })
    }

    fn add_routes(&mut self, raw: &document::RoutesDocument) {
        for (index, row) in raw.routes.iter().enumerate() {
            let path = format!("routes[{index}]");
            if !self.route_names.insert(Arc::clone(&row.name)) {
                self.faults.add(path.clone(), fault::FaultKind::Duplicate(Arc::clone(&row.name)));
            }
            if let Some(route) = self.check_route(&path, row) {
                self.snapshot.routes.push(route);
            }
        }
        let routes = &self.snapshot.routes;
        self.snapshot.route_order = routes.keys().collect();
        self.snapshot.route_order.sort_by_key(|key| std::cmp::Reverse(routes[*key].specificity()));
    }

    fn check_route(&mut self, path: &str, row: &document::RouteDocument) -> Option<route::Route> {
        let name = self.faults.check(format!("{path}.name"), name::RouteName::try_from(&row.name));
        let prefix = self.faults.check(format!("{path}.path"), check_path(&row.path));
        let pools = self.check_route_pools(path, row);
        let deadline = fault::check_range(row.deadline_ms, 1, MAX_DEADLINE_MS);
        let deadline = self.faults.check(format!("{path}.deadline_ms"), deadline);
        let max_body = fault::check_range(row.max_body_bytes, 0, MAX_BODY_BYTES);
        let max_body = self.faults.check(format!("{path}.max_body_bytes"), max_body);
        let limit = self.faults.check(format!("{path}.rate"), check_route_limit(row));
        let max_attempts = fault::check_range(row.max_attempts, 1, MAX_ATTEMPTS);
        let max_attempts = self.faults.check(format!("{path}.max_attempts"), max_attempts);
        Some(route::Route {
            name: name?,
            host: row.host.as_deref().map(|host| host.to_ascii_lowercase().into()),
            path: prefix?,
            methods: row.methods.iter().map(|method| method.to_ascii_uppercase().into()).collect(),
            pools,
            access: match row.access {
                document::AccessDocument::Keyed => route::RouteAccess::Keyed,
                document::AccessDocument::Open => route::RouteAccess::Open,
            },
            idempotence: match row.idempotent {
                document::IdempotenceDocument::Method => route::RouteIdempotence::Method,
                document::IdempotenceDocument::Always => route::RouteIdempotence::Always,
                document::IdempotenceDocument::Never => route::RouteIdempotence::Never,
            },
            deadline: time::Duration::from_millis(deadline?),
            max_body_bytes: max_body?,
            limit: limit?,
            max_attempts: max_attempts?,
            target: row.target_ms.map(time::Duration::from_millis),
            priority: row.priority,
            sticky: row.sticky,
            regions: row.regions.clone(),
        })
    }

    fn check_route_pools(
        &mut self,
        path: &str,
        row: &document::RouteDocument,
    ) -> route::PoolChoice {
        if row.pools.is_empty() {
            self.faults.add(format!("{path}.pools"), fault::FaultKind::Empty("pool"));
        }
        let mut pools = Vec::new();
        for (index, name) in row.pools.iter().enumerate() {
            let found = find_named(&self.pool_keys, "pools", name);
            pools.extend(self.faults.check(format!("{path}.pools[{index}]"), found));
        }
        if row.weights.is_empty() {
            return route::PoolChoice::Preferred(pools);
        }
        self.faults.check(format!("{path}.weights"), check_weights(row));
        let pools = pools.into_iter().zip(&row.weights);
        let pools = pools.map(|(pool, weight)| route::WeightedPool { pool, weight: *weight });
        route::PoolChoice::Split(pools.collect())
    }

    fn add_teams(&mut self, raw: &document::TeamsDocument) {
        for (index, row) in raw.teams.iter().enumerate() {
            let path = format!("teams[{index}]");
            let name =
                self.faults.check(format!("{path}.name"), name::TeamName::try_from(&row.name));
            let limit = self.faults.check(path.clone(), team::RateLimit::new(row.rate, row.burst));
            let Some(name) = name else { continue };
            // With a placeholder limit the team stays known, so that its keys do not cause
            // further faults.
            let limit = limit.unwrap_or(team::RateLimit::MIN);
            let (priority, regions) = (row.priority, row.regions.clone());
            let key = self.snapshot.teams.push(team::Team { name, limit, priority, regions });
            if self.team_keys.insert(Arc::clone(&row.name), key).is_some() {
                self.faults.add(path, fault::FaultKind::Duplicate(Arc::clone(&row.name)));
            }
        }
    }

    fn add_keys(&mut self, raw: &document::KeysDocument) {
        self.snapshot.key_format = match raw.opaque {
            true => credential::KeyFormat::Opaque,
            false => credential::KeyFormat::Dotted,
        };
        for (index, row) in raw.keys.iter().enumerate() {
            let path = format!("keys[{index}]");
            let Some(credential) = self.check_key(&path, row) else {
                continue;
            };
            let id = credential.id.text();
            if raw.opaque && *id != *credential.hash.opaque_id() {
                self.faults.add(
                    format!("{path}.id"),
                    fault::FaultKind::Malformed {
                        text: Arc::clone(&id),
                        expected: "the first 16 digits of the key's hash, by which an opaque key is found",
                    },
                );
            }
            if self.snapshot.credentials.insert(Arc::clone(&id), credential).is_some() {
                self.faults.add(path, fault::FaultKind::Duplicate(id));
            }
        }
    }

    fn check_key(
        &mut self,
        path: &str,
        row: &document::KeyDocument,
    ) -> Option<credential::Credential> {
        let id = self.faults.check(format!("{path}.id"), name::KeyId::try_from(&row.id));
        let found = find_named(&self.team_keys, "teams", &row.team);
        let team = self.faults.check(format!("{path}.team"), found);
        let hash = credential::KeyHash::try_from(&row.sha256);
        let hash = self.faults.check(format!("{path}.sha256"), hash);
        Some(credential::Credential { id: id?, team: team?, hash: hash? })
    }

    fn finish(self) -> Result<TableSnapshot, fault::FaultList> {
        if self.faults.is_empty() { Ok(self.snapshot) } else { Err(self.faults) }
    }
}

/// Returns the key of a named row, or a fault that says in which `object` the name is missing.
pub(crate) fn find_named<K: Copy>(
    keys: &collections::HashMap<Arc<str>, K>,
    object: &'static str,
    name: &Arc<str>,
) -> Result<K, fault::FaultKind> {
    let found = keys.get(name).copied();
    found.ok_or_else(|| fault::FaultKind::Unknown { object, name: Arc::clone(name) })
}

fn check_path(path: &Arc<str>) -> Result<Arc<str>, fault::FaultKind> {
    if path.starts_with('/') && !path.contains(['?', '#', ' ']) {
        return Ok(Arc::clone(path));
    }
    Err(fault::FaultKind::Malformed {
        text: Arc::clone(path),
        expected: "a path prefix that starts with `/` and has no query",
    })
}

/// Checks that there is one weight per pool and at least one is above zero.
fn check_weights(row: &document::RouteDocument) -> Result<(), fault::FaultKind> {
    if row.weights.len() != row.pools.len() {
        return Err(fault::FaultKind::Malformed {
            text: format!("{} weights for {} pools", row.weights.len(), row.pools.len()).into(),
            expected: "one weight for each pool, or none",
        });
    }
    row.weights
        .iter()
        .try_for_each(|weight| fault::check_range(*weight, 0, MAX_WEIGHT).map(drop))?;
    fault::check_range(row.weights.iter().copied().max().unwrap_or(0), 1, MAX_WEIGHT).map(drop)
}

fn check_cold_start(row: document::ColdStartDocument) -> Result<pool::ColdStart, fault::FaultKind> {
    let duration_ms = fault::check_range(row.duration_ms, 0, MAX_COLD_MS)?;
    let rate = fault::check_range(row.rate, MIN_COLD_RATE, MAX_COLD_RATE)?;
    let duration = time::Duration::from_millis(duration_ms);
    Ok(pool::ColdStart { duration, rate_milli: (rate * 1_000.0) as u32 })
}

fn check_route_limit(
    row: &document::RouteDocument,
) -> Result<Option<team::RateLimit>, fault::FaultKind> {
    match (row.rate, row.burst) {
        (Some(rate), Some(burst)) => team::RateLimit::new(rate, burst).map(Some),
        (None, None) => Ok(None),
        (Some(_), None) => Err(fault::FaultKind::Incomplete { present: "rate", missing: "burst" }),
        (None, Some(_)) => Err(fault::FaultKind::Incomplete { present: "burst", missing: "rate" }),
    }
}
