//! The checked settings of an instance.

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

/// Everything an instance is told at its start.
#[derive(Debug, Clone)]
pub struct InstanceSettings {
    /// Who this instance is.
    pub identity: InstanceIdentity,
    /// Where it listens.
    pub listen: ListenAddresses,
    /// Where the platform's object API is.
    pub store: StoreSettings,
    /// Secret shared by the deployment's instances.
    pub peer_secret: secret::SharedSecret,
    /// Secret shared by the deployment's operators.
    pub admin_secret: secret::SharedSecret,
    /// Limits of the caller port.
    pub callers: CallerLimits,
    /// How a planned stop goes.
    pub stop: StopLimits,
    /// What the deployment weighs more.
    pub objective: DeploymentObjective,
    /// How long and when keys are believed.
    pub keys: KeyTrustSettings,
    /// Peer addresses that are tried beside those of the platform's list.
    pub contacts: Vec<net::SocketAddr>,
    /// What callers, backend servers and the object API speak.
    pub dialect: InterfaceDialect,
    /// Region of each failure domain.
    pub topology: topology::FleetTopology,
    /// Bounds that hold over all instances together.
    pub bounds: FleetBounds,
    /// Worker threads; `None` for one a core.
    pub threads: Option<usize>,
}

/// What callers, backend servers and the object API speak.
#[derives::value]
pub enum InterfaceDialect {
    /// The product's own interface.
    Native,
    /// That of the users' platform.
    Platform,
}

/// Bounds that hold over all instances together.
#[derives::measure]
pub struct FleetBounds {
    /// Retries of a service as a part of its requests.
    pub retry_ratio: f64,
    /// Retries beyond that part within one window.
    pub retry_slack: f64,
    /// Factor on the rate that a cold server bears.
    pub cold_overage: f64,
    /// Requests in one second beyond that rate.
    pub cold_slack: f64,
    /// Window over which a team's requests are counted.
    pub quota_window: time::Duration,
    /// Part of what a team's limit allows by which its requests may pass it.
    pub quota_overage: f64,
    /// Requests beside that part.
    pub quota_slack: f64,
    /// Longest time for which callers may use a directory's answer.
    pub lookup_ttl: time::Duration,
    /// Most that the part of a region's requests that run elsewhere may change within 2 s.
    pub max_shift: Option<f64>,
}

/// Who an instance is.
#[derives::record]
pub struct InstanceIdentity {
    /// Unique name.
    pub name: name::InstanceName,
    /// Site.
    pub site: name::SiteName,
    /// Region.
    pub region: name::RegionName,
    /// Failure domain.
    pub failure_domain: name::DomainName,
}

/// Where an instance listens.
#[derives::value]
pub struct ListenAddresses {
    /// For callers.
    pub callers: net::SocketAddr,
    /// For peers.
    pub peers: net::SocketAddr,
    /// For operators.
    pub admin: net::SocketAddr,
    /// For callers that ask which instances to use, if apart from requests.
    pub directory: Option<net::SocketAddr>,
    /// For the platform's question whether the instance takes requests.
    pub readiness: Option<net::SocketAddr>,
}

/// Where the object API is and how long to wait for it.
#[derives::value]
pub struct StoreSettings {
    /// Address of the object API.
    pub address: net::SocketAddr,
    /// Longest wait for one call.
    pub timeout: time::Duration,
}

/// Limits of the caller port.
#[derives::value]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub max_header_bytes: usize,
    /// Longest wait for a request's head.
    pub header_timeout: time::Duration,
    /// Longest pause between two parts of a body.
    pub body_pause: time::Duration,
    /// Callers' connections at once.
    pub max_connections: usize,
    /// Requests of one HTTP/1.1 connection that may be open at once, if several may.
    pub pipelined: Option<usize>,
}

/// How a planned stop goes.
#[derives::value]
pub struct StopLimits {
    /// Longest wait for open requests.
    pub max_wait: time::Duration,
    /// Time from the stop signal to the kill, if there is one.
    pub grace: Option<time::Duration>,
}

/// How long and when keys are believed.
#[derives::value]
pub struct KeyTrustSettings {
    /// Age of the tables above which keys are in doubt.
    pub max_age: time::Duration,
    /// Whether keyed requests are served when an outage of the store cannot be
    /// told from being cut off.
    pub serve_undecided: bool,
}

/// What a deployment weighs more.
#[derives::value]
pub enum DeploymentObjective {
    /// The worst-served team and wrongful refusals.
    Fairness,
    /// Latency and headroom.
    Latency,
}

impl InstanceSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns every fault of the file.
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
        let grace = check_grace(&mut faults, &raw.stop);
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
                    grace: grace?,
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

fn check_grace(
    faults: &mut fault::FaultList,
    raw: &document::StopDocument,
) -> Option<Option<time::Duration>> {
    let grace = raw.grace_s.map(|seconds| fault::check_measure(seconds, 2.0, 3_600.0));
    let grace = faults.check("stop.grace_s", grace.transpose())?;
    Some(grace.map(time::Duration::from_secs_f64))
}

fn check_bounds(
    faults: &mut fault::FaultList,
    raw: &document::BoundsDocument,
) -> Option<FleetBounds> {
    let mut check = |member: &str, value: f64, low: f64, high: f64| {
        faults.check(&format!("bounds.{member}"), fault::check_measure(value, low, high))
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
    // Port 0 stands for any free port, so that two of it do not clash.
    match others.iter().find(|(_, other)| *other == address && address.port() != 0) {
        Some((member, _)) => Err(fault::FaultKind::SameAddress(member)),
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
    let body_pause = catalogue::CALLERS_BODY_PAUSE_MS.check(raw.body_pause_ms);
    let body_pause = faults.check("callers.body_pause_ms", body_pause);
    let connections = catalogue::CALLERS_MAX_CONNECTIONS.check(raw.max_connections);
    let connections = faults.check("callers.max_connections", connections);
    let pipelined = catalogue::CALLERS_PIPELINED.check(raw.pipelined);
    let pipelined = faults.check("callers.pipelined", pipelined);
    Some(CallerLimits {
        max_header_bytes: usize::try_from(header_bytes?).ok()?,
        header_timeout: time::Duration::from_millis(header_timeout?),
        body_pause: time::Duration::from_millis(body_pause?),
        max_connections: usize::try_from(connections?).ok()?,
        pipelined: usize::try_from(pipelined?).ok().filter(|open| *open > 1),
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
    let rows = raw.contacts.iter().enumerate();
    let checked: Vec<_> = rows
        .map(|(index, text)| {
            let path = format!("peers.contacts[{index}]");
            faults.check(&path, check_reachable(text))
        })
        .collect();
    checked.into_iter().collect()
}

/// Checks an address that others are told or that is called.
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
        file_member: "peer_file",
        env_member: "peer_env",
    }
}

fn admin_source(raw: &document::SecretsDocument) -> secret::SecretSource<'_> {
    secret::SecretSource {
        file: raw.admin_file.as_deref(),
        env: raw.admin_env.as_ref(),
        file_member: "admin_file",
        env_member: "admin_env",
    }
}
