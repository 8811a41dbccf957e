//! The platform's lagging list of live and leaving instances.

use std::net;
use std::sync::Arc;

use marjoramwing_derives as derives;

/// The whole list.
#[derives::document]
#[derive(Default)]
pub struct InstanceListing {
    /// Entry instances of the system.
    pub instances: Vec<ListedInstance>,
    /// Backend servers.
    #[serde(default)]
    pub servers: Vec<ListedServer>,
}

/// One entry instance of the list.
#[derives::document]
pub struct ListedInstance {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Address for callers.
    pub callers: net::SocketAddr,
    /// Address for peers.
    pub peers: net::SocketAddr,
    /// Site of the instance.
    pub site: Arc<str>,
    /// Region of the instance.
    pub region: Arc<str>,
    /// Failure domain of the instance.
    pub failure_domain: Arc<str>,
    /// State as the platform last saw it.
    pub state: ListedState,
}

/// One backend server of the list.
#[derives::document]
pub struct ListedServer {
    /// Address of the server.
    pub address: net::SocketAddr,
    /// State as the platform last saw it.
    pub state: ListedState,
}

/// State of a listed process.
#[derives::document]
#[derive(Copy, Eq)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// Runs and takes work.
    Live,
    /// Finishes its work and takes no more.
    Leaving,
}
