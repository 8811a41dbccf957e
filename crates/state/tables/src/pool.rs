//! Checked pools of backend servers.

use std::net;

use marjoramwing_derives as derives;
use marjoramwing_entity::entity_key;
use marjoramwing_entity::primary;

use crate::name;

entity_key! {
    /// Key of a pool.
    pub struct PoolKey, "pool"
}

entity_key! {
    /// Key of a backend server within its pool.
    pub struct ServerKey, "server"
}

/// A pool of backend servers.
#[derives::record]
pub struct Pool {
    /// Name of the pool.
    pub name: name::PoolName,
    /// Backend servers of the pool.
    pub servers: primary::PrimaryMap<ServerKey, BackendServer>,
}

/// A backend server of a pool.
#[derives::record]
pub struct BackendServer {
    /// Address at which the server answers.
    pub address: net::SocketAddr,
    /// Failure domain in which the server runs.
    pub failure_domain: name::DomainName,
    /// Requests that the server runs at once.
    pub slots: u32,
    /// Whether the server takes no new request.
    pub draining: bool,
}
