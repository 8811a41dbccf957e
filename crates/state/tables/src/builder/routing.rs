//! Checks pools and routes.

use std::collections;
use std::sync::Arc;
use std::time;

use marjoramwing_entity::primary;

use crate::builder;
use crate::document;
use crate::fault;
use crate::name;
use crate::pool;
use crate::route;
use crate::team;

const MAX_DEADLINE_MS: u64 = 600_000;
const MAX_BODY_BYTES: u64 = 1 << 30;
const MAX_ATTEMPTS: u32 = 16;
const MAX_COLD_MS: u64 = 3_600_000;
const MIN_COLD_RATE: f64 = 0.001;
const MAX_COLD_RATE: f64 = 1_000_000.0;

impl builder::SnapshotBuilder {
    pub(super) fn add_pools(&mut self, raw: &document::PoolsDocument) {
        for (index, row) in raw.pools.iter().enumerate() {
            let path = format!("pools[{index}]");
            let name = self.check_name(format!("{path}.name"), &row.name, name::PoolName::of_text);
            let servers = self.check_servers(&path, row);
            let cold_start = self.check_cold_start(&path, row.cold_start);
            let (Some(name), Some(cold_start)) = (name, cold_start) else { continue };
            if self.pool_keys.contains_key(&row.name) {
                self.faults.add(path, fault::FaultKind::Duplicate(Arc::clone(&row.name)));
                continue;
            }
            let key = self.snapshot.pools.push(pool::Pool { name, servers, cold_start });
            self.pool_keys.insert(Arc::clone(&row.name), key);
        }
    }

    /// Checks the limit of a pool's cold servers; a confined one that is not positive is none.
    fn check_cold_start(
        &mut self,
        path: &str,
        row: Option<document::ColdStartDocument>,
    ) -> Option<Option<pool::ColdStart>> {
        let Some(row) = row else { return Some(None) };
        let path = format!("{path}.cold_start");
        let duration_ms = self.check_number(path.clone(), row.duration_ms, 0, MAX_COLD_MS)?;
        let rate = self.check_number(path, row.rate, MIN_COLD_RATE, MAX_COLD_RATE)?;
        let duration = time::Duration::from_millis(duration_ms);
        let cold_start = pool::ColdStart { duration, rate_milli: (rate * 1_000.0) as u32 };
        Some((row.rate > 0.0).then_some(cold_start))
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

    pub(super) fn add_routes(&mut self, raw: &document::RoutesDocument) {
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
        let name = self.check_name(format!("{path}.name"), &row.name, name::RouteName::of_text);
        let prefix = check_path(&row.path, self.handling);
        let prefix = self.faults.check(format!("{path}.path"), prefix);
        let pools = self.check_route_pools(path, row);
        let deadline_path = format!("{path}.deadline_ms");
        let deadline = self.check_number(deadline_path, row.deadline_ms, 1, MAX_DEADLINE_MS);
        let max_body_path = format!("{path}.max_body_bytes");
        let max_body = self.check_number(max_body_path, row.max_body_bytes, 0, MAX_BODY_BYTES);
        let limit = self.faults.check(format!("{path}.rate"), check_route_limit(row));
        let limit = limit.or_else(|| self.is_confining().then_some(Some(team::RateLimit::MIN)));
        let attempts_path = format!("{path}.max_attempts");
        let max_attempts = self.check_number(attempts_path, row.max_attempts, 1, MAX_ATTEMPTS);
        Some(route::Route {
            name: name?,
            host: row.host.as_deref().map(|host| host.to_ascii_lowercase().into()),
            path: prefix?,
            methods: row.methods.iter().map(|method| method.to_ascii_uppercase().into()).collect(),
            pools,
            access: match row.access {
                document::AccessDocument::Keyed if !self.is_keyless => route::RouteAccess::Keyed,
                document::AccessDocument::Keyed | document::AccessDocument::Open => {
                    route::RouteAccess::Open
                }
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

    /// Returns the pools of a route; none, so that its requests are refused, if faults are confined
    /// and the row states no usable ones.
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
            let found = self.find_pool(name);
            pools.extend(self.faults.check(format!("{path}.pools[{index}]"), found));
        }
        if row.weights.is_empty() {
            return route::PoolChoice::Preferred(pools);
        }
        let checked = check_weights(row);
        let weights = match checked {
            Ok(()) => row.weights.clone(),
            Err(_) => scale_weights(row),
        };
        self.faults.check(format!("{path}.weights"), checked);
        if weights.is_empty() {
            return route::PoolChoice::Preferred(Vec::new());
        }
        let pools = pools.into_iter().zip(weights);
        let pools = pools.map(|(pool, weight)| route::WeightedPool { pool, weight });
        route::PoolChoice::Split(pools.collect())
    }

    /// Returns the pool of this name. If faults are confined, one that no row defines is empty.
    fn find_pool(&mut self, name: &Arc<str>) -> Result<pool::PoolKey, fault::FaultKind> {
        let found = builder::find_named(&self.pool_keys, "pools", name);
        if found.is_ok() || !self.is_confining() {
            return found;
        }
        let servers = primary::PrimaryMap::new();
        let pool = pool::Pool { name: name::PoolName::of_text(name), servers, cold_start: None };
        let key = self.snapshot.pools.push(pool);
        self.pool_keys.insert(Arc::clone(name), key);
        Ok(key)
    }
}

/// Checks a path prefix. If faults are confined, one that no path begins with is kept.
fn check_path(
    path: &Arc<str>,
    handling: fault::FaultHandling,
) -> Result<Arc<str>, fault::FaultKind> {
    let is_confined = handling == fault::FaultHandling::Confine;
    if path.starts_with('/') && (is_confined || !path.contains(['?', '#', ' '])) {
        return Ok(Arc::clone(path));
    }
    Err(fault::FaultKind::Malformed {
        text: path.escape_debug().to_string().into(),
        expected: "a path prefix that starts with `/` and has no query",
    })
}

/// Returns valid weights with the ratio of a route's, or none if there are no such weights.
fn scale_weights(row: &document::RouteDocument) -> Vec<u32> {
    let largest = row.weights.iter().copied().max().unwrap_or(0);
    if row.weights.len() != row.pools.len() || largest == 0 {
        return Vec::new();
    }
    let scale = |weight: u32| {
        let scaled = u64::from(weight) * u64::from(document::MAX_WEIGHT) / u64::from(largest);
        u32::try_from(scaled).unwrap_or(document::MAX_WEIGHT).max(weight.min(1))
    };
    row.weights.iter().map(|weight| scale(*weight)).collect()
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
        .try_for_each(|weight| fault::check_range(*weight, 0, document::MAX_WEIGHT).map(drop))?;
    fault::check_range(row.weights.iter().copied().max().unwrap_or(0), 1, document::MAX_WEIGHT)
        .map(drop)
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
