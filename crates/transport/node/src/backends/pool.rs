//! Idle connections to backend servers, and the sending of one attempt.
//!
//! Invariant: a connection returns to the pool only after the whole answer to
//! its last request was read; any other end closes it.

use std::collections;
use std::net;
use std::sync;

use hyper::client::conn::http1;
use hyper_util::rt;
use marjoramwing_derives as derives;
use marjoramwing_dispatch::exchange;

/// Idle connections kept for each backend server.
const MAX_IDLE_PER_SERVER: usize = 32;

/// Body of a request on its way to a backend server.
pub type RequestBody = axum::body::Body;

/// One open connection.
pub type Connection = http1::SendRequest<RequestBody>;

/// Idle connections by backend server.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: sync::Mutex<collections::HashMap<net::SocketAddr, Vec<Connection>>>,
}

/// An answer whose head has arrived, with its connection.
#[derive(Debug)]
pub struct OpenAnswer {
    /// Head and unread body.
    pub response: http::Response<hyper::body::Incoming>,
    /// Connection that carries the body.
    pub connection: Connection,
}

/// A failed attempt.
#[derive(Debug)]
pub struct FailedAttempt {
    /// How far the attempt came.
    pub state: exchange::AttemptState,
    /// The request, if it was not sent.
    pub request: Option<Box<http::Request<RequestBody>>>,
    /// What failed.
    pub kind: FailureKind,
}

/// What failed in an attempt.
#[derives::value]
pub enum FailureKind {
    /// The connection could not be opened.
    Connect,
    /// The exchange broke off.
    Exchange,
}

impl ConnectionPool {
    /// Sends one request to a backend server and waits for the answer's head.
    ///
    /// # Errors
    ///
    /// Returns how far the attempt came when no answer arrived.
    pub async fn send(
        &self,
        address: net::SocketAddr,
        request: http::Request<RequestBody>,
    ) -> Result<OpenAnswer, FailedAttempt> {
        let mut connection = match self.take_idle(address) {
            Some(connection) => connection,
            None => match open_connection(address).await {
                Some(connection) => connection,
                None => return Err(not_sent(request, FailureKind::Connect)),
            },
        };
        match connection.try_send_request(request).await {
            Ok(response) => Ok(OpenAnswer { response, connection }),
            Err(mut error) => Err(match error.take_message() {
                Some(request) => not_sent(request, FailureKind::Exchange),
                None => FailedAttempt {
                    state: exchange::AttemptState::PossiblySent,
                    request: None,
                    kind: FailureKind::Exchange,
                },
            }),
        }
    }

    /// Returns a connection whose last answer was read whole.
    pub fn put_back(&self, address: net::SocketAddr, connection: Connection) {
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_SERVER {
            connections.push(connection);
        }
    }

    fn take_idle(&self, address: net::SocketAddr) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::HashMap<net::SocketAddr, Vec<Connection>>> {
        self.idle.lock().expect("no task panics while it holds the idle connections")
    }
}

async fn open_connection(address: net::SocketAddr) -> Option<Connection> {
    let stream = tokio::net::TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(rt::TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

fn not_sent(request: http::Request<RequestBody>, kind: FailureKind) -> FailedAttempt {
    let state = exchange::AttemptState::NotSent;
    FailedAttempt { state, request: Some(Box::new(request)), kind }
}
