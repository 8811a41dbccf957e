//! The platform's list of instances and backend servers, which may be stale.

use std::net;
use std::sync::Arc;

use marjoramwing_derives as derives;

/// Complete list, as the platform returns it.
#[derives::document]
#[derive(Default)]
pub struct InstanceListing {
    /// Instances of this system.
    pub instances: Vec<ListedInstance>,
    /// Backend servers.
    #[serde(default)]
    pub servers: Vec<ListedServer>,
}

/// Instance in the list.
#[derives::document]
pub struct ListedInstance {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Address that callers connect to.
    pub callers: net::SocketAddr,
    /// Address that other instances connect to.
    pub peers: net::SocketAddr,
    /// Site of the instance.
    pub site: Arc<str>,
    /// Region of the instance.
    pub region: Arc<str>,
    /// Failure domain of the instance.
    pub failure_domain: Arc<str>,
    /// State that the platform last observed.
    pub state: ListedState,
}

/// Backend server in the list.
#[derives::document]
pub struct ListedServer {
    /// Address of the server.
    pub address: net::SocketAddr,
    /// State that the platform last observed.
    pub state: ListedState,
}

/// State of a listed process.
#[derives::document]
#[derive(Copy, Eq)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// Accepts new requests.
    Live,
    /// Finishes its open requests and accepts no new ones.
    Leaving,
}
