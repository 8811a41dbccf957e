//! The keeper's state for operators.

use marjoramwing_tables::snapshot;

use crate::candidate;
use crate::trust;

/// What the keeper knows and does.
#[derive(Debug, Clone, serde::Serialize)]
pub struct ConfigurationDump {
    /// Versions in force.
    pub applied: snapshot::TableVersions,
    /// Newest versions that were read.
    pub newest: snapshot::TableVersions,
    /// Whether this instance watches the store.
    pub watcher: bool,
    /// Revision of the store up to which changes are known.
    pub revision: u64,
    /// Milliseconds since the store confirmed the newest versions.
    pub age_ms: Option<u64>,
    /// Milliseconds for which the own calls to the store have failed.
    pub failing_ms: Option<u64>,
    /// Whether the keys are believed, and why.
    pub keys: trust::KeyTrust,
    /// Objects whose newest version is not in force.
    pub held: Vec<HeldObject>,
}

/// An object whose newest version is not in force.
#[derive(Debug, Clone, serde::Serialize)]
pub struct HeldObject {
    /// The object.
    pub object: candidate::TableObject,
    /// Its newest version.
    pub version: u64,
    /// Why it is not in force.
    pub faults: Vec<String>,
}
