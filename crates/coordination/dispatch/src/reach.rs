//! Whether this instance reaches the backend servers by its own links.
//!
//! A server that does not answer this instance may have failed, or the link to it. If another instance
//! reaches it at the same time, it is the link; if that is so for several servers and none answers
//! directly, this instance has lost its links.

use std::collections;
use std::net;
use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::time;

/// Servers that only other instances reach, from which on the links count as lost.
const MIN_LOST_LINKS: usize = 2;
/// Time within which these servers must have been seen.
const EVIDENCE_TIME: duration::Duration = duration::Duration::from_secs(3);
/// Time for which a server that only others reach is not tried directly first.
const RELAY_TIME: duration::Duration = duration::Duration::from_secs(2);
/// Time for which other instances are not asked again about a server that they do not reach either.
const DEAD_TIME: duration::Duration = duration::Duration::from_millis(500);
/// Interval at which a direct connection is tried while the links are lost.
const PROBE_INTERVAL: duration::Duration = duration::Duration::from_millis(500);
/// Time for which the links are doubted after a connection fell silent.
const DOUBT_TIME: duration::Duration = duration::Duration::from_secs(1);
/// Time for which a direct connection may take before another instance is asked as well.
const HEDGE_DELAY: duration::Duration = duration::Duration::from_millis(250);

/// How to open a connection to a server.
#[derives::value]
pub enum DialPlan {
    /// Directly; through another instance as well after this time, or once that has failed.
    Direct {
        /// Time after which another instance is asked.
        hedge_after: duration::Duration,
    },
    /// Directly only, since others did not reach the server either.
    DirectOnly,
    /// Through another instance, and directly once that has failed.
    Relayed {
        /// Whether to find out meanwhile if a direct connection works again.
        probes: bool,
    },
}

/// A change of what is known of this instance's links.
#[derives::value]
pub enum ReachChange {
    /// The links to the servers are lost.
    Lost,
    /// A server was reached directly again.
    Regained,
}

/// What one instance knows of its links to the backend servers.
#[derive(Debug, Clone, Default)]
pub struct ReachMonitor {
    lost_since: Option<time::Timestamp>,
    probe_at: time::Timestamp,
    /// Time of the last sign that open connections hang.
    doubted_at: Option<time::Timestamp>,
    links: collections::HashMap<net::SocketAddr, LinkState>,
}

/// What is known of the link to one server.
#[derive(Debug, Clone, Copy)]
enum LinkState {
    /// Only other instances reached the server, at this time.
    RelayedAt(time::Timestamp),
    /// Nobody reached the server, at this time.
    DeadAt(time::Timestamp),
}

impl ReachMonitor {
    /// Decides how to open a connection to a server.
    pub fn plan(&mut self, server: net::SocketAddr, now: time::Timestamp) -> DialPlan {
        if self.lost_since.is_some() {
            let probes = now >= self.probe_at;
            if probes {
                self.probe_at = now + PROBE_INTERVAL;
            }
            return DialPlan::Relayed { probes };
        }
        match self.links.get(&server) {
            Some(LinkState::RelayedAt(at)) if now.since(*at) < RELAY_TIME => {
                DialPlan::Relayed { probes: false }
            }
            Some(LinkState::DeadAt(at)) if now.since(*at) < DEAD_TIME => DialPlan::DirectOnly,
            _ if self.is_doubted(now) => DialPlan::Direct { hedge_after: duration::Duration::ZERO },
            _ => DialPlan::Direct { hedge_after: HEDGE_DELAY },
        }
    }

    /// Records that a server was reached directly, which speaks for all links.
    pub fn record_direct(&mut self, server: net::SocketAddr) -> Option<ReachChange> {
        self.links.remove(&server);
        self.links.retain(|_, link| matches!(link, LinkState::DeadAt(_)));
        self.doubted_at = None;
        self.lost_since.take().map(|_| ReachChange::Regained)
    }

    /// Records that another instance reached a server that this one did not.
    pub fn record_relayed(
        &mut self,
        server: net::SocketAddr,
        now: time::Timestamp,
    ) -> Option<ReachChange> {
        self.expire(now);
        self.links.insert(server, LinkState::RelayedAt(now));
        let relayed = self.links.values().filter(|link| matches!(link, LinkState::RelayedAt(_)));
        if self.lost_since.is_some() || relayed.count() < MIN_LOST_LINKS {
            return None;
        }
        self.lost_since = Some(now);
        self.probe_at = now + PROBE_INTERVAL;
        Some(ReachChange::Lost)
    }

    /// Records that neither this instance nor another one reached a server.
    pub fn record_dead(&mut self, server: net::SocketAddr, now: time::Timestamp) {
        self.expire(now);
        self.links.insert(server, LinkState::DeadAt(now));
    }

    /// Records a sign that open connections hang, such as one that timed out.
    pub fn record_silence(&mut self, now: time::Timestamp) {
        self.doubted_at = Some(now);
    }

    /// Returns true if the links are lost.
    #[must_use]
    pub const fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// Returns true if a direct connection that was last used then may carry a request.
    ///
    /// While the links are lost or doubted, only one that has carried a response since is known to
    /// work.
    #[must_use]
    pub fn trusts_direct(&self, last_used: time::Timestamp, now: time::Timestamp) -> bool {
        let doubted_at = self.doubted_at.filter(|_| self.is_lost() || self.is_doubted(now));
        self.lost_since.max(doubted_at).is_none_or(|since| last_used >= since)
    }

    /// Returns true if a connection through another instance may carry a request to a server.
    #[must_use]
    pub fn trusts_relayed(&self, server: net::SocketAddr, now: time::Timestamp) -> bool {
        let is_relayed = |link: &LinkState| matches!(link, LinkState::RelayedAt(at) if now.since(*at) < RELAY_TIME);
        self.is_lost() || self.links.get(&server).is_some_and(is_relayed)
    }

    fn is_doubted(&self, now: time::Timestamp) -> bool {
        self.doubted_at.is_some_and(|at| now.since(at) < DOUBT_TIME)
    }

    fn expire(&mut self, now: time::Timestamp) {
        self.links.retain(|_, link| {
            let (LinkState::RelayedAt(at) | LinkState::DeadAt(at)) = *link;
            now.since(at) < EVIDENCE_TIME
        });
    }
}
