//! Checked routes and the choice of the one that serves a request.

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
    /// Host that the request must name, in lower case.
    pub host: Option<Arc<str>>,
    /// Path prefix, matched by whole segments.
    pub path: Arc<str>,
    /// Methods that the route serves; all when empty.
    pub methods: Vec<Arc<str>>,
    /// Pools that serve the route.
    pub pools: PoolChoice,
    /// Who may use the route.
    pub access: RouteAccess,
    /// Which requests may be run again.
    pub idempotence: RouteIdempotence,
    /// Longest time from the request's arrival to its answer.
    pub deadline: time::Duration,
    /// Largest request body in bytes.
    pub max_body_bytes: u64,
    /// Limit over all teams and instances.
    pub limit: Option<team::RateLimit>,
    /// Backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// Time within which an answer is worth most.
    pub target: Option<time::Duration>,
    /// Rank among the routes of a pool; 0 goes first.
    pub priority: u32,
    /// Whether requests of one session are to reach the same backend server.
    pub sticky: bool,
    /// Regions in which requests may be served; all when empty.
    pub regions: Vec<Arc<str>>,
}

/// How a route chooses among its pools.
#[derives::record]
pub enum PoolChoice {
    /// The first that can serve, in order of preference.
    Preferred(Vec<pool::PoolKey>),
    /// One by its part of the traffic; it alone serves the request.
    Split(Vec<PoolPart>),
}

/// A pool's part of a route's traffic.
#[derives::value]
pub struct PoolPart {
    /// Pool that serves the part.
    pub pool: pool::PoolKey,
    /// Part of the traffic, relative to the other parts.
    pub weight: u32,
}

impl PoolChoice {
    /// Returns the pools that may serve one request, in order of preference.
    ///
    /// The same seed gives the same part of a split.
    #[must_use]
    pub fn choose(&self, seed: u64) -> &[pool::PoolKey] {
        match self {
            Self::Preferred(pools) => pools,
            Self::Split(parts) => std::slice::from_ref(&choose_part(parts, seed).pool),
        }
    }
}

/// Chooses a part by its weight; a split has a part of a weight above zero.
fn choose_part(parts: &[PoolPart], seed: u64) -> &PoolPart {
    let total: u64 = parts.iter().map(|part| u64::from(part.weight)).sum();
    let mut left = seed % total.max(1);
    for part in parts {
        if left < u64::from(part.weight) {
            return part;
        }
        left -= u64::from(part.weight);
    }
    &parts[0]
}

/// Who may use a route.
#[derives::value]
pub enum RouteAccess {
    /// Only a team whose key comes with the request.
    Keyed,
    /// Everyone.
    Open,
}

/// Which requests of a route may be run again.
#[derives::value]
pub enum RouteIdempotence {
    /// As the method says.
    Method,
    /// Every request.
    Always,
    /// No request.
    Never,
}

impl Route {
    /// Tells whether a request of this method may be run again.
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

    /// Tells whether the route serves a request's host, path and method.
    #[must_use]
    pub fn serves(&self, request: &RouteQuery<'_>) -> bool {
        let host_matches = self.host.as_deref().is_none_or(|host| host == request.host);
        let method_matches = self.methods.is_empty()
            || self.methods.iter().any(|method| **method == *request.method);
        host_matches && method_matches && is_path_prefix(&self.path, request.path)
    }

    /// Orders routes by how closely they match: host first, then path length.
    #[must_use]
    pub fn specificity(&self) -> RouteSpecificity {
        RouteSpecificity {
            names_host: self.host.is_some(),
            path_bytes: self.path.trim_end_matches('/').len(),
            names_methods: !self.methods.is_empty(),
        }
    }
}

/// The parts of a request that choose its route.
#[derive(Debug, Clone, Copy)]
pub struct RouteQuery<'a> {
    /// Host in lower case, without a port.
    pub host: &'a str,
    /// Path without a query.
    pub path: &'a str,
    /// Method in upper case.
    pub method: &'a str,
}

/// How closely a route matches; greater is closer.
#[derives::value]
pub struct RouteSpecificity {
    names_host: bool,
    path_bytes: usize,
    names_methods: bool,
}

fn is_path_prefix(prefix: &str, path: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest.starts_with('/'),
        None => false,
    }
}
