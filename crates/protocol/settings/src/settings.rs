//! The validated settings of an instance.

use std::fs;
use std::net;
use std::path;
use std::sync::Arc;
use std::time;

use marjoramwing_derives as derives;
use marjoramwing_tables::name;

use crate::catalogue;
use crate::document;
use crate::fault;
use crate::secret;
use crate::topology;

/// Validated settings of an instance.
#[derive(Debug, Clone)]
pub struct InstanceSettings {
    /// Identity of this instance.
    pub identity: InstanceIdentity,
    /// Addresses that the instance listens on.
    pub listen: ListenAddresses,
    /// Connection to the platform's object API.
    pub store: StoreSettings,
    /// Secret that the deployment's instances share.
    pub peer_secret: secret::SharedSecret,
    /// Secret that the deployment's operators share.
    pub admin_secret: secret::SharedSecret,
    /// Limits of the caller port.
    pub callers: CallerLimits,
    /// Timing of a planned stop.
    pub stop: StopLimits,
    /// Optimization goal of the deployment.
    pub objective: DeploymentObjective,
    /// When keys are trusted while the object API cannot be reached.
    pub keys: KeyTrustSettings,
    /// Peer addresses that are tried in addition to those of the platform's list.
    pub contacts: Vec<net::SocketAddr>,
    /// Interfaces towards callers, backend servers and the object API.
    pub dialect: InterfaceDialect,
    /// Region of each failure domain.
    pub topology: topology::FleetTopology,
    /// Bounds that hold over all instances together.
    pub bounds: FleetBounds,
    /// Worker threads; `None` for one per core.
    pub threads: Option<usize>,
}

/// Interfaces towards callers, backend servers and the object API.
#[derives::value]
pub enum InterfaceDialect {
    /// This project's own interfaces.
    Native,
    /// The interfaces of the users' platform.
    Platform,
}

/// Bounds that hold over all instances together.
#[derives::measure]
pub struct FleetBounds {
    /// Retries to a pool as a fraction of its requests.
    pub retry_ratio: f64,
    /// Retries in addition to that fraction within 10 s.
    pub retry_slack: f64,
    /// Maximum request rate to a cold server, as a multiple of the rate that it sustains.
    pub cold_overage: f64,
    /// Requests per second to a cold server in addition to that rate.
    pub cold_slack: f64,
    /// Window over which a team's requests are counted.
    pub quota_window: time::Duration,
    /// Fraction of a team's limit by which its requests may exceed it.
    pub quota_overage: f64,
    /// Requests in addition to that fraction.
    pub quota_slack: f64,
    /// Maximum time for which callers may cache a lookup response.
    pub lookup_ttl: time::Duration,
    /// Maximum change within 2 s of the fraction of a region's requests that other regions
    /// serve.
    pub max_shift: Option<f64>,
}

/// Identity of an instance.
#[derives::record]
pub struct InstanceIdentity {
    /// Unique name.
    pub name: name::InstanceName,
    /// Site.
    pub site: name::SiteName,
    /// Region.
    pub region: name::RegionName,
    /// Failure domain.
    pub failure_domain: name::FailureDomainName,
}

/// Addresses that an instance listens on.
#[derives::value]
pub struct ListenAddresses {
    /// Port for callers.
    pub callers: net::SocketAddr,
    /// Port for other instances.
    pub peers: net::SocketAddr,
    /// Port for operators.
    pub admin: net::SocketAddr,
    /// Optional separate port for lookups of the instances that a caller should use.
    pub directory: Option<net::SocketAddr>,
    /// Optional port for the platform's readiness check.
    pub readiness: Option<net::SocketAddr>,
}

/// Connection to the platform's object API.
#[derives::value]
pub struct StoreSettings {
    /// Address of the object API.
    pub address: net::SocketAddr,
    /// Timeout of one call.
    pub timeout: time::Duration,
}

/// Limits of the caller port.
#[derives::value]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Timeout for a request's head.
    pub header_timeout: time::Duration,
    /// Idle timeout of a request body.
    pub body_idle_timeout: time::Duration,
    /// Maximum open connections of callers.
    pub max_connections: usize,
    /// Maximum open requests of one HTTP/1.1 connection; `None` without pipelining.
    pub max_pipelined: Option<usize>,
}

/// Timing of a planned stop.
#[derives::value]
pub struct StopLimits {
    /// Maximum wait for open requests.
    pub max_wait: time::Duration,
    /// Time from the stop signal until the platform kills the process, if it does.
    pub grace_period: Option<time::Duration>,
}

/// When keys are trusted while the object API cannot be reached.
#[derives::value]
pub struct KeyTrustSettings {
    /// Maximum age of tables whose keys are trusted without reports of other instances that the
    /// object API is down.
    pub max_age: time::Duration,
    /// Whether keyed requests are served when an outage of the object API cannot be told apart
    /// from a partition of this instance.
    pub serve_undecided: bool,
}

/// Optimization goal of a deployment.
#[derives::value]
pub enum DeploymentObjective {
    /// Favours the worst-served team and avoids wrongful refusals.
    Fairness,
    /// Favours latency and headroom.
    Latency,
}

impl InstanceSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns the fault that kept the file from being read or parsed, or else the faults of its
    /// settings.
    pub fn load(file: &path::Path) -> Result<Self, fault::FaultList> {
        let text = fs::read_to_string(file).map_err(|error| {
            let reason = fault::FaultKind::Unreadable(error.to_string().into());
            fault::FaultList::one(&file.display().to_string(), reason)
        })?;
        Self::try_from(text.as_str())
    }
}

impl TryFrom<&str> for InstanceSettings {
    type Error = fault::FaultList;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        let document: document::SettingsDocument = toml::from_str(text).map_err(|error| {
            let reason = fault::FaultKind::Syntax(error.to_string().trim_end().into());
            fault::FaultList::one("settings", reason)
        })?;
        Self::try_from(&document)
    }
}

impl TryFrom<&document::SettingsDocument> for InstanceSettings {
    type Error = fault::FaultList;

    fn try_from(raw: &document::SettingsDocument) -> Result<Self, Self::Error> {
        let mut faults = fault::FaultList::default();
        let identity = check_identity(&mut faults, &raw.instance);
        let listen = check_listen(&mut faults, &raw.listen);
        let store = check_store(&mut faults, &raw.store);
        let peer_secret = check_secret(&mut faults, &peer_source(&raw.secrets));
        let admin_secret = check_secret(&mut faults, &admin_source(&raw.secrets));
        let callers = check_callers(&mut faults, &raw.callers);
        let max_wait = catalogue::STOP_MAX_WAIT_MS.check(raw.stop.max_wait_ms);
        let max_wait = faults.check("stop.max_wait_ms", max_wait);
        let grace_period = check_grace_period(&mut faults, &raw.stop);
        let topology = topology::FleetTopology::check(&mut faults, &raw.topology);
        let bounds = check_bounds(&mut faults, &raw.bounds);
        let threads = raw.process.threads.map(|threads| catalogue::PROCESS_THREADS.check(threads));
        let threads = threads.transpose();
        let threads = faults.check("process.threads", threads);
        let objective = match raw.objective.weigh {
            document::WeighDocument::Fairness => DeploymentObjective::Fairness,
            document::WeighDocument::Latency => DeploymentObjective::Latency,
        };
        let keys = check_keys(&mut faults, &raw.keys);
        let contacts = check_contacts(&mut faults, &raw.peers);
        // All checks have run by now, so that `?` omits no fault.
        let checked = (|| {
            Some(Self {
                identity: identity?,
                listen: listen?,
                store: store?,
                peer_secret: peer_secret?,
                admin_secret: admin_secret?,
                callers: callers?,
                stop: StopLimits {
                    max_wait: time::Duration::from_millis(max_wait?),
                    grace_period: grace_period?,
                },
                objective,
                keys: keys?,
                contacts: contacts?,
                dialect: match raw.instance.dialect {
                    document::DialectDocument::Native => InterfaceDialect::Native,
                    document::DialectDocument::Platform => InterfaceDialect::Platform,
                },
                topology: topology?,
                bounds: bounds?,
                threads: threads?.and_then(|threads| usize::try_from(threads).ok()),
            })
        })();
        checked.ok_or(faults)
    }
}

fn check_identity(
    faults: &mut fault::FaultList,
    raw: &document::InstanceDocument,
) -> Option<InstanceIdentity> {
    let name = faults.check("instance.name", check_name(&raw.name));
    let site = faults.check("instance.site", check_name(&raw.site));
    let region = faults.check("instance.region", check_name(&raw.region));
    let failure_domain = faults.check("instance.failure_domain", check_name(&raw.failure_domain));
    Some(InstanceIdentity {
        name: name?,
        site: site?,
        region: region?,
        failure_domain: failure_domain?,
    })
}

fn check_name<'a, N: TryFrom<&'a Arc<str>>>(text: &'a Arc<str>) -> Result<N, fault::FaultKind> {
    N::try_from(text).map_err(|_| fault::FaultKind::Name(Arc::clone(text)))
}

/// Checks the addresses, and that those for callers, peers and operators differ.
fn check_listen(
    faults: &mut fault::FaultList,
    raw: &document::ListenDocument,
) -> Option<ListenAddresses> {
    let callers = faults.check("listen.callers", check_reachable(&raw.callers));
    let peers = faults.check("listen.peers", check_reachable(&raw.peers));
    let admin = faults.check("listen.admin", check_address(&raw.admin));
    let directory = raw.directory.as_ref().map(check_address).transpose();
    let directory = faults.check("listen.directory", directory);
    let readiness = raw.readiness.as_ref().map(check_address).transpose();
    let readiness = faults.check("listen.readiness", readiness);
    let listen = ListenAddresses {
        callers: callers?,
        peers: peers?,
        admin: admin?,
        directory: directory?,
        readiness: readiness?,
    };
    let peers = check_distinct(listen.peers, &[("listen.callers", listen.callers)]);
    let peers = faults.check("listen.peers", peers);
    let others = [("listen.callers", listen.callers), ("listen.peers", listen.peers)];
    let admin = faults.check("listen.admin", check_distinct(listen.admin, &others));
    Some(ListenAddresses { peers: peers?, admin: admin?, ..listen })
}

/// Checks the grace period; the inner `None` means that none is set.
fn check_grace_period(
    faults: &mut fault::FaultList,
    raw: &document::StopDocument,
) -> Option<Option<time::Duration>> {
    let grace_period = raw.grace_s.map(|seconds| fault::check_float(seconds, 2.0, 3_600.0));
    let grace_period = faults.check("stop.grace_s", grace_period.transpose())?;
    Some(grace_period.map(time::Duration::from_secs_f64))
}

fn check_bounds(
    faults: &mut fault::FaultList,
    raw: &document::BoundsDocument,
) -> Option<FleetBounds> {
    let mut check = |setting: &str, value: f64, low: f64, high: f64| {
        faults.check(&format!("bounds.{setting}"), fault::check_float(value, low, high))
    };
    let retry_ratio = check("retry_ratio", raw.retry_ratio, 0.0, 1.0);
    let retry_slack = check("retry_slack", raw.retry_slack, 0.0, 1_000_000.0);
    let cold_overage = check("cold_overage", raw.cold_overage, 1.0, 10.0);
    let cold_slack = check("cold_slack", raw.cold_slack, 0.0, 1_000.0);
    let quota_window = check("quota_window_s", raw.quota_window_s, 1.0, 60.0);
    let quota_overage = check("quota_overage", raw.quota_overage, 0.0, 1.0);
    let quota_slack = check("quota_slack", raw.quota_slack, 0.0, 10_000.0);
    let lookup_ttl = check("lookup_ttl_s", raw.lookup_ttl_s, 0.1, 60.0);
    let max_shift = match raw.max_shift {
        Some(shift) => check("max_shift", shift, 0.01, 1.0).map(Some),
        None => Some(None),
    };
    Some(FleetBounds {
        retry_ratio: retry_ratio?,
        retry_slack: retry_slack?,
        cold_overage: cold_overage?,
        cold_slack: cold_slack?,
        quota_window: time::Duration::from_secs_f64(quota_window?),
        quota_overage: quota_overage?,
        quota_slack: quota_slack?,
        lookup_ttl: time::Duration::from_secs_f64(lookup_ttl?),
        max_shift: max_shift?,
    })
}

fn check_distinct(
    address: net::SocketAddr,
    others: &[(&'static str, net::SocketAddr)],
) -> Result<net::SocketAddr, fault::FaultKind> {
    // Port 0 means any free port, so two listeners with port 0 do not conflict.
    match others.iter().find(|(_, other)| *other == address && address.port() != 0) {
        Some((path, _)) => Err(fault::FaultKind::SameAddress(path)),
        None => Ok(address),
    }
}

fn check_store(
    faults: &mut fault::FaultList,
    raw: &document::StoreDocument,
) -> Option<StoreSettings> {
    let address = faults.check("store.address", check_address(&raw.address));
    let timeout = catalogue::STORE_TIMEOUT_MS.check(raw.timeout_ms);
    let timeout = faults.check("store.timeout_ms", timeout);
    Some(StoreSettings { address: address?, timeout: time::Duration::from_millis(timeout?) })
}

fn check_callers(
    faults: &mut fault::FaultList,
    raw: &document::CallersDocument,
) -> Option<CallerLimits> {
    let header_bytes = catalogue::CALLERS_MAX_HEADER_BYTES.check(raw.max_header_bytes);
    let header_bytes = faults.check("callers.max_header_bytes", header_bytes);
    let header_timeout = catalogue::CALLERS_HEADER_TIMEOUT_MS.check(raw.header_timeout_ms);
    let header_timeout = faults.check("callers.header_timeout_ms", header_timeout);
    let body_idle_timeout = catalogue::CALLERS_BODY_PAUSE_MS.check(raw.body_pause_ms);
    let body_idle_timeout = faults.check("callers.body_pause_ms", body_idle_timeout);
    let connections = catalogue::CALLERS_MAX_CONNECTIONS.check(raw.max_connections);
    let connections = faults.check("callers.max_connections", connections);
    let pipelined = catalogue::CALLERS_PIPELINED.check(raw.pipelined);
    let pipelined = faults.check("callers.pipelined", pipelined);
    Some(CallerLimits {
        max_header_bytes: usize::try_from(header_bytes?).ok()?,
        header_timeout: time::Duration::from_millis(header_timeout?),
        body_idle_timeout: time::Duration::from_millis(body_idle_timeout?),
        max_connections: usize::try_from(connections?).ok()?,
        max_pipelined: usize::try_from(pipelined?).ok().filter(|open| *open > 1),
    })
}

fn check_keys(
    faults: &mut fault::FaultList,
    raw: &document::KeysDocument,
) -> Option<KeyTrustSettings> {
    let max_age = catalogue::KEYS_MAX_AGE_MS.check(raw.max_age_ms);
    let max_age = faults.check("keys.max_age_ms", max_age);
    Some(KeyTrustSettings {
        max_age: time::Duration::from_millis(max_age?),
        serve_undecided: raw.undecided == document::UndecidedDocument::Serve,
    })
}

fn check_contacts(
    faults: &mut fault::FaultList,
    raw: &document::PeersDocument,
) -> Option<Vec<net::SocketAddr>> {
    let contacts = raw.contacts.iter().enumerate();
    let checked: Vec<_> = contacts
        .map(|(index, text)| {
            let path = format!("peers.contacts[{index}]");
            faults.check(&path, check_reachable(text))
        })
        .collect();
    checked.into_iter().collect()
}

/// Checks an address that other processes connect to, so it must not be a wildcard.
fn check_reachable(text: &Arc<str>) -> Result<net::SocketAddr, fault::FaultKind> {
    let address = check_address(text)?;
    if address.ip().is_unspecified() {
        return Err(fault::FaultKind::Unspecified(Arc::clone(text)));
    }
    Ok(address)
}

fn check_address(text: &Arc<str>) -> Result<net::SocketAddr, fault::FaultKind> {
    text.parse().map_err(|_| fault::FaultKind::Address(Arc::clone(text)))
}

fn check_secret(
    faults: &mut fault::FaultList,
    source: &secret::SecretSource<'_>,
) -> Option<secret::SharedSecret> {
    faults.check(&source.path(), source.load())
}

fn peer_source(raw: &document::SecretsDocument) -> secret::SecretSource<'_> {
    secret::SecretSource {
        file: raw.peer_file.as_deref(),
        env: raw.peer_env.as_ref(),
        file_setting: "peer_file",
        env_setting: "peer_env",
    }
}

fn admin_source(raw: &document::SecretsDocument) -> secret::SecretSource<'_> {
    secret::SecretSource {
        file: raw.admin_file.as_deref(),
        env: raw.admin_env.as_ref(),
        file_setting: "admin_file",
        env_setting: "admin_env",
    }
}
