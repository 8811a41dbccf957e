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
    /// Pools in order of preference.
    pub pools: Vec<pool::PoolKey>,
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
