//! The catalogue of settings: unit, default, range and meaning of each.
//!
//! The checks read their ranges here; docs/SETTINGS.md lists the same rows and
//! a test compares the two.

use crate::fault;

/// One member of the settings file.
#[derive(Debug, Clone, Copy)]
pub struct SettingSpec {
    /// Path of the member, such as `callers.max_connections`.
    pub path: &'static str,
    /// Unit or form of the value.
    pub unit: &'static str,
    /// Value when the member is absent; `required` when it must be present.
    pub default: &'static str,
    /// Smallest and largest number, if the member is one.
    pub range: Option<(u64, u64)>,
    /// What the member does.
    pub meaning: &'static str,
}

impl SettingSpec {
    /// Checks that a number lies in the setting's range.
    ///
    /// # Errors
    ///
    /// Returns the range when it does not.
    pub fn check(&self, value: u64) -> Result<u64, fault::FaultKind> {
        let (low, high) = self.range.unwrap_or((0, u64::MAX));
        if (low..=high).contains(&value) {
            return Ok(value);
        }
        Err(fault::FaultKind::Range { value, low, high })
    }
}

macro_rules! settings {
    ($($name:ident = $path:literal, $unit:literal, $default:literal, $range:expr, $meaning:literal;)+) => {
        $(
            #[doc = $meaning]
            pub const $name: SettingSpec = SettingSpec {
                path: $path,
                unit: $unit,
                default: $default,
                range: $range,
                meaning: $meaning,
            };
        )+

        /// All settings, in the order of the file.
        pub const ALL: &[SettingSpec] = &[$($name),+];
    };
}

settings! {
    INSTANCE_NAME = "instance.name", "name", "required", None,
        "Unique name of the instance.";
    INSTANCE_SITE = "instance.site", "name", "required", None,
        "Site of the instance, one of the `steering` object.";
    INSTANCE_REGION = "instance.region", "name", "required", None,
        "Region of the site.";
    INSTANCE_FAILURE_DOMAIN = "instance.failure_domain", "name", "required", None,
        "Failure domain of the site.";
    LISTEN_CALLERS = "listen.callers", "IP address and port", "required", None,
        "Where callers connect; port 0 takes any free port.";
    LISTEN_PEERS = "listen.peers", "IP address and port", "required", None,
        "Where other instances connect.";
    LISTEN_ADMIN = "listen.admin", "IP address and port", "required", None,
        "Where operators connect; keep it off the callers' network.";
    STORE_ADDRESS = "store.address", "IP address and port", "required", None,
        "Where the platform's object API is.";
    STORE_TIMEOUT_MS = "store.timeout_ms", "milliseconds", "2000", Some((50, 60_000)),
        "Longest wait for one call of the object API.";
    SECRETS_PEER_FILE = "secrets.peer_file", "path", "this or `peer_env`", None,
        "File with the secret that all instances of the deployment share, 16 bytes or more.";
    SECRETS_PEER_ENV = "secrets.peer_env", "variable", "this or `peer_file`", None,
        "Environment variable with that secret.";
    SECRETS_ADMIN_FILE = "secrets.admin_file", "path", "this or `admin_env`", None,
        "File with the secret that operators share, 16 bytes or more.";
    SECRETS_ADMIN_ENV = "secrets.admin_env", "variable", "this or `admin_file`", None,
        "Environment variable with that secret.";
    CALLERS_MAX_HEADER_BYTES = "callers.max_header_bytes", "bytes", "32768",
        Some((8 * 1024, 1024 * 1024)),
        "Largest head of a request.";
    CALLERS_HEADER_TIMEOUT_MS = "callers.header_timeout_ms", "milliseconds", "10000",
        Some((100, 600_000)),
        "Longest wait for a request's head, and for the next request on an open connection.";
    CALLERS_BODY_PAUSE_MS = "callers.body_pause_ms", "milliseconds", "10000",
        Some((100, 600_000)),
        "Longest pause between two parts of a request's body.";
    CALLERS_MAX_CONNECTIONS = "callers.max_connections", "connections", "10000",
        Some((1, 1_000_000)),
        "Connections of callers at once; one more is told 503, not run.";
    STOP_MAX_WAIT_MS = "stop.max_wait_ms", "milliseconds", "600000", Some((1_000, 3_600_000)),
        "Longest wait of a planned stop for open requests, after cached look-up answers ran out.";
    OBJECTIVE_WEIGH = "objective.weigh", "`fairness` or `latency`", "fairness", None,
        "What the deployment weighs more: the worst-served team and wrongful refusals, or latency and headroom.";
    KEYS_MAX_AGE_MS = "keys.max_age_ms", "milliseconds", "15000", Some((10_000, 600_000)),
        "Time without word of the object API, also by way of peers, after which keys are in doubt.";
    KEYS_UNDECIDED = "keys.undecided", "`refuse` or `serve`", "refuse", None,
        "What becomes of keyed requests when an outage of the object API cannot be told from being cut off.";
    PEERS_CONTACTS = "peers.contacts", "list of IP addresses and ports", "[]", None,
        "Peer addresses tried beside the platform's list, so that an instance at a new address finds others while the platform is down.";
}
