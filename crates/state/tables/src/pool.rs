//! Validated pools of backend servers.

use std::net;
use std::sync::Arc;
use std::time;

use marjoramwing_derives as derives;
use marjoramwing_entity::entity_key;
use marjoramwing_entity::primary;

use crate::name;

/// Largest valid value of [`BackendServer::slots`].
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
    /// Rate limit of a cold server; `None` if there is none.
    pub cold_start: Option<ColdStart>,
}

/// Rate limit of a backend server while it is cold, that is, shortly after its start.
#[derives::value]
pub struct ColdStart {
    /// Time for which a server is cold after its start.
    pub duration: time::Duration,
    /// Rate limit over all instances, in thousandths of a request per second.
    pub rate_milli: u32,
}

/// A backend server of a pool.
#[derives::record]
pub struct BackendServer {
    /// Address at which the server listens.
    pub address: net::SocketAddr,
    /// Failure domain in which the server runs.
    pub failure_domain: name::FailureDomainName,
    /// Maximum number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server is being drained and accepts no new requests.
    pub draining: bool,
    /// Identity of the server, if it registered itself.
    pub registered: Option<ServerIdentity>,
}

/// One incarnation of a backend server that registered itself.
#[derives::record]
pub struct ServerIdentity {
    /// Identifier under which the server registered.
    pub id: Arc<str>,
    /// Start of this incarnation in Unix milliseconds; 0 if the server did not report it.
    pub started_ms: u64,
    /// Time for which the server reported that it stays cold, counted from the report.
    pub cold_for: time::Duration,
}
