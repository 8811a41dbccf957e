//! The listening sockets of an instance.

use std::net;

use marjoramwing_settings::settings;

/// Why an instance could not start.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum StartError {
    /// Some addresses cannot be listened on.
    #[display("{}", join_faults(_0))]
    Listen(#[error(not(source))] Vec<ListenFault>),
    /// Signal handlers cannot be installed.
    #[display("cannot receive signals ({_0}); check the process's limits")]
    Signal(#[error(not(source))] std::io::Error),
}

/// An address that cannot be listened on.
#[derive(Debug, derive_more::Display)]
#[display(
    "listen.{role}: cannot listen on {address} ({reason}); free the port or change the setting"
)]
pub struct ListenFault {
    /// Key of the address in the `listen` settings.
    pub role: &'static str,
    /// Address that could not be bound.
    pub address: net::SocketAddr,
    /// Error of the operating system.
    pub reason: std::io::Error,
}

fn join_faults(faults: &[ListenFault]) -> String {
    let texts: Vec<_> = faults.iter().map(ToString::to_string).collect();
    texts.join("\n")
}

/// The open listening sockets of an instance.
#[derive(Debug)]
pub struct InstanceListeners {
    /// For callers.
    pub callers: tokio::net::TcpListener,
    /// For peers.
    pub peers: tokio::net::TcpListener,
    /// For operators.
    pub admin: tokio::net::TcpListener,
    /// For callers that look up which instances to use.
    pub directory: Option<tokio::net::TcpListener>,
    /// For the platform's readiness probe.
    pub readiness: Option<tokio::net::TcpListener>,
}

impl InstanceListeners {
    /// Listens on all addresses.
    ///
    /// # Errors
    ///
    /// Returns all addresses that cannot be listened on.
    pub async fn bind(listen: settings::ListenAddresses) -> Result<Self, StartError> {
        let callers = bind("callers", listen.callers).await;
        let peers = bind("peers", listen.peers).await;
        let admin = bind("admin", listen.admin).await;
        let directory = bind_optional("directory", listen.directory).await;
        let readiness = bind_optional("readiness", listen.readiness).await;
        match (callers, peers, admin, directory, readiness) {
            (Ok(callers), Ok(peers), Ok(admin), Ok(directory), Ok(readiness)) => {
                Ok(Self { callers, peers, admin, directory, readiness })
            }
            (callers, peers, admin, directory, readiness) => {
                let required = [callers.err(), peers.err(), admin.err()];
                let optional = [directory.err(), readiness.err()];
                Err(StartError::Listen(required.into_iter().chain(optional).flatten().collect()))
            }
        }
    }

    /// Returns the bound addresses, which have the actual ports where `requested` has port 0.
    #[must_use]
    pub fn addresses(&self, requested: settings::ListenAddresses) -> settings::ListenAddresses {
        let local = |listener: &tokio::net::TcpListener, requested| {
            listener.local_addr().unwrap_or(requested)
        };
        let optional = |listener: &Option<tokio::net::TcpListener>, requested| {
            listener.as_ref().and_then(|listener| listener.local_addr().ok()).or(requested)
        };
        settings::ListenAddresses {
            callers: local(&self.callers, requested.callers),
            peers: local(&self.peers, requested.peers),
            admin: local(&self.admin, requested.admin),
            directory: optional(&self.directory, requested.directory),
            readiness: optional(&self.readiness, requested.readiness),
        }
    }
}

async fn bind(
    role: &'static str,
    address: net::SocketAddr,
) -> Result<tokio::net::TcpListener, ListenFault> {
    let bound = tokio::net::TcpListener::bind(address).await;
    bound.map_err(|reason| ListenFault { role, address, reason })
}

async fn bind_optional(
    role: &'static str,
    address: Option<net::SocketAddr>,
) -> Result<Option<tokio::net::TcpListener>, ListenFault> {
    match address {
        Some(address) => bind(role, address).await.map(Some),
        None => Ok(None),
    }
}
