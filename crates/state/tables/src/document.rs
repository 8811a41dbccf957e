//! The raw documents of the object API, before validation.
//!
//! Unknown members are rejected, so that a misspelt one is never ignored.

use std::sync::Arc;

use marjoramwing_derives as derives;

/// The `routes` object.
#[derives::document]
#[derive(Default)]
#[serde(deny_unknown_fields)]
pub struct RoutesDocument {
    /// All routes; the most specific match serves a request.
    pub routes: Vec<RouteDocument>,
    /// Random identifier of the last edit, set by the editor.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub edit_id: Option<Arc<str>>,
}

/// One route of the `routes` object.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct RouteDocument {
    /// Unique name of the route.
    pub name: Arc<str>,
    /// Host of the requests that the route matches; any host if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<Arc<str>>,
    /// Path prefix, matched by whole segments. One that ends with a slash matches only paths below it.
    pub path: Arc<str>,
    /// Methods that the route serves; all if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub methods: Vec<Arc<str>>,
    /// Pools in order of preference.
    pub pools: Vec<Arc<str>>,
    /// Who may use the route: `keyed` or `open`.
    #[serde(default)]
    pub access: AccessDocument,
    /// Which requests are idempotent and may be retried.
    #[serde(default)]
    pub idempotent: IdempotenceDocument,
    /// Maximum time from the request's arrival to its response, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Maximum size of a request body in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
    /// Rate limit over all teams and instances, in requests per second; no limit if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<f64>,
    /// Burst over all teams and instances, in requests; required with `rate`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub burst: Option<u32>,
    /// Weights of the traffic split, one for each pool; pools are used in order of preference
    /// if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub weights: Vec<u32>,
    /// Maximum number of attempts at one request, not counting shed ones.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
    /// Target latency of a response, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target_ms: Option<u64>,
    /// Priority among the routes of a pool, 0 being the highest; ignored by scheduling.
    #[serde(default)]
    pub priority: u32,
    /// Whether requests of one session prefer the same backend server.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub sticky: bool,
    /// Regions in which requests may be served; all if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub regions: Vec<Arc<str>>,
}

/// Who may use a route.
#[derives::document]
#[derive(Default, Copy)]
#[serde(rename_all = "lowercase")]
pub enum AccessDocument {
    /// Only teams; the request must carry a valid team key.
    #[default]
    Keyed,
    /// Everyone; no key is needed.
    Open,
}

/// Which requests of a route are idempotent and may be retried.
#[derives::document]
#[derive(Default, Copy)]
#[serde(rename_all = "lowercase")]
pub enum IdempotenceDocument {
    /// Requests with an idempotent method (RFC 9110, section 9.2.2).
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
    /// Random identifier of the last edit, set by the editor.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub edit_id: Option<Arc<str>>,
}

/// One pool of the `pools` object.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct PoolDocument {
    /// Unique name of the pool.
    pub name: Arc<str>,
    /// Backend servers of the pool, in addition to those that register themselves.
    #[serde(default)]
    pub servers: Vec<ServerDocument>,
    /// Rate limit of a backend server after its start; no limit if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_start: Option<ColdStartDocument>,
}

/// Rate limit of a backend server while it is cold, that is, shortly after its start.
#[derives::document]
#[derive(Copy)]
#[serde(deny_unknown_fields)]
pub struct ColdStartDocument {
    /// Time for which a server is cold after its start, in milliseconds.
    pub duration_ms: u64,
    /// Requests per second that all instances together may send to a cold server.
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
    /// Maximum number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server is being drained and accepts no new requests.
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
    /// Random identifier of the last edit, set by the editor.
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
    /// Burst over all instances, in requests.
    pub burst: u32,
    /// Priority that overrides the route's, 0 being the highest; ignored by scheduling.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u32>,
    /// Regions in which the team's requests may be served; all if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub regions: Vec<Arc<str>>,
}

/// The `keys` object.
#[derives::document]
#[derive(Default)]
#[serde(deny_unknown_fields)]
pub struct KeysDocument {
    /// All valid keys; revoking a key removes its entry.
    pub keys: Vec<KeyDocument>,
    /// Whether keys are opaque: secrets only, identified by the first 16 digits of their hash.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub opaque: bool,
    /// Random identifier of the last edit, set by the editor.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub edit_id: Option<Arc<str>>,
}

/// One team key, as a hash.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct KeyDocument {
    /// Public identifier: the part of a dotted key before the dot, or the first 16 digits of
    /// the hash of an opaque key.
    pub id: Arc<str>,
    /// Team that the key authenticates, by name or by position; see [`team_reference`].
    pub team: Arc<str>,
    /// SHA-256 of the whole key, in lower-case hexadecimal digits.
    pub sha256: Arc<str>,
}

/// The `steering` object.
#[derives::document]
#[derive(Default)]
#[serde(deny_unknown_fields)]
pub struct SteeringDocument {
    /// Sites at which instances run.
    pub sites: Vec<SiteDocument>,
    /// Blocks of client addresses and their home sites.
    #[serde(default)]
    pub blocks: Vec<BlockDocument>,
    /// Traffic that regions accept for clients of other regions; a region exists if a site
    /// names it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub headrooms: Vec<HeadroomDocument>,
    /// Caps on the traffic that one region accepts for the clients of another.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub shifts: Vec<ShiftDocument>,
    /// Team rate per additional instance in a lookup response, in requests per second.
    #[serde(default = "default_spread_rate")]
    pub spread_rate: f64,
    /// Planned capacity of one instance, in requests per second.
    #[serde(default = "default_instance_rate")]
    pub instance_rate: f64,
    /// Time for which callers may cache a lookup response, in milliseconds.
    #[serde(default = "default_lookup_ttl_ms")]
    pub lookup_ttl_ms: u64,
    /// Random identifier of the last edit, set by the editor.
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
    /// Whether the site is being drained, so that its instances receive no traffic.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub draining: bool,
}

/// The traffic that one region accepts for clients of all others.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct HeadroomDocument {
    /// Region that serves the clients.
    pub region: Arc<str>,
    /// Requests per second over all instances.
    pub rate: f64,
    /// Burst over all instances, in requests.
    pub burst: u32,
}

/// A cap on the traffic that one region accepts for the clients of another.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct ShiftDocument {
    /// Home region of the clients.
    pub from: Arc<str>,
    /// Region that serves them.
    pub to: Arc<str>,
    /// Requests per second over all instances.
    pub rate: f64,
    /// Burst over all instances, in requests.
    pub burst: u32,
}

/// One block of client addresses.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct BlockDocument {
    /// Address prefix in CIDR notation.
    pub prefix: Arc<str>,
    /// Home site of the block.
    pub site: Arc<str>,
}

/// Largest of [`RouteDocument::weights`].
pub const MAX_WEIGHT: u32 = 1_000_000;
/// Length up to which a key names its team.
const MAX_REFERENCE_BYTES: usize = 63;
/// First character of a reference by position.
pub(crate) const POSITION_MARK: char = '#';

/// Returns the text by which keys refer to the team at a position.
///
/// A long name is replaced by the position, since it would otherwise be repeated for each key. A
/// name that looks like a position is too, which keeps them apart.
#[must_use]
pub fn team_reference(name: &Arc<str>, position: usize) -> Arc<str> {
    if name.len() <= MAX_REFERENCE_BYTES && !name.starts_with(POSITION_MARK) {
        return Arc::clone(name);
    }
    format!("{POSITION_MARK}{position}").into()
}

const DEFAULT_DEADLINE_MS: u64 = 10_000;
/// Default of [`RouteDocument::max_attempts`].
pub const DEFAULT_MAX_ATTEMPTS: u32 = 3;
/// Default of [`RouteDocument::max_body_bytes`].
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
