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
}

/// How a planned stop goes.
#[derives::value]
pub struct StopLimits {
    /// Longest wait for open requests.
    pub max_wait: time::Duration,
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
                stop: StopLimits { max_wait: time::Duration::from_millis(max_wait?) },
                objective,
                keys: keys?,
                contacts: contacts?,
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
    let listen = ListenAddresses { callers: callers?, peers: peers?, admin: admin? };
    let peers = check_distinct(listen.peers, &[("listen.callers", listen.callers)]);
    let peers = faults.check("listen.peers", peers);
    let others = [("listen.callers", listen.callers), ("listen.peers", listen.peers)];
    let admin = faults.check("listen.admin", check_distinct(listen.admin, &others));
    Some(ListenAddresses { callers: listen.callers, peers: peers?, admin: admin? })
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
    Some(CallerLimits {
        max_header_bytes: usize::try_from(header_bytes?).ok()?,
        header_timeout: time::Duration::from_millis(header_timeout?),
        body_pause: time::Duration::from_millis(body_pause?),
        max_connections: usize::try_from(connections?).ok()?,
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
