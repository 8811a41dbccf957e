//! Idle connections to backend servers.
//!
//! Invariant: a connection returns to the pool only after the whole answer to
//! its last request was read; any other end closes it.

use std::collections;
use std::net;
use std::sync;
use std::time as duration;

use marjoramwing_entity::time;

use crate::backends::connection;

/// Idle connections kept for each backend server.
const MAX_IDLE_PER_SERVER: usize = 32;
/// Requests after which a connection is replaced.
const MAX_REQUESTS: u32 = 10_000;
/// Time for which an idle connection is kept.
const MAX_IDLE: duration::Duration = duration::Duration::from_secs(30);
/// Idle time up to which a connection may carry a request that must not repeat.
const MAX_IDLE_UNREPEATABLE: duration::Duration = duration::Duration::from_secs(2);

/// Idle connections by backend server.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: sync::Mutex<IdleTable>,
}

type IdleTable = collections::HashMap<net::SocketAddr, Vec<IdleConnection>>;

#[derive(Debug)]
struct IdleConnection {
    connection: connection::Connection,
    since: time::Timestamp,
}

impl ConnectionPool {
    /// Takes the connection that was used last, if one may carry the request.
    pub fn take(
        &self,
        address: net::SocketAddr,
        idempotent: bool,
        now: time::Timestamp,
    ) -> Option<connection::Connection> {
        let max_idle = if idempotent { MAX_IDLE } else { MAX_IDLE_UNREPEATABLE };
        let mut idle = self.lock();
        let kept = idle.get_mut(&address)?;
        kept.retain(|kept| now.since(kept.since) < MAX_IDLE && !kept.connection.is_closed());
        let newest = kept.pop_if(|kept| now.since(kept.since) < max_idle);
        newest.map(|kept| kept.connection)
    }

    /// Returns a connection whose last answer was read whole.
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
        let kept = idle.entry(address).or_default();
        if kept.len() < MAX_IDLE_PER_SERVER {
            kept.push(IdleConnection { connection, since: now });
        }
    }

    /// Closes all idle connections to a server that has gone silent.
    pub fn forget(&self, address: net::SocketAddr) {
        let forgotten = self.lock().remove(&address);
        drop(forgotten);
    }

    /// Returns the number of idle connections to a server.
    #[must_use]
    pub fn idle_count(&self, address: net::SocketAddr) -> usize {
        self.lock().get(&address).map_or(0, Vec::len)
    }

    fn lock(&self) -> sync::MutexGuard<'_, IdleTable> {
        self.idle.lock().expect("no task panics while it holds the idle connections")
    }
}
