//! One pipelined connection in front of a router of the test.

use std::net;
use std::sync;
use std::time;

use marjoramwing_node::callers::handler;
use marjoramwing_node::pipeline::connection;
use marjoramwing_node::shared;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio_util::sync as cancellation;

use crate::support;

/// Time limit for one wait in a test.
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// A served connection and its caller's side.
pub(crate) struct TestConnection {
    pub(crate) caller: tokio::net::TcpStream,
    pub(crate) served: tokio::task::JoinHandle<connection::ConnectionEnd>,
    pub(crate) stop: cancellation::CancellationToken,
    pub(crate) shared: sync::Arc<shared::InstanceState>,
}

impl TestConnection {
    /// Starts a connection; `timeout` is that of a head and of a write.
    pub(crate) async fn start(router: axum::Router, timeout: time::Duration) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let caller = tokio::net::TcpStream::connect(address).await.unwrap();
        let (stream, peer) = listener.accept().await.unwrap();
        Self::serve(caller, stream, peer, router, timeout)
    }

    /// Serves `stream`, whose other end is `caller`.
    pub(crate) fn serve(
        caller: tokio::net::TcpStream,
        stream: tokio::net::TcpStream,
        peer: net::SocketAddr,
        router: axum::Router,
        timeout: time::Duration,
    ) -> Self {
        let address = stream.local_addr().unwrap();
        let shared = support::make_shared("i", address, "a secret of this test");
        let handler = handler::RequestHandler { shared: sync::Arc::clone(&shared), router, peer };
        let limits = connection::PipelineLimits {
            max_head_bytes: 16 * 1024,
            head_timeout: timeout,
            write_timeout: timeout,
            max_open: 4,
        };
        let connection = connection::PipelinedConnection::new(stream, handler, limits);
        let stop = cancellation::CancellationToken::new();
        let served = tokio::spawn(connection.serve(stop.clone()));
        Self { caller, served, stop, shared }
    }

    pub(crate) async fn write(&mut self, text: &str) {
        self.caller.write_all(text.as_bytes()).await.unwrap();
    }

    /// Reads until the connection is closed or reset.
    pub(crate) async fn read_to_end(&mut self) -> String {
        let mut bytes = Vec::new();
        let read = tokio::time::timeout(WAIT_TIMEOUT, self.caller.read_to_end(&mut bytes));
        let _ = read.await.expect("the connection neither responds nor closes");
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

/// Returns the status codes of the responses in `text`, in order.
pub(crate) fn statuses(text: &str) -> Vec<&str> {
    text.split("HTTP/1.1 ").skip(1).map(|response| &response[..3]).collect()
}
