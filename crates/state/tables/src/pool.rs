//! Checked pools of backend servers.

use std::net;
use std::sync::Arc;
use std::time;

use marjoramwing_derives as derives;
use marjoramwing_entity::entity_key;
use marjoramwing_entity::primary;

use crate::name;

/// Most requests that one server may run at once.
pub const MAX_SLOTS: u32 = 100_000;

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
    /// Requests per second that a cold server takes from all instances together.
    pub cold_start: Option<ColdStart>,
}

/// What a backend server bears while it is cold.
#[derives::value]
pub struct ColdStart {
    /// Time for which a server is cold after its start.
    pub duration: time::Duration,
    /// Thousandths of a request per second, from all instances together.
    pub rate_milli: u32,
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
    /// Who the server is, if it registered itself.
    pub registered: Option<ServerIdentity>,
}

/// One run of a backend server that registered itself.
#[derives::record]
pub struct ServerIdentity {
    /// Identifier under which the server registered.
    pub id: Arc<str>,
    /// Unix milliseconds of the start of this run; 0 if it told none.
    pub started_ms: u64,
    /// Time for which the server said that it stays cold, from its report on.
    pub cold_for: time::Duration,
}
