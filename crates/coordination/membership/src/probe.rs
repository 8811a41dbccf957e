//! Outstanding probes.

use std::net;

use marjoramwing_derives as derives;
use marjoramwing_entity::incarnation;
use marjoramwing_entity::time;

/// A probe that awaits its acknowledgement.
#[derives::value]
pub struct PendingProbe {
    /// Number that the acknowledgement echoes.
    pub number: u64,
    /// Incarnation that is probed.
    pub target: incarnation::Incarnation,
    /// Current stage.
    pub stage: ProbeStage,
    /// Time at which the stage times out.
    pub deadline: time::Timestamp,
}

/// Stage of a probe.
#[derives::value]
pub enum ProbeStage {
    /// The local instance has pinged the target.
    Direct,
    /// The local instance has pinged the target again, on a new link, and has asked
    /// other members to ping it.
    Indirect,
    /// The local instance has pinged the target on behalf of another one.
    Relayed {
        /// Number of the requester's probe.
        number: u64,
        /// Peer address of the requester.
        requester: net::SocketAddr,
    },
}

/// All outstanding probes.
#[derive(Debug, Clone, Default)]
pub struct ProbeTable {
    probes: Vec<PendingProbe>,
    last_number: u64,
}

impl ProbeTable {
    /// Adds a probe and returns its number.
    pub fn add(
        &mut self,
        target: incarnation::Incarnation,
        stage: ProbeStage,
        deadline: time::Timestamp,
    ) -> u64 {
        self.last_number += 1;
        let number = self.last_number;
        self.probes.push(PendingProbe { number, target, stage, deadline });
        number
    }

    /// Adds a removed probe again for its next stage, with the same number.
    pub fn reinsert(&mut self, probe: PendingProbe) {
        self.probes.push(probe);
    }

    /// Removes and returns the probe that an acknowledgement belongs to.
    pub fn take_acknowledged(&mut self, number: u64) -> Option<PendingProbe> {
        let index = self.probes.iter().position(|probe| probe.number == number)?;
        Some(self.probes.swap_remove(index))
    }

    /// Removes and returns the probes whose stage has timed out.
    pub fn take_expired(&mut self, now: time::Timestamp) -> Vec<PendingProbe> {
        self.probes.extract_if(.., |probe| probe.deadline <= now).collect()
    }

    /// Removes all probes, after a pause in which their acknowledgements may have been missed.
    pub fn clear(&mut self) {
        self.probes.clear();
    }
}
