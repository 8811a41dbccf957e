//! Backend servers that register themselves in the object API.

use std::net;
use std::sync::Arc;
use std::time;

use marjoramwing_derives as derives;

use crate::fault;
use crate::name;
use crate::pool;

/// One server's registration, as the object API holds it.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct RegistrationDocument {
    /// Pool that the server serves.
    pub pool: Arc<str>,
    /// IP address and port.
    pub address: Arc<str>,
    /// Failure domain in which the server runs.
    pub failure_domain: Arc<str>,
    /// Requests that the server runs at once.
    pub slots: u32,
    /// Whether the server takes new work.
    pub state: RegisteredState,
    /// Time for which the server stays cold, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
    /// Unix milliseconds of the start of the server's process; 0 if unknown.
    #[serde(default)]
    pub started_ms: u64,
}

/// Whether a registered server takes new work.
#[derives::document]
#[derive(Copy, Eq)]
#[serde(rename_all = "lowercase")]
pub enum RegisteredState {
    /// Takes new work.
    Ready,
    /// Finishes its work and takes no more.
    Draining,
}

/// A checked registration.
#[derives::record]
pub struct ServerRegistration {
    /// Pool that the server serves.
    pub pool: name::PoolName,
    /// Address at which the server answers.
    pub address: net::SocketAddr,
    /// Failure domain in which the server runs.
    pub failure_domain: name::DomainName,
    /// Requests that the server runs at once.
    pub slots: u32,
    /// Whether the server takes no new request.
    pub draining: bool,
    /// One run of the server.
    pub identity: pool::ServerIdentity,
}

impl ServerRegistration {
    /// Checks the registration under an identifier.
    ///
    /// # Errors
    ///
    /// Returns the first fault; a faulty registration names no server to use.
    pub fn check(id: &Arc<str>, raw: &RegistrationDocument) -> Result<Self, fault::FaultKind> {
        let address = raw.address.parse().map_err(|_| fault::FaultKind::Form {
            text: Arc::clone(&raw.address),
            expected: "an IP address and port such as 10.0.0.1:8080",
        })?;
        Ok(Self {
            pool: name::PoolName::try_from(&raw.pool)?,
            address,
            failure_domain: name::DomainName::try_from(&raw.failure_domain)?,
            slots: fault::check_range(raw.slots, 1, pool::MAX_SLOTS)?,
            draining: raw.state == RegisteredState::Draining,
            identity: pool::ServerIdentity {
                id: Arc::clone(id),
                started_ms: raw.started_ms,
                cold_for: time::Duration::from_millis(raw.cold_ms),
            },
        })
    }

    /// Returns the server as one of its pool.
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
