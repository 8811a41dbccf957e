//! Validated routes and the matching of requests to them.

use std::sync::Arc;
use std::time;

use marjoramwing_derives as derives;
use marjoramwing_entity::entity_key;

use crate::name;
use crate::pool;
use crate::team;

entity_key! {
    /// Key of a route.
    pub struct RouteKey, "route"
}

/// A rule that sends matching requests to pools.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: name::RouteName,
    /// Host of the requests that the route matches, in lower case; any host if `None`.
    pub host: Option<Arc<str>>,
    /// Path prefix, matched by whole segments. One that ends with a slash matches only paths below it.
    pub path: Arc<str>,
    /// Methods that the route serves, in upper case; all if empty.
    pub methods: Vec<Arc<str>>,
    /// Pools that serve the route, and how one is chosen.
    pub pools: PoolChoice,
    /// Who may use the route.
    pub access: RouteAccess,
    /// Which requests are idempotent and may be retried.
    pub idempotence: RouteIdempotence,
    /// Maximum time from the request's arrival to its response.
    pub deadline: time::Duration,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: u64,
    /// Rate limit over all teams and instances, if any.
    pub limit: Option<team::RateLimit>,
    /// Maximum number of attempts at one request, not counting shed ones.
    pub max_attempts: u32,
    /// Target latency of a response, if any.
    pub target: Option<time::Duration>,
    /// Priority among the routes of a pool, 0 being the highest; ignored by scheduling.
    pub priority: u32,
    /// Whether requests of one session prefer the same backend server.
    pub sticky: bool,
    /// Regions in which requests may be served; all if empty.
    pub regions: Vec<Arc<str>>,
}

/// How a route chooses among its pools.
#[derives::record]
pub enum PoolChoice {
    /// The first pool that can serve the request, in order of preference.
    Preferred(Vec<pool::PoolKey>),
    /// One pool chosen by weight; the request does not fall back to the others.
    Split(Vec<WeightedPool>),
}

/// A pool and its weight in the traffic split of a route.
#[derives::value]
pub struct WeightedPool {
    /// Pool that may be chosen.
    pub pool: pool::PoolKey,
    /// Weight relative to those of the other pools; 0 if the pool gets no traffic.
    pub weight: u32,
}

impl PoolChoice {
    /// Returns the pools that may serve one request, in order of preference.
    ///
    /// For a split, the seed determines the pool: the same seed gives the same pool.
    #[must_use]
    pub fn choose(&self, seed: u64) -> &[pool::PoolKey] {
        match self {
            Self::Preferred(pools) => pools,
            Self::Split(pools) => std::slice::from_ref(&choose_weighted_pool(pools, seed).pool),
        }
    }
}

/// Chooses a pool by weight; validation ensures that at least one weight is above zero.
fn choose_weighted_pool(pools: &[WeightedPool], seed: u64) -> &WeightedPool {
    let total: u64 = pools.iter().map(|pool| u64::from(pool.weight)).sum();
    let mut offset = seed % total.max(1);
    for pool in pools {
        if offset < u64::from(pool.weight) {
            return pool;
        }
        offset -= u64::from(pool.weight);
    }
    &pools[0]
}

/// Who may use a route.
#[derives::value]
pub enum RouteAccess {
    /// Only teams; the request must carry a valid team key.
    Keyed,
    /// Everyone; no key is needed.
    Open,
}

/// Which requests of a route are idempotent and may be retried.
#[derives::value]
pub enum RouteIdempotence {
    /// Requests with an idempotent method (RFC 9110, section 9.2.2).
    Method,
    /// Every request.
    Always,
    /// No request.
    Never,
}

impl Route {
    /// Returns true if a request with this method is idempotent and may be retried.
    #[must_use]
    pub fn is_idempotent(&self, method: &str) -> bool {
        match self.idempotence {
            RouteIdempotence::Always => true,
            RouteIdempotence::Never => false,
            RouteIdempotence::Method => {
                matches!(method, "GET" | "HEAD" | "OPTIONS" | "TRACE" | "PUT" | "DELETE")
            }
        }
    }

    /// Returns true if the route matches a request's host, path and method.
    #[must_use]
    pub fn matches(&self, query: &RouteQuery<'_>) -> bool {
        let host_matches = self.host.as_deref().is_none_or(|host| host == query.host);
        let method_matches =
            self.methods.is_empty() || self.methods.iter().any(|method| **method == *query.method);
        host_matches && method_matches && is_path_prefix(&self.path, query.path)
    }

    /// Returns the specificity: whether a host is named, then path length, then whether
    /// methods are named.
    #[must_use]
    pub fn specificity(&self) -> RouteSpecificity {
        RouteSpecificity {
            names_host: self.host.is_some(),
            path_bytes: self.path.len(),
            names_methods: !self.methods.is_empty(),
        }
    }
}

/// The parts of a request that determine its route.
#[derive(Debug, Clone, Copy)]
pub struct RouteQuery<'a> {
    /// Host in lower case, without a port.
    pub host: &'a str,
    /// Path without a query.
    pub path: &'a str,
    /// Method in upper case.
    pub method: &'a str,
}

/// How specific a route is; of the routes that match, the greatest serves the request.
///
/// The fields are compared in the order of their declaration.
#[derives::value]
pub struct RouteSpecificity {
    names_host: bool,
    path_bytes: usize,
    names_methods: bool,
}

fn is_path_prefix(prefix: &str, path: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some(rest) => prefix.ends_with('/') || rest.is_empty() || rest.starts_with('/'),
        None => false,
    }
}
