//! Which server a session's requests go to.
//!
//! A server that has handled a session of late answers it faster. All
//! instances rank the servers of a region alike for a session (rendezvous
//! hashing), so that they send it to the same one without a message.

use std::collections;

use marjoramwing_derives as derives;
use marjoramwing_entity::rendezvous;

/// Sessions that are remembered for each server.
const MAX_REMEMBERED: usize = 64;

/// A session, by a hash of its name.
#[derives::value]
pub struct SessionKey(u64);

impl SessionKey {
    /// Names a session.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(rendezvous::seed_of(name))
    }

    /// Returns the rank value of a server; the greatest is preferred by all instances.
    #[must_use]
    pub const fn score(self, server: ServerSeed) -> u64 {
        rendezvous::score(self.0, server.0)
    }
}

/// A server, by a hash of its identifier or address.
#[derives::value]
pub struct ServerSeed(u64);

impl ServerSeed {
    /// Names a server.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(rendezvous::seed_of(name))
    }
}

/// The sessions that this instance last sent to a server.
#[derive(Debug, Clone, Default)]
pub struct SessionMemory {
    /// Oldest first.
    sessions: collections::VecDeque<SessionKey>,
}

impl SessionMemory {
    /// Tells whether the server handled the session of late.
    #[must_use]
    pub fn holds(&self, session: SessionKey) -> bool {
        self.sessions.contains(&session)
    }

    /// Remembers a session as the newest.
    pub fn note(&mut self, session: SessionKey) {
        self.sessions.retain(|known| *known != session);
        if self.sessions.len() == MAX_REMEMBERED {
            self.sessions.pop_front();
        }
        self.sessions.push_back(session);
    }
}
