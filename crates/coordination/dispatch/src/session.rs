//! Session affinity: which server a session's requests are sent to.
//!
//! A server that handled a session recently responds to it faster. All instances rank
//! the servers of a region identically for a session (rendezvous hashing), so they
//! agree on one without communicating.

use std::collections;

use marjoramwing_derives as derives;
use marjoramwing_entity::rendezvous;

/// Maximum number of recent sessions that are kept per server.
const MAX_RECENT: usize = 64;

/// A session, identified by a hash of its name.
#[derives::value]
pub struct SessionKey(u64);

impl SessionKey {
    /// Derives the key from the name of a session.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(rendezvous::seed_of(name))
    }

    /// Returns the rendezvous score of a server; all instances prefer the highest.
    #[must_use]
    pub const fn score(self, server: ServerSeed) -> u64 {
        rendezvous::score(self.0, server.0)
    }

    /// Returns the session's rank among all sessions, in thousandths.
    #[must_use]
    pub fn rank_milli(self) -> u32 {
        // Independent of the scores, which mix the key with a server's seed.
        (rendezvous::mix(!self.0) % 1_000) as u32
    }

    /// Returns the rendezvous score of a choice that is preferred in proportion to its weight.
    #[must_use]
    pub(crate) fn weighted_score(self, seed: u64, weight: f64) -> f64 {
        const SCORES: f64 = (1_u64 << 53) as f64;
        let uniform = ((rendezvous::score(self.0, seed) >> 11) as f64 + 0.5) / SCORES;
        -weight / uniform.ln()
    }
}

/// A server, identified by a hash of its identifier or address.
#[derives::value]
pub struct ServerSeed(u64);

impl ServerSeed {
    /// Derives the seed from the identifier or address of a server.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(rendezvous::seed_of(name))
    }
}

/// The sessions that this instance most recently sent to a server.
#[derive(Debug, Clone, Default)]
pub struct RecentSessions {
    /// Oldest first.
    sessions: collections::VecDeque<SessionKey>,
}

impl RecentSessions {
    /// Returns true if the session was recently sent to the server.
    #[must_use]
    pub fn contains(&self, session: SessionKey) -> bool {
        self.sessions.contains(&session)
    }

    /// Records a session as the most recent.
    pub fn record(&mut self, session: SessionKey) {
        self.sessions.retain(|known| *known != session);
        if self.sessions.len() == MAX_RECENT {
            self.sessions.pop_front();
        }
        self.sessions.push_back(session);
    }
}
