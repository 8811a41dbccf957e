//! The body of a backend server's answer.
//!
//! Invariant: the connection goes back to its pool only at the body's end; a
//! body that fails or is dropped early closes its connection, and the failure
//! reaches the caller as a broken answer, never as a shorter whole one.

use std::net;
use std::pin;
use std::sync;
use std::task;

use crate::backends::pool;
use crate::shared;

/// Streams an answer and frees its backend server at the end.
#[derive(Debug)]
pub struct AnswerBody {
    body: hyper::body::Incoming,
    connection: Option<pool::Connection>,
    guard: ServerGuard,
}

/// Counts a request at its backend server until dropped.
#[derive(Debug)]
pub struct ServerGuard {
    shared: sync::Arc<shared::SharedTables>,
    address: net::SocketAddr,
}

impl ServerGuard {
    /// Counts a request at a backend server.
    #[must_use]
    pub fn begin(shared: &sync::Arc<shared::SharedTables>, address: net::SocketAddr) -> Self {
        shared.picker().begin(address);
        Self { shared: sync::Arc::clone(shared), address }
    }
}

impl Drop for ServerGuard {
    fn drop(&mut self) {
        self.shared.picker().finish(self.address);
    }
}

impl AnswerBody {
    /// Wraps the body of an open answer.
    #[must_use]
    pub fn new(
        body: hyper::body::Incoming,
        connection: pool::Connection,
        guard: ServerGuard,
    ) -> Self {
        let mut answer = Self { body, connection: Some(connection), guard };
        if http_body::Body::is_end_stream(&answer.body) {
            answer.return_connection();
        }
        answer
    }

    fn return_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.guard.shared.connections.put_back(self.guard.address, connection);
        }
    }
}

impl http_body::Body for AnswerBody {
    type Data = bytes::Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<bytes::Bytes>, hyper::Error>>> {
        let polled = pin::Pin::new(&mut self.body).poll_frame(context);
        match &polled {
            task::Poll::Ready(None) => self.return_connection(),
            task::Poll::Ready(Some(Err(_))) => self.connection = None,
            task::Poll::Ready(Some(Ok(_))) if self.body.is_end_stream() => {
                self.return_connection();
            }
            task::Poll::Ready(Some(Ok(_))) | task::Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}
