//! The ports of an instance.

use std::net;

use marjoramwing_settings::settings;

/// Why an instance could not start.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum StartError {
    /// Addresses cannot be listened on.
    #[display("{}", join_faults(_0))]
    Listen(#[error(not(source))] Vec<ListenFault>),
    /// Signals cannot be received.
    #[display("cannot receive signals ({_0}); check the process's limits")]
    Signal(#[error(not(source))] std::io::Error),
}

/// An address that cannot be listened on.
#[derive(Debug, derive_more::Display)]
#[display(
    "listen.{role}: cannot listen on {address} ({reason}); free the port or change the setting"
)]
pub struct ListenFault {
    /// What the port is for.
    pub role: &'static str,
    /// Address that was tried.
    pub address: net::SocketAddr,
    /// What the system said.
    pub reason: std::io::Error,
}

fn join_faults(faults: &[ListenFault]) -> String {
    let texts: Vec<_> = faults.iter().map(ToString::to_string).collect();
    texts.join("\n")
}

/// The open ports of an instance.
#[derive(Debug)]
pub struct InstanceListeners {
    /// For callers.
    pub callers: tokio::net::TcpListener,
    /// For peers.
    pub peers: tokio::net::TcpListener,
    /// For operators.
    pub admin: tokio::net::TcpListener,
    /// For callers that ask which instances to use.
    pub directory: Option<tokio::net::TcpListener>,
    /// For the platform's question whether the instance takes requests.
    pub readiness: Option<tokio::net::TcpListener>,
}

impl InstanceListeners {
    /// Listens on all addresses.
    ///
    /// # Errors
    ///
    /// Returns every address that cannot be had.
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

    /// Returns the addresses that were given, where the settings ask for port 0.
    #[must_use]
    pub fn addresses(&self, asked: settings::ListenAddresses) -> settings::ListenAddresses {
        let given =
            |listener: &tokio::net::TcpListener, asked| listener.local_addr().unwrap_or(asked);
        let optional = |listener: &Option<tokio::net::TcpListener>, asked| {
            listener.as_ref().and_then(|listener| listener.local_addr().ok()).or(asked)
        };
        settings::ListenAddresses {
            callers: given(&self.callers, asked.callers),
            peers: given(&self.peers, asked.peers),
            admin: given(&self.admin, asked.admin),
            directory: optional(&self.directory, asked.directory),
            readiness: optional(&self.readiness, asked.readiness),
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
