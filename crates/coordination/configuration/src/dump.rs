//! State of the configuration keeper, as shown to operators.

use marjoramwing_objects::position;
use marjoramwing_tables::snapshot;
use marjoramwing_tables::version;

use crate::candidate;
use crate::trust;

/// State of the configuration keeper.
#[derive(Debug, Clone, serde::Serialize)]
pub struct ConfigurationDump {
    /// Applied versions.
    pub applied: snapshot::TableVersions,
    /// Newest versions that have been read, valid or not.
    pub newest: snapshot::TableVersions,
    /// Whether this instance watches the store.
    pub watcher: bool,
    /// Position of the store up to which this instance knows all changes.
    #[serde(flatten)]
    pub position: position::StorePosition,
    /// Milliseconds since the newest versions were last confirmed against the store; `None` if they
    /// never were.
    pub age_ms: Option<u64>,
    /// Milliseconds since this instance's calls to the store began to fail; `None` if the last one
    /// succeeded.
    pub failing_ms: Option<u64>,
    /// Whether the keys are trusted, and why.
    pub keys: trust::KeyTrust,
    /// Objects whose newest version is not applied.
    pub held: Vec<HeldObject>,
    /// Faults in the applied tables that are confined to their rows.
    pub confined: Vec<String>,
}

/// An object whose newest version is not applied.
#[derive(Debug, Clone, serde::Serialize)]
pub struct HeldObject {
    /// The table object.
    pub object: candidate::TableObject,
    /// Its newest version; 0 if the store's value states none that can be read.
    #[serde(serialize_with = "version::serialize")]
    pub version: u128,
    /// Why that version is not applied.
    pub faults: Vec<String>,
}
