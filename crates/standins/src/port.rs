//! An HTTP listener that closes all its connections when dropped.

use std::io;
use std::net;

use hyper_util::rt;
use hyper_util::server::conn::auto;
use hyper_util::service;

/// An HTTP listener that serves a router; dropping it closes the port and all its
/// connections.
#[derive(Debug)]
pub struct ServedPort {
    /// Address on which it listens.
    pub address: net::SocketAddr,
    task: tokio::task::JoinHandle<()>,
}

impl ServedPort {
    /// Listens on an address and serves each connection in a task.
    ///
    /// # Errors
    ///
    /// Returns an error that contains the address if it cannot be listened on.
    pub async fn open(address: net::SocketAddr, router: axum::Router) -> io::Result<Self> {
        let bound = tokio::net::TcpListener::bind(address).await;
        let listener = bound.map_err(|error| {
            let text = format!("cannot listen on {address} ({error}); free the port");
            io::Error::new(error.kind(), text)
        })?;
        let address = listener.local_addr()?;
        Ok(Self { address, task: tokio::spawn(accept_all(listener, router)) })
    }

    /// Waits until serving ends, which happens only if its task is cancelled.
    pub async fn wait(mut self) {
        let _ = (&mut self.task).await;
    }
}

impl Drop for ServedPort {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_all(listener: tokio::net::TcpListener, router: axum::Router) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        while connections.try_join_next().is_some() {}
        let _ = stream.set_nodelay(true);
        let service = service::TowerToHyperService::new(router.clone());
        connections.spawn(async move {
            let builder = auto::Builder::new(rt::TokioExecutor::new());
            let _ = builder.serve_connection(rt::TokioIo::new(stream), service).await;
        });
    }
}
