//! Catalogue of settings: unit, default, range and description of each.
//!
//! The integer checks use the ranges given here. docs/SETTINGS.md lists the same
//! rows, and a test compares the two.

use crate::fault;

/// Specification of one setting.
#[derive(Debug, Clone, Copy)]
pub struct SettingSpec {
    /// Path in the settings file, such as `callers.max_connections`.
    pub path: &'static str,
    /// Unit or format of the value.
    pub unit: &'static str,
    /// Value if the setting is absent; `required` if it must be present.
    pub default: &'static str,
    /// Minimum and maximum of an integer; `None` for other types.
    pub range: Option<(u64, u64)>,
    /// Description for operators.
    pub description: &'static str,
}

impl SettingSpec {
    /// Checks that an integer is within the setting's range, if it has one.
    ///
    /// # Errors
    ///
    /// Returns [`fault::FaultKind::Range`] if it is not.
    pub fn check(&self, value: u64) -> Result<u64, fault::FaultKind> {
        let (low, high) = self.range.unwrap_or((0, u64::MAX));
        if (low..=high).contains(&value) {
            return Ok(value);
        }
        Err(fault::FaultKind::Range { value, low, high })
    }
}

macro_rules! settings {
    ($($name:ident = $path:literal, $unit:literal, $default:literal, $range:expr, $description:literal;)+) => {
        $(
            #[doc = $description]
            pub const $name: SettingSpec = SettingSpec {
                path: $path,
                unit: $unit,
                default: $default,
                range: $range,
                description: $description,
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
    INSTANCE_DIALECT = "instance.dialect", "`native` or `platform`", "native", None,
        "Interfaces towards callers, backend servers and the object API: this project's own or those of the users' platform.";
    LISTEN_CALLERS = "listen.callers", "IP address and port", "required", None,
        "Where callers connect; port 0 takes any free port.";
    LISTEN_PEERS = "listen.peers", "IP address and port", "required", None,
        "Where other instances connect.";
    LISTEN_ADMIN = "listen.admin", "IP address and port", "required", None,
        "Where operators connect; keep it off the callers' network.";
    LISTEN_DIRECTORY = "listen.directory", "IP address and port", "none", None,
        "Separate address at which callers look up the instances to use.";
    LISTEN_READINESS = "listen.readiness", "IP address and port", "none", None,
        "Address at which the platform checks whether the instance accepts requests.";
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
        "Maximum open connections of callers; requests on further connections are answered with 503 and not run.";
    CALLERS_PIPELINED = "callers.pipelined", "requests", "1", Some((1, 1_000)),
        "Requests of one HTTP/1.1 connection that may be open at once; above 1 the port speaks HTTP/1.1 only.";
    STOP_MAX_WAIT_MS = "stop.max_wait_ms", "milliseconds", "600000", Some((1_000, 3_600_000)),
        "Maximum time that a planned stop waits for open requests after cached lookup responses have expired.";
    STOP_GRACE_S = "stop.grace_s", "seconds", "none", None,
        "Time from the stop signal to the platform's kill; the planned stop ends within it. 2 to 3600.";
    OBJECTIVE_WEIGH = "objective.weigh", "`fairness` or `latency`", "fairness", None,
        "Optimization goal: `fairness` favours the worst-served team and avoids wrongful refusals, `latency` favours latency and headroom.";
    KEYS_MAX_AGE_MS = "keys.max_age_ms", "milliseconds", "15000", Some((10_000, 600_000)),
        "Time without confirmation from the object API, directly or through peers, after which keys are no longer trusted without further evidence.";
    KEYS_UNDECIDED = "keys.undecided", "`refuse` or `serve`", "refuse", None,
        "Handling of requests with a key when an outage of the object API cannot be told apart from a network partition of this instance.";
    PEERS_CONTACTS = "peers.contacts", "list of IP addresses and ports", "[]", None,
        "Peer addresses tried beside the platform's list, so that an instance at a new address finds others while the platform is down.";
    TOPOLOGY_DOMAINS = "topology.domains", "table of failure domains and regions", "{}", None,
        "Region of each failure domain, so that servers in the instance's region are preferred.";
    BOUNDS_RETRY_RATIO = "bounds.retry_ratio", "retries per request", "0.1", None,
        "Retries of a service as a fraction of its requests; retries after shed attempts count too. 0 to 1.";
    BOUNDS_RETRY_SLACK = "bounds.retry_slack", "retries", "70.0", None,
        "Retries in addition to that fraction within 10 s, over all instances together. 0 to 1000000.";
    BOUNDS_COLD_OVERAGE = "bounds.cold_overage", "factor", "1.0", None,
        "Maximum request rate to a cold server, as a multiple of the rate that it sustains. 1 to 10.";
    BOUNDS_COLD_SLACK = "bounds.cold_slack", "requests", "0.0", None,
        "Requests per second in addition to that, over all instances together. 0 to 1000.";
    BOUNDS_QUOTA_WINDOW_S = "bounds.quota_window_s", "seconds", "5.0", None,
        "Window over which a team's requests are counted. 1 to 60.";
    BOUNDS_QUOTA_OVERAGE = "bounds.quota_overage", "part of the requests", "0.0", None,
        "Fraction of what a team's limit allows within the window by which its requests may exceed the limit, over all instances together. 0 to 1.";
    BOUNDS_QUOTA_SLACK = "bounds.quota_slack", "requests", "0.0", None,
        "Requests in addition to that fraction. 0 to 10000.";
    BOUNDS_LOOKUP_TTL_S = "bounds.lookup_ttl_s", "seconds", "2.0", None,
        "Maximum time for which callers may cache a lookup response. 0.1 to 60.";
    BOUNDS_MAX_SHIFT = "bounds.max_shift", "part of the requests", "none", None,
        "Maximum change within 2 s of the fraction of a region's requests that other regions serve; failback is limited by it. 0.01 to 1.";
    PROCESS_THREADS = "process.threads", "threads", "one a core", Some((1, 1_024)),
        "Worker threads; 1 needs the least memory and time on a machine of one core.";
}
