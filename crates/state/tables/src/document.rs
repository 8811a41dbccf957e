//! The raw documents of the object API, before any check.
//!
//! Unknown members are refused, so that a misspelt one is never ignored.

use std::sync::Arc;

use marjoramwing_derives as derives;

/// The `routes` object.
#[derives::document]
#[derive(Default)]
#[serde(deny_unknown_fields)]
pub struct RoutesDocument {
    /// All routes; the most specific match serves a request.
    pub routes: Vec<RouteDocument>,
    /// Random identifier of the last edit, written by the edit itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub edit_id: Option<Arc<str>>,
}

/// One route of the `routes` object.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct RouteDocument {
    /// Unique name of the route.
    pub name: Arc<str>,
    /// Host that the request must name; any host when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<Arc<str>>,
    /// Path prefix, matched by whole segments.
    pub path: Arc<str>,
    /// Methods that the route serves; all when empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub methods: Vec<Arc<str>>,
    /// Pools in order of preference.
    pub pools: Vec<Arc<str>>,
    /// Who may use the route: `keyed` or `open`.
    #[serde(default)]
    pub access: AccessDocument,
    /// Which requests may be run again.
    #[serde(default)]
    pub idempotent: IdempotenceDocument,
    /// Longest time from the request's arrival to its answer, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Largest request body in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
    /// Requests per second over all teams and instances; no limit when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<f64>,
    /// Requests at once over all teams and instances; required with `rate`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub burst: Option<u32>,
    /// Parts of the traffic, one for each pool; in order of preference when empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub weights: Vec<u32>,
    /// Backend servers that one request may be sent to.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
    /// Time within which an answer is worth most, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target_ms: Option<u64>,
    /// Rank among the routes of a pool; 0 goes first.
    #[serde(default)]
    pub priority: u32,
    /// Whether requests of one session are to reach the same backend server.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub sticky: bool,
    /// Regions in which requests may be served; all when empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub regions: Vec<Arc<str>>,
}

/// Who may use a route.
#[derives::document]
#[derive(Default, Copy)]
#[serde(rename_all = "lowercase")]
pub enum AccessDocument {
    /// Only a team whose key comes with the request.
    #[default]
    Keyed,
    /// Everyone; no key is needed.
    Open,
}

/// Which requests of a route may be run again.
#[derives::document]
#[derive(Default, Copy)]
#[serde(rename_all = "lowercase")]
pub enum IdempotenceDocument {
    /// As the method says (RFC 9110, section 9.2.2).
    #[default]
    Method,
    /// Every request.
    Always,
    /// No request.
    Never,
}

/// The `pools` object.
#[derives::document]
#[derive(Default)]
#[serde(deny_unknown_fields)]
pub struct PoolsDocument {
    /// All pools.
    pub pools: Vec<PoolDocument>,
    /// Random identifier of the last edit, written by the edit itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub edit_id: Option<Arc<str>>,
}

/// One pool of the `pools` object.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct PoolDocument {
    /// Unique name of the pool.
    pub name: Arc<str>,
    /// Backend servers of the pool, beside those that register themselves.
    #[serde(default)]
    pub servers: Vec<ServerDocument>,
    /// What a backend server bears after its start; as much as later when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_start: Option<ColdStartDocument>,
}

/// What a backend server bears while it is cold.
#[derives::document]
#[derive(Copy)]
#[serde(deny_unknown_fields)]
pub struct ColdStartDocument {
    /// Time for which a server is cold after its start, in milliseconds.
    pub duration_ms: u64,
    /// Requests per second that a cold server takes from all instances together.
    pub rate: f64,
}

/// One backend server of a pool.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct ServerDocument {
    /// IP address and port.
    pub address: Arc<str>,
    /// Failure domain in which the server runs.
    pub failure_domain: Arc<str>,
    /// Requests that the server runs at once.
    pub slots: u32,
    /// Whether the server is being drained and takes no new request.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub draining: bool,
}

/// The `teams` object.
#[derives::document]
#[derive(Default)]
#[serde(deny_unknown_fields)]
pub struct TeamsDocument {
    /// All teams.
    pub teams: Vec<TeamDocument>,
    /// Random identifier of the last edit, written by the edit itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub edit_id: Option<Arc<str>>,
}

/// One team of the `teams` object.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct TeamDocument {
    /// Unique name of the team.
    pub name: Arc<str>,
    /// Requests per second over all instances.
    pub rate: f64,
    /// Requests at once over all instances.
    pub burst: u32,
    /// Rank that goes before that of the route; 0 goes first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u32>,
    /// Regions in which the team's requests may be served; all when empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub regions: Vec<Arc<str>>,
}

/// The `keys` object.
#[derives::document]
#[derive(Default)]
#[serde(deny_unknown_fields)]
pub struct KeysDocument {
    /// All keys in force; withdrawing a key removes its entry.
    pub keys: Vec<KeyDocument>,
    /// Whether keys are secrets only, named by the first 16 digits of their hash.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub opaque: bool,
    /// Random identifier of the last edit, written by the edit itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub edit_id: Option<Arc<str>>,
}

/// One team key, as a hash.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct KeyDocument {
    /// Public identifier, the part of the key before the dot.
    pub id: Arc<str>,
    /// Team that the key speaks for.
    pub team: Arc<str>,
    /// SHA-256 of the whole key, in lower-case hexadecimal digits.
    pub sha256: Arc<str>,
}

/// The `steering` object.
#[derives::document]
#[derive(Default)]
#[serde(deny_unknown_fields)]
pub struct SteeringDocument {
    /// Places where entry instances run.
    pub sites: Vec<SiteDocument>,
    /// Blocks of client addresses and their home sites.
    #[serde(default)]
    pub blocks: Vec<BlockDocument>,
    /// Traffic that regions take for clients of others; regions come from sites.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub headrooms: Vec<HeadroomDocument>,
    /// Bounds on the traffic that one region takes for the clients of another.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub shifts: Vec<ShiftDocument>,
    /// Requests per second of one team for which look-ups name one more instance.
    #[serde(default = "default_spread_rate")]
    pub spread_rate: f64,
    /// Requests per second that one instance is planned to carry.
    #[serde(default = "default_instance_rate")]
    pub instance_rate: f64,
    /// Time for which callers may use a look-up answer, in milliseconds.
    #[serde(default = "default_lookup_ttl_ms")]
    pub lookup_ttl_ms: u64,
    /// Random identifier of the last edit, written by the edit itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub edit_id: Option<Arc<str>>,
}

/// One site of the `steering` object.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct SiteDocument {
    /// Unique name of the site.
    pub name: Arc<str>,
    /// Region of the site.
    pub region: Arc<str>,
    /// Failure domain of the site.
    pub failure_domain: Arc<str>,
    /// Whether traffic is to leave the site.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub draining: bool,
}

/// The traffic that one region takes for clients of all others.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct HeadroomDocument {
    /// Region that serves the clients.
    pub region: Arc<str>,
    /// Requests per second over all instances.
    pub rate: f64,
    /// Requests at once over all instances.
    pub burst: u32,
}

/// A bound on the traffic that one region takes for the clients of another.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct ShiftDocument {
    /// Home region of the clients.
    pub from: Arc<str>,
    /// Region that serves them.
    pub to: Arc<str>,
    /// Requests per second over all instances.
    pub rate: f64,
    /// Requests at once over all instances.
    pub burst: u32,
}

/// One block of client addresses.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct BlockDocument {
    /// Address prefix in CIDR form.
    pub prefix: Arc<str>,
    /// Home site of the block.
    pub site: Arc<str>,
}

const DEFAULT_DEADLINE_MS: u64 = 10_000;
const DEFAULT_MAX_ATTEMPTS: u32 = 3;
/// Largest request body of a route that names none, in bytes.
pub const DEFAULT_MAX_BODY_BYTES: u64 = 1 << 20;
const DEFAULT_SPREAD_RATE: f64 = 200.0;
const DEFAULT_INSTANCE_RATE: f64 = 2_000.0;
const DEFAULT_LOOKUP_TTL_MS: u64 = 2_000;

fn default_deadline_ms() -> u64 {
    DEFAULT_DEADLINE_MS
}

fn default_max_attempts() -> u32 {
    DEFAULT_MAX_ATTEMPTS
}

fn default_max_body_bytes() -> u64 {
    DEFAULT_MAX_BODY_BYTES
}

fn default_spread_rate() -> f64 {
    DEFAULT_SPREAD_RATE
}

fn default_instance_rate() -> f64 {
    DEFAULT_INSTANCE_RATE
}

fn default_lookup_ttl_ms() -> u64 {
    DEFAULT_LOOKUP_TTL_MS
}
