//! Placement of sessions: which servers the requests of a session prefer.
//!
//! A server that does not know a session needs several times as long for its requests, and a
//! server that gets more sessions than it remembers knows none of them. So each session has
//! one server in its region, and one backup in another region for what exceeds the region's
//! slots. All instances of a region compute the same servers without communicating.
//!
//! Invariants: no backup is in a region with much less than the mean number of slots while
//! another remote region has more; while a share of the requests must stay remote, the
//! sessions that stay are those of the lowest rank, so that the others move only once.

use std::net;
use std::sync::Arc;

use marjoramwing_derives as derives;
use marjoramwing_entity::rendezvous;

use crate::picker;
use crate::server;
use crate::session;

/// Slots of a region that its own requests are expected to need, as a fraction of the mean
/// slots of a region.
const OWN_DEMAND_FRACTION: f64 = 0.75;
/// Difference in rank up to which sessions follow those that are placed remotely, in
/// thousandths of all sessions.
const NEXT_RANKS_MILLI: u32 = 150;

/// The servers that all instances of a region prefer for a session.
#[derives::value]
#[derive(Default)]
pub(crate) struct SessionServers {
    /// In the local region if it has an eligible server, otherwise in a remote one.
    pub(crate) primary: Option<net::SocketAddr>,
    /// In a remote region, for requests that exceed the capacity of the primary.
    pub(crate) backup: Option<net::SocketAddr>,
}

/// How a session uses its backup server.
#[derives::value]
pub(crate) enum BackupUse {
    /// Its requests go there, since its region does not serve all of its sessions yet.
    Placed,
    /// Its requests go there if those of placed sessions are too few.
    Next,
    /// Its requests go there only while its primary server is busy.
    Overflow,
}

impl BackupUse {
    /// Returns the use of the backup by a session, while the lowest ranks, as a share in
    /// thousandths, stay remote.
    pub(crate) fn of(session: session::SessionKey, min_remote_milli: u32) -> Self {
        match session.rank_milli() {
            rank if rank < min_remote_milli => Self::Placed,
            rank if rank < min_remote_milli + NEXT_RANKS_MILLI => Self::Next,
            _ => Self::Overflow,
        }
    }
}

/// Slots of each region, from which the backup servers of sessions are chosen.
#[derive(Debug, Clone, Default)]
pub(crate) struct RegionSlots {
    regions: Vec<RegionCapacity>,
}

#[derive(Debug, Clone)]
struct RegionCapacity {
    region: Option<Arc<str>>,
    seed: u64,
    slots: f64,
    is_local: bool,
}

impl RegionSlots {
    /// Sums the slots of the servers that may be chosen, by region.
    pub(crate) fn of(servers: &[server::ServerState]) -> Self {
        let mut regions: Vec<RegionCapacity> = Vec::new();
        for server in servers.iter().filter(|server| server.is_in_service()) {
            let slots = f64::from(server.slots);
            match regions.iter_mut().find(|known| known.region == server.region) {
                Some(known) => known.slots += slots,
                None => regions.push(RegionCapacity {
                    region: server.region.clone(),
                    seed: rendezvous::seed_of(server.region.as_deref().unwrap_or_default()),
                    slots,
                    is_local: server.is_local(),
                }),
            }
        }
        Self { regions }
    }

    /// Returns the share of the requests, in thousandths, that exceeds the local slots
    /// if every region has the same demand.
    pub(crate) fn expected_remote_milli(&self) -> u32 {
        let local = self.regions.iter().filter(|region| region.is_local);
        let local: f64 = local.map(|region| region.slots).sum();
        let mean = self.mean_slots();
        let served = if mean > 0.0 { (local / mean).min(1.0) } else { 0.0 };
        ((1.0 - served) * 1_000.0) as u32
    }

    /// Returns the mean number of slots of a region; zero if there is none.
    fn mean_slots(&self) -> f64 {
        let slots: f64 = self.regions.iter().map(|region| region.slots).sum();
        slots / self.regions.len().max(1) as f64
    }

    /// Returns the servers that a session prefers among those that may serve it.
    ///
    /// Their free capacity is ignored, so that the preference is stable.
    pub(crate) fn servers_for(
        &self,
        session: session::SessionKey,
        servers: &[server::ServerState],
        criteria: &picker::ServerCriteria<'_>,
    ) -> SessionServers {
        let backup_region = self.backup_region(session, criteria);
        let best = |is_candidate: &dyn Fn(&server::ServerState) -> bool| {
            let candidates = servers.iter().filter(|server| {
                server.is_in_service()
                    && is_candidate(server)
                    && criteria.admits(server.address, &server.region)
            });
            let best = candidates.max_by_key(|server| session.score(server.seed));
            best.map(|server| server.address)
        };
        let local = best(&server::ServerState::is_local);
        let remote = backup_region.and_then(|region| {
            best(&|server| !server.is_local() && server.region == region.region)
        });
        SessionServers { primary: local.or(remote), backup: local.and(remote) }
    }

    /// Returns the remote region of a session's backup server.
    ///
    /// Regions are weighted by the slots that their own requests are not expected to need, or
    /// by all their slots if no remote region has such slots.
    fn backup_region(
        &self,
        session: session::SessionKey,
        criteria: &picker::ServerCriteria<'_>,
    ) -> Option<&RegionCapacity> {
        let own_demand = OWN_DEMAND_FRACTION * self.mean_slots();
        let remote = || {
            let regions = self.regions.iter().filter(|region| !region.is_local);
            regions.filter(|region| criteria.admits_region(&region.region))
        };
        let spare = |region: &RegionCapacity| (region.slots - own_demand).max(0.0);
        let has_spare = remote().any(|region| spare(region) > 0.0);
        let scored = remote().map(|region| {
            let weight = if has_spare { spare(region) } else { region.slots };
            (session.weighted_score(region.seed, weight), region)
        });
        let best = scored.max_by(|left, right| left.0.total_cmp(&right.0));
        best.map(|(_, region)| region)
    }
}
