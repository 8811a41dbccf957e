//! Periods and bounds of the membership protocol.

use std::time;

use marjoramwing_derives as derives;

/// Periods and bounds; the same on all instances of a deployment.
#[derives::value]
pub struct MembershipSettings {
    /// Time between two probes.
    pub probe_period: time::Duration,
    /// Longest wait for a direct answer, with the opening of a link.
    pub direct_timeout: time::Duration,
    /// Longest wait for an answer by way of others.
    pub indirect_timeout: time::Duration,
    /// Instances that are asked to probe on one's behalf.
    pub indirect_probes: usize,
    /// Time that a suspected instance has to refute.
    pub suspicion: time::Duration,
    /// Factor on the suspicion while nothing is heard from anyone.
    pub isolation_factor: u32,
    /// Silence of all others after which an instance takes itself for isolated.
    pub isolation: time::Duration,
    /// Gap between two ticks above which this process was paused.
    pub pause_limit: time::Duration,
    /// Time between two tries of an address that does not answer.
    pub contact_period: time::Duration,
    /// Time for which digests may differ before members are compared.
    pub sync_patience: time::Duration,
    /// Least time between two comparisons that this instance starts.
    pub sync_gap: time::Duration,
    /// Time for which a dead instance is remembered and tried again.
    pub dead_memory: time::Duration,
    /// Time for which a stopped run is remembered.
    pub gone_memory: time::Duration,
    /// Updates on one message.
    pub updates_per_message: usize,
    /// Times an update is sent, per doubling of the fleet.
    pub sends_per_doubling: u32,
    /// Whether a suspected instance refutes; only tests switch it off.
    pub refutes: bool,
    /// Whether a pause of this process is forgiven; only tests switch it off.
    pub forgives_pause: bool,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_period: time::Duration::from_secs(1),
            direct_timeout: time::Duration::from_secs(1),
            indirect_timeout: time::Duration::from_secs(1),
            indirect_probes: 3,
            suspicion: time::Duration::from_secs(5),
            isolation_factor: 4,
            isolation: time::Duration::from_secs(3),
            pause_limit: time::Duration::from_secs(1),
            contact_period: time::Duration::from_secs(5),
            sync_patience: time::Duration::from_secs(10),
            sync_gap: time::Duration::from_secs(1),
            dead_memory: time::Duration::from_secs(2 * 60 * 60),
            gone_memory: time::Duration::from_secs(10 * 60),
            updates_per_message: 8,
            sends_per_doubling: 3,
            refutes: true,
            forgives_pause: true,
        }
    }
}
