//! The raw TOML document of an instance's settings.
//!
//! Unknown members are refused, so that a misspelt one is never ignored.

use std::collections;
use std::path;
use std::sync::Arc;

use marjoramwing_derives as derives;

/// The whole settings document.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct SettingsDocument {
    /// Who this instance is.
    pub instance: InstanceDocument,
    /// Where it listens.
    pub listen: ListenDocument,
    /// Where the platform's object API is.
    pub store: StoreDocument,
    /// Where the shared secrets are.
    pub secrets: SecretsDocument,
    /// Limits of the caller port.
    #[serde(default)]
    pub callers: CallersDocument,
    /// How a planned stop goes.
    #[serde(default)]
    pub stop: StopDocument,
    /// What the deployment weighs more.
    #[serde(default)]
    pub objective: ObjectiveDocument,
    /// How long and when keys are believed.
    #[serde(default)]
    pub keys: KeysDocument,
    /// Where other instances may be found.
    #[serde(default)]
    pub peers: PeersDocument,
    /// Which failure domains lie in which region.
    #[serde(default)]
    pub topology: TopologyDocument,
    /// Bounds that hold over all instances together.
    #[serde(default)]
    pub bounds: BoundsDocument,
    /// What the process may use of its machine.
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
    /// What callers, backend servers and the object API speak.
    #[serde(default)]
    pub dialect: DialectDocument,
}

/// What callers, backend servers and the object API speak.
#[derives::document]
#[derive(Default, Copy)]
#[serde(rename_all = "lowercase")]
pub enum DialectDocument {
    /// The product's own interface.
    #[default]
    Native,
    /// That of the users' platform.
    Platform,
}

/// The `[listen]` table: IP addresses and ports.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct ListenDocument {
    /// For callers.
    pub callers: Arc<str>,
    /// For peers.
    pub peers: Arc<str>,
    /// For operators.
    pub admin: Arc<str>,
    /// For callers that ask which instances to use, if apart from requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub directory: Option<Arc<str>>,
    /// For the platform's question whether the instance takes requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub readiness: Option<Arc<str>>,
}

/// The `[store]` table.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct StoreDocument {
    /// IP address and port of the object API.
    pub address: Arc<str>,
    /// Longest wait for one call, in milliseconds.
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
    /// Largest request head, in bytes.
    pub max_header_bytes: u64,
    /// Longest wait for a request's head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest pause between two parts of a body, in milliseconds.
    pub body_pause_ms: u64,
    /// Callers' connections at once.
    pub max_connections: u64,
    /// Requests of one HTTP/1.1 connection that may be open at once.
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
    /// Longest wait for open requests, in milliseconds.
    pub max_wait_ms: u64,
    /// Time from the stop signal to the kill, in seconds, if there is one.
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
    /// Retries of a service as a part of its requests.
    pub retry_ratio: f64,
    /// Retries beyond that part within one window, over all instances.
    pub retry_slack: f64,
    /// Factor on the rate that a cold server bears.
    pub cold_overage: f64,
    /// Requests in one second beyond that rate, over all instances.
    pub cold_slack: f64,
    /// Window over which a team's requests are counted, in seconds.
    pub quota_window_s: f64,
    /// Part of what a team's limit allows by which its requests may pass it.
    pub quota_overage: f64,
    /// Requests beside that part.
    pub quota_slack: f64,
    /// Longest time for which callers may use a directory's answer, in seconds.
    pub lookup_ttl_s: f64,
    /// Most that the part of a region's requests that run elsewhere may change within 2 s.
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
    /// Worker threads; one a core when absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub threads: Option<u64>,
}

/// The `[keys]` table.
#[derives::document]
#[serde(default, deny_unknown_fields)]
pub struct KeysDocument {
    /// Age of the tables above which keys are in doubt, in milliseconds.
    pub max_age_ms: u64,
    /// What happens when an outage of the store cannot be told from being cut off.
    pub undecided: UndecidedDocument,
}

impl Default for KeysDocument {
    fn default() -> Self {
        Self { max_age_ms: 15_000, undecided: UndecidedDocument::default() }
    }
}

/// What happens when an outage of the store cannot be told from being cut off.
#[derives::document]
#[derive(Default, Copy)]
#[serde(rename_all = "lowercase")]
pub enum UndecidedDocument {
    /// Keyed requests are refused as not run.
    #[default]
    Refuse,
    /// Keyed requests are served with the keys that are known.
    Serve,
}

/// The `[peers]` table.
#[derives::document]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct PeersDocument {
    /// Peer addresses that are tried beside those of the platform's list.
    pub contacts: Vec<Arc<str>>,
}

/// The `[objective]` table.
#[derives::document]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct ObjectiveDocument {
    /// What the deployment weighs more.
    pub weigh: WeighDocument,
}

/// What a deployment weighs more.
#[derives::document]
#[derive(Default, Copy)]
#[serde(rename_all = "lowercase")]
pub enum WeighDocument {
    /// The worst-served team and wrongful refusals.
    #[default]
    Fairness,
    /// Latency and headroom.
    Latency,
}

const DEFAULT_STORE_TIMEOUT_MS: u64 = 2_000;

fn default_store_timeout_ms() -> u64 {
    DEFAULT_STORE_TIMEOUT_MS
}
