//! Pool of idle connections to backend servers.
//!
//! Invariant: a connection returns to the pool only after the response to its
//! last request has been read completely; otherwise it is closed.

use std::collections;
use std::net;
use std::sync;
use std::time as duration;

use marjoramwing_entity::time;

use crate::backends::connection;

/// Maximum number of idle connections per backend server.
const MAX_IDLE_PER_SERVER: usize = 32;
/// Number of requests after which a connection is not reused.
const MAX_REQUESTS: u32 = 10_000;
/// Time after which an idle connection is closed.
const MAX_IDLE: duration::Duration = duration::Duration::from_secs(30);
/// Maximum idle time of a connection through another instance, which waits for its end when it stops.
const MAX_IDLE_RELAYED: duration::Duration = duration::Duration::from_secs(2);
/// Maximum idle time of a connection that is reused for a non-idempotent request.
const MAX_IDLE_NON_IDEMPOTENT: duration::Duration = duration::Duration::from_secs(2);

/// Idle connections, by the address of the backend server.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: sync::Mutex<IdleTable>,
}

type IdleTable = collections::HashMap<net::SocketAddr, Vec<IdleConnection>>;

#[derive(Debug)]
struct IdleConnection {
    connection: connection::Connection,
    idle_since: time::Timestamp,
}

impl IdleConnection {
    const fn max_idle(&self) -> duration::Duration {
        match self.connection.relay_region() {
            Some(_) => MAX_IDLE_RELAYED,
            None => MAX_IDLE,
        }
    }
}

impl ConnectionPool {
    /// Closes the idle connections through other instances that were not used for a while.
    pub fn close_relayed(&self, now: time::Timestamp) {
        let mut idle = self.lock();
        for connections in idle.values_mut() {
            connections.retain(|idle| {
                let is_relayed = idle.connection.relay_region().is_some();
                !is_relayed || now.since(idle.idle_since) < MAX_IDLE_RELAYED
            });
        }
    }

    /// Takes the most recently used connection to a server, if it may carry the request.
    ///
    /// A non-idempotent request gets only a connection that was used recently. Connections that are not
    /// usable, given the time of their last use, are closed.
    pub fn take(
        &self,
        address: net::SocketAddr,
        idempotent: bool,
        is_usable: impl Fn(&connection::Connection, time::Timestamp) -> bool,
        now: time::Timestamp,
    ) -> Option<connection::Connection> {
        let max_idle = if idempotent { MAX_IDLE } else { MAX_IDLE_NON_IDEMPOTENT };
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        connections.retain(|idle| {
            now.since(idle.idle_since) < idle.max_idle()
                && !idle.connection.is_closed()
                && is_usable(&idle.connection, idle.idle_since)
        });
        let newest = connections.pop_if(|newest| now.since(newest.idle_since) < max_idle);
        newest.map(|idle| idle.connection)
    }

    /// Returns a connection whose last response was read completely.
    pub fn put_back(
        &self,
        address: net::SocketAddr,
        mut connection: connection::Connection,
        now: time::Timestamp,
    ) {
        if !connection.finish() || connection.requests() >= MAX_REQUESTS {
            return;
        }
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_SERVER {
            connections.push(IdleConnection { connection, idle_since: now });
        }
    }

    /// Closes all idle connections to an unresponsive server.
    pub fn close_idle(&self, address: net::SocketAddr) {
        let closed = self.lock().remove(&address);
        drop(closed);
    }

    /// Returns the number of idle connections to a server.
    #[must_use]
    pub fn idle_count(&self, address: net::SocketAddr) -> usize {
        self.lock().get(&address).map_or(0, Vec::len)
    }

    fn lock(&self) -> sync::MutexGuard<'_, IdleTable> {
        self.idle.lock().expect("no task panics while it holds the lock on the idle connections")
    }
}
