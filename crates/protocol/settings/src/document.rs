//! The raw TOML document of an instance's settings.
//!
//! Unknown keys are rejected, so that a misspelt key is not silently ignored.

use std::collections;
use std::path;
use std::sync::Arc;

use marjoramwing_derives as derives;

/// Root of the settings document.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct SettingsDocument {
    /// Identity of this instance.
    pub instance: InstanceDocument,
    /// Addresses that the instance listens on.
    pub listen: ListenDocument,
    /// Connection to the platform's object API.
    pub store: StoreDocument,
    /// Sources of the shared secrets.
    pub secrets: SecretsDocument,
    /// Limits of the caller port.
    #[serde(default)]
    pub callers: CallersDocument,
    /// Timing of a planned stop.
    #[serde(default)]
    pub stop: StopDocument,
    /// Optimization goal of the deployment.
    #[serde(default)]
    pub objective: ObjectiveDocument,
    /// When keys are trusted while the object API cannot be reached.
    #[serde(default)]
    pub keys: KeysDocument,
    /// Addresses of other instances.
    #[serde(default)]
    pub peers: PeersDocument,
    /// Region of each failure domain.
    #[serde(default)]
    pub topology: TopologyDocument,
    /// Bounds that hold over all instances together.
    #[serde(default)]
    pub bounds: BoundsDocument,
    /// Resources of the process.
    #[serde(default)]
    pub process: ProcessDocument,
}

/// The `[instance]` table.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct InstanceDocument {
    /// Unique name of the instance.
    pub name: Arc<str>,
    /// Site of the instance.
    pub site: Arc<str>,
    /// Region of the instance.
    pub region: Arc<str>,
    /// Failure domain of the instance.
    pub failure_domain: Arc<str>,
    /// Interfaces towards callers, backend servers and the object API.
    #[serde(default)]
    pub dialect: DialectDocument,
}

/// Interfaces towards callers, backend servers and the object API.
#[derives::document]
#[derive(Default, Copy)]
#[serde(rename_all = "lowercase")]
pub enum DialectDocument {
    /// This project's own interfaces.
    #[default]
    Native,
    /// The interfaces of the users' platform.
    Platform,
}

/// The `[listen]` table: IP addresses and ports.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct ListenDocument {
    /// Port for callers.
    pub callers: Arc<str>,
    /// Port for other instances.
    pub peers: Arc<str>,
    /// Port for operators.
    pub admin: Arc<str>,
    /// Optional separate port for lookups of the instances that a caller should use.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub directory: Option<Arc<str>>,
    /// Optional port for the platform's readiness check.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub readiness: Option<Arc<str>>,
}

/// The `[store]` table.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct StoreDocument {
    /// IP address and port of the object API.
    pub address: Arc<str>,
    /// Timeout of one call, in milliseconds.
    #[serde(default = "default_store_timeout_ms")]
    pub timeout_ms: u64,
}

/// The `[secrets]` table: for each secret a file or an environment variable.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct SecretsDocument {
    /// File with the deployment's peer secret.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_file: Option<path::PathBuf>,
    /// Environment variable with the deployment's peer secret.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_env: Option<Arc<str>>,
    /// File with the operators' secret.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub admin_file: Option<path::PathBuf>,
    /// Environment variable with the operators' secret.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub admin_env: Option<Arc<str>>,
}

/// The `[callers]` table.
#[derives::document]
#[serde(default, deny_unknown_fields)]
pub struct CallersDocument {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: u64,
    /// Timeout for a request's head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Idle timeout of a request body, in milliseconds.
    pub body_pause_ms: u64,
    /// Maximum open connections of callers.
    pub max_connections: u64,
    /// Maximum open requests of one HTTP/1.1 connection; 1 disables pipelining.
    pub pipelined: u64,
}

impl Default for CallersDocument {
    fn default() -> Self {
        Self {
            max_header_bytes: 32 * 1024,
            header_timeout_ms: 10_000,
            body_pause_ms: 10_000,
            max_connections: 10_000,
            pipelined: 1,
        }
    }
}

/// The `[stop]` table.
#[derives::document]
#[serde(default, deny_unknown_fields)]
pub struct StopDocument {
    /// Maximum wait for open requests, in milliseconds.
    pub max_wait_ms: u64,
    /// Time from the stop signal until the platform kills the process, in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub grace_s: Option<f64>,
}

impl Default for StopDocument {
    fn default() -> Self {
        Self { max_wait_ms: 600_000, grace_s: None }
    }
}

/// The `[topology]` table.
#[derives::document]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct TopologyDocument {
    /// Region of each failure domain.
    pub domains: collections::BTreeMap<Arc<str>, Arc<str>>,
}

/// The `[bounds]` table.
#[derives::document]
#[serde(default, deny_unknown_fields)]
pub struct BoundsDocument {
    /// Retries to a pool as a fraction of its requests.
    pub retry_ratio: f64,
    /// Retries in addition to that fraction within 10 s, over all instances.
    pub retry_slack: f64,
    /// Maximum request rate to a cold server, as a multiple of the rate that it sustains.
    pub cold_overage: f64,
    /// Requests per second to a cold server in addition to that rate, over all instances.
    pub cold_slack: f64,
    /// Window over which a team's requests are counted, in seconds.
    pub quota_window_s: f64,
    /// Fraction of a team's limit by which its requests may exceed it.
    pub quota_overage: f64,
    /// Requests in addition to that fraction.
    pub quota_slack: f64,
    /// Maximum time for which callers may cache a lookup response, in seconds.
    pub lookup_ttl_s: f64,
    /// Maximum change within 2 s of the fraction of a region's requests that other regions
    /// serve.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_shift: Option<f64>,
}

impl Default for BoundsDocument {
    fn default() -> Self {
        Self {
            retry_ratio: 0.1,
            retry_slack: 70.0,
            cold_overage: 1.0,
            cold_slack: 0.0,
            quota_window_s: 5.0,
            quota_overage: 0.0,
            quota_slack: 0.0,
            lookup_ttl_s: 2.0,
            max_shift: None,
        }
    }
}

/// The `[process]` table.
#[derives::document]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct ProcessDocument {
    /// Worker threads; one per core if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub threads: Option<u64>,
}

/// The `[keys]` table.
#[derives::document]
#[serde(default, deny_unknown_fields)]
pub struct KeysDocument {
    /// Maximum age of tables whose keys are trusted without reports of other instances that the
    /// object API is down, in milliseconds.
    pub max_age_ms: u64,
    /// Handling of keyed requests when an outage of the object API cannot be told apart
    /// from a partition of this instance.
    pub undecided: UndecidedDocument,
}

impl Default for KeysDocument {
    fn default() -> Self {
        Self { max_age_ms: 15_000, undecided: UndecidedDocument::default() }
    }
}

/// Handling of keyed requests when an outage of the object API cannot be told apart from a
/// partition of this instance.
#[derives::document]
#[derive(Default, Copy)]
#[serde(rename_all = "lowercase")]
pub enum UndecidedDocument {
    /// Keyed requests are rejected without being run.
    #[default]
    Refuse,
    /// Keyed requests are served with the last known keys.
    Serve,
}

/// The `[peers]` table.
#[derives::document]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct PeersDocument {
    /// Peer addresses that are tried in addition to those of the platform's list.
    pub contacts: Vec<Arc<str>>,
}

/// The `[objective]` table.
#[derives::document]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct ObjectiveDocument {
    /// Optimization goal of the deployment.
    pub weigh: WeighDocument,
}

/// Optimization goal of a deployment.
#[derives::document]
#[derive(Default, Copy)]
#[serde(rename_all = "lowercase")]
pub enum WeighDocument {
    /// Favours the worst-served team and avoids wrongful refusals.
    #[default]
    Fairness,
    /// Favours latency and headroom.
    Latency,
}

const DEFAULT_STORE_TIMEOUT_MS: u64 = 2_000;

fn default_store_timeout_ms() -> u64 {
    DEFAULT_STORE_TIMEOUT_MS
}
