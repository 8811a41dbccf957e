//! Names and versions of objects.

use std::sync::Arc;

use marjoramwing_derives as derives;

/// Kinds of object that the system keeps.
#[derives::value]
#[derive(derive_more::Display, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ObjectKind {
    /// Configuration: `routes`, `pools`, `teams`, `keys` and `steering`.
    #[display("tables")]
    Tables,
    /// Faults of configuration objects that were not accepted.
    #[display("status")]
    Status,
    /// First holders and holder leases of fleet-wide limits.
    #[display("ledger")]
    Ledger,
    /// Claims of idempotency keys.
    #[display("claims")]
    Claims,
    /// Backend servers that register themselves.
    #[display("servers")]
    Servers,
    /// Failure domains that are drained.
    #[display("drains")]
    Drains,
    /// Instances of the system.
    #[display("instances")]
    Instances,
}

impl ObjectKind {
    /// All kinds.
    pub const ALL: [Self; 7] = [
        Self::Tables,
        Self::Status,
        Self::Ledger,
        Self::Claims,
        Self::Servers,
        Self::Drains,
        Self::Instances,
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
    /// Names an object.
    #[must_use]
    pub fn new(kind: ObjectKind, name: &str) -> Self {
        Self { kind, name: name.into() }
    }
}

/// Version of an object; each change raises it.
#[derives::value]
#[derive(Default, derive_more::Display, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct ObjectVersion(pub u64);
