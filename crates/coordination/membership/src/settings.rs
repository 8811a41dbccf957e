//! Periods, timeouts and limits of the membership protocol.

use std::time;

use marjoramwing_derives as derives;

/// Protocol settings, which must be the same on all instances of a deployment.
#[derives::value]
pub struct MembershipSettings {
    /// Average time between two probes.
    pub probe_period: time::Duration,
    /// Timeout of a direct probe, which includes opening a link.
    pub direct_timeout: time::Duration,
    /// Timeout of an indirect probe.
    pub indirect_timeout: time::Duration,
    /// Maximum number of members that are asked to ping an unresponsive target.
    pub indirect_probes: usize,
    /// Time that a suspected member has to refute the suspicion.
    pub suspicion_timeout: time::Duration,
    /// Factor by which `suspicion_timeout` is multiplied while the local instance is isolated.
    pub isolation_factor: u32,
    /// Time without any received message after which an instance considers itself isolated.
    pub isolation_timeout: time::Duration,
    /// Gap between two ticks above which the local process counts as having been paused.
    pub pause_threshold: time::Duration,
    /// Average time between two attempts to reach an address without a present member.
    ///
    /// Each attempt picks one of these addresses at random.
    pub contact_period: time::Duration,
    /// Time for which digests may differ before a full sync is requested.
    pub digest_mismatch_timeout: time::Duration,
    /// Minimum time between two full syncs that an instance requests because of a received
    /// message.
    pub min_sync_interval: time::Duration,
    /// Time for which a dead member's record is kept and its address is retried.
    pub dead_retention: time::Duration,
    /// Time for which the record of a gone incarnation is kept.
    pub gone_retention: time::Duration,
    /// Maximum number of queued updates piggybacked on one message.
    pub updates_per_message: usize,
    /// Number of times an update is sent, per doubling of the number of members.
    pub sends_per_doubling: u32,
    /// Whether a suspected instance refutes the suspicion; disabled only in tests.
    pub refutes_suspicion: bool,
    /// Whether pauses of the local process are excluded from timeouts; disabled only in tests.
    pub compensates_pause: bool,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_period: time::Duration::from_secs(1),
            direct_timeout: time::Duration::from_secs(1),
            indirect_timeout: time::Duration::from_secs(1),
            indirect_probes: 3,
            suspicion_timeout: time::Duration::from_secs(5),
            isolation_factor: 4,
            isolation_timeout: time::Duration::from_secs(3),
            pause_threshold: time::Duration::from_secs(1),
            contact_period: time::Duration::from_secs(5),
            digest_mismatch_timeout: time::Duration::from_secs(10),
            min_sync_interval: time::Duration::from_secs(1),
            dead_retention: time::Duration::from_secs(2 * 60 * 60),
            gone_retention: time::Duration::from_secs(10 * 60),
            updates_per_message: 8,
            sends_per_doubling: 3,
            refutes_suspicion: true,
            compensates_pause: true,
        }
    }
}
