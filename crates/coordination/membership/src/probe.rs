//! Probes that wait for an answer.

use std::net;

use marjoramwing_derives as derives;
use marjoramwing_entity::incarnation;
use marjoramwing_entity::time;

/// One probe that waits for an answer.
#[derives::value]
pub struct PendingProbe {
    /// Number that the answer repeats.
    pub number: u64,
    /// Run that is probed.
    pub target: incarnation::Incarnation,
    /// How the probe is made.
    pub stage: ProbeStage,
    /// When the stage ends.
    pub deadline: time::Timestamp,
}

/// How a probe is made.
#[derives::value]
pub enum ProbeStage {
    /// By this instance.
    Direct,
    /// By this instance on a new link, and by others.
    Indirect,
    /// On behalf of another instance.
    Relayed {
        /// Number of the asker's probe.
        number: u64,
        /// Peer address of the asker.
        asker: net::SocketAddr,
    },
}

/// All probes that wait for an answer.
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

    /// Puts a probe back for its next stage.
    pub fn put_back(&mut self, probe: PendingProbe) {
        self.probes.push(probe);
    }

    /// Takes the probe that an answer is about.
    pub fn answer(&mut self, number: u64) -> Option<PendingProbe> {
        let index = self.probes.iter().position(|probe| probe.number == number)?;
        Some(self.probes.swap_remove(index))
    }

    /// Takes the probes whose stage has ended.
    pub fn take_expired(&mut self, now: time::Timestamp) -> Vec<PendingProbe> {
        self.probes.extract_if(.., |probe| probe.deadline <= now).collect()
    }

    /// Drops all probes, when their answers were missed through a pause.
    pub fn clear(&mut self) {
        self.probes.clear();
    }
}
