//! Registrations of backend servers in the object API.

use std::net;
use std::sync::Arc;
use std::time;

use marjoramwing_derives as derives;

use crate::fault;
use crate::name;
use crate::pool;

/// The raw registration of one backend server in the object API.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct RegistrationDocument {
    /// Pool to which the server belongs.
    pub pool: Arc<str>,
    /// IP address and port.
    pub address: Arc<str>,
    /// Failure domain in which the server runs.
    pub failure_domain: Arc<str>,
    /// Maximum number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server accepts new requests.
    pub state: RegisteredState,
    /// Time for which the server stays cold, counted from this report, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
    /// Unix milliseconds of the start of the server's process; 0 if unknown.
    #[serde(default)]
    pub started_ms: u64,
    /// Number of the process's heartbeat that wrote this entry; `None` if unknown.
    #[serde(default)]
    pub sequence: Option<u64>,
}

/// Whether a registered server accepts new requests.
#[derives::document]
#[derive(Copy, Eq)]
#[serde(rename_all = "lowercase")]
pub enum RegisteredState {
    /// Accepts new requests.
    Ready,
    /// Finishes open requests and accepts no new ones.
    Draining,
}

/// A validated registration.
#[derives::record]
pub struct ServerRegistration {
    /// Pool to which the server belongs.
    pub pool: name::PoolName,
    /// Address at which the server listens.
    pub address: net::SocketAddr,
    /// Failure domain in which the server runs.
    pub failure_domain: name::FailureDomainName,
    /// Maximum number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server is being drained and accepts no new requests.
    pub draining: bool,
    /// Incarnation of the server that registered.
    pub identity: pool::ServerIdentity,
    /// Number of the incarnation's heartbeat that wrote this entry; `None` if unknown.
    pub sequence: Option<u64>,
}

impl ServerRegistration {
    /// Validates the registration that is stored under an identifier.
    ///
    /// # Errors
    ///
    /// Returns the first fault; the server of a faulty registration must not be used.
    pub fn check(id: &Arc<str>, raw: &RegistrationDocument) -> Result<Self, fault::FaultKind> {
        let address: Option<net::SocketAddr> = raw.address.parse().ok();
        let address = address.filter(|address| address.port() != 0);
        let address = address.ok_or_else(|| fault::FaultKind::Malformed {
            text: Arc::clone(&raw.address),
            expected: "an IP address and port such as 10.0.0.1:8080",
        })?;
        Ok(Self {
            pool: name::PoolName::of_text(&raw.pool),
            address,
            failure_domain: name::FailureDomainName::try_from(&raw.failure_domain)?,
            slots: fault::check_range(raw.slots, 1, pool::MAX_SLOTS)?,
            draining: raw.state == RegisteredState::Draining,
            identity: pool::ServerIdentity {
                id: Arc::clone(id),
                started_ms: raw.started_ms,
                cold_for: time::Duration::from_millis(raw.cold_ms),
            },
            sequence: raw.sequence,
        })
    }

    /// Returns true if the registrations differ in no more than the number of the heartbeat.
    #[must_use]
    pub fn has_same_content(&self, other: &Self) -> bool {
        self.pool == other.pool && self.to_server() == other.to_server()
    }

    /// Returns the entry of the server in its pool.
    #[must_use]
    pub fn to_server(&self) -> pool::BackendServer {
        pool::BackendServer {
            address: self.address,
            failure_domain: self.failure_domain.clone(),
            slots: self.slots,
            draining: self.draining,
            registered: Some(self.identity.clone()),
        }
    }
}
