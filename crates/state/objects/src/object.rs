//! Names and versions of objects.

use std::sync::Arc;

use marjoramwing_derives as derives;

/// Kinds of object in the store.
#[derives::value]
#[derive(derive_more::Display, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ObjectKind {
    /// Configuration: `routes`, `pools`, `teams`, `keys` and `steering`.
    #[display("tables")]
    Tables,
    /// Faults of rejected configuration objects.
    #[display("status")]
    Status,
    /// Holders of fleet-wide limits and their leases.
    #[display("ledger")]
    Ledger,
    /// Claims of idempotency keys, which prevent a repeated request from running twice.
    #[display("claims")]
    Claims,
    /// Registrations of backend servers.
    #[display("servers")]
    Servers,
    /// Failure domains that are being drained.
    #[display("drains")]
    Drains,
    /// Registrations of instances.
    #[display("instances")]
    Instances,
    /// Requests that end the backend servers that run them.
    #[display("quarantine")]
    Quarantine,
}

impl ObjectKind {
    /// All kinds, in declaration order.
    pub const ALL: [Self; 8] = [
        Self::Tables,
        Self::Status,
        Self::Ledger,
        Self::Claims,
        Self::Servers,
        Self::Drains,
        Self::Instances,
        Self::Quarantine,
    ];
}

/// Name of an object within its kind.
#[derives::name]
#[derive(derive_more::Display, serde::Serialize, serde::Deserialize)]
#[display("{kind}/{name}")]
pub struct ObjectName {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name within the kind.
    pub name: Arc<str>,
}

impl ObjectName {
    /// Creates the name of an object.
    #[must_use]
    pub fn new(kind: ObjectKind, name: &str) -> Self {
        Self { kind, name: name.into() }
    }
}

/// Version of an object; every change increases it.
///
/// Versions of different objects are comparable only in the platform dialect, which takes them
/// from one counter.
#[derives::value]
#[derive(Default, derive_more::Display, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct ObjectVersion(pub u128);

impl ObjectVersion {
    /// Returns the version as a revision of the store, which has 64 bits.
    ///
    /// Only versions of tables in the platform dialect are no revisions; those are never written.
    #[must_use]
    pub fn revision(self) -> u64 {
        u64::try_from(self.0).unwrap_or(u64::MAX)
    }
}

impl From<u64> for ObjectVersion {
    fn from(revision: u64) -> Self {
        Self(revision.into())
    }
}
