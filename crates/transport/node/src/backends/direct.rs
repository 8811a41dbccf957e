//! Opens connections to backend servers without another instance between.

use std::fmt;
use std::io;
use std::net;
use std::time;

use futures_util::FutureExt;
use futures_util::future;
use marjoramwing_derives as derives;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Why no connection could be opened.
#[derives::value]
#[derive(derive_more::Display, derive_more::Error)]
pub enum DialFault {
    /// Nothing listens at the address.
    #[display("refused")]
    Refused,
    /// No answer came in time.
    #[display("timed out")]
    TimedOut,
    /// Any other error.
    #[display("failed")]
    Failed,
}

/// Opens TCP connections; the edge of the process towards the backend servers.
pub trait DirectDialer: fmt::Debug + Send + Sync {
    /// Opens a connection.
    fn dial(
        &self,
        address: net::SocketAddr,
    ) -> future::BoxFuture<'static, io::Result<tokio::net::TcpStream>>;
}

/// Opens connections through the operating system.
#[derive(Debug, Clone, Copy)]
pub struct TcpDialer;

impl DirectDialer for TcpDialer {
    fn dial(
        &self,
        address: net::SocketAddr,
    ) -> future::BoxFuture<'static, io::Result<tokio::net::TcpStream>> {
        tokio::net::TcpStream::connect(address).boxed()
    }
}

/// Opens a connection within the connect timeout.
///
/// # Errors
///
/// Returns the fault if that is not possible.
pub async fn dial(
    dialer: &dyn DirectDialer,
    address: net::SocketAddr,
) -> Result<tokio::net::TcpStream, DialFault> {
    match tokio::time::timeout(CONNECT_TIMEOUT, dialer.dial(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) => Err(DialFault::from(error.kind())),
        Err(_) => Err(DialFault::TimedOut),
    }
}

impl From<io::ErrorKind> for DialFault {
    fn from(kind: io::ErrorKind) -> Self {
        match kind {
            io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => Self::Refused,
            io::ErrorKind::TimedOut => Self::TimedOut,
            _ => Self::Failed,
        }
    }
}
