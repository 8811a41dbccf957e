//! Whether the keys may still be believed.
//!
//! Past the greatest age, the keys are believed only if a peer of every other
//! region says that the store fails its own calls too: then it fails everyone,
//! and no key can have been withdrawn meanwhile.

use std::collections;
use std::sync::Arc;
use std::time;

use marjoramwing_derives as derives;
use marjoramwing_entity::time as entity_time;

/// Whether the keys may still be believed, and why.
#[derives::value]
#[derive(serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum KeyTrust {
    /// The store confirmed the keys of late.
    Fresh,
    /// The store fails every region, so nothing was withdrawn.
    Outage,
    /// This instance may be cut off; the setting says to refuse.
    Refused,
    /// This instance may be cut off; the setting says to go on.
    Served,
}

impl KeyTrust {
    /// Tells whether keyed requests are served.
    #[must_use]
    pub const fn is_trusted(self) -> bool {
        !matches!(self, Self::Refused)
    }
}

/// Peers' words on the store, by region.
#[derive(Debug, Default)]
pub struct WitnessTable {
    heard: collections::BTreeMap<Arc<str>, RegionWitness>,
}

#[derive(Debug, Clone, Copy, Default)]
struct RegionWitness {
    failed_at: Option<entity_time::Timestamp>,
    answered_at: Option<entity_time::Timestamp>,
}

impl WitnessTable {
    /// Notes what a peer of a region said.
    pub fn note(
        &mut self,
        region: &Arc<str>,
        failing: Option<time::Duration>,
        now: entity_time::Timestamp,
    ) {
        let witness = self.heard.entry(Arc::clone(region)).or_default();
        match failing {
            Some(_) => witness.failed_at = Some(now),
            None => witness.answered_at = Some(now),
        }
    }

    /// Tells whether peers of all other regions say that the store fails them.
    ///
    /// A fleet of one region needs a witness of that region.
    #[must_use]
    pub fn agree_on_outage(
        &self,
        regions: &[Arc<str>],
        own_region: &Arc<str>,
        memory: time::Duration,
        now: entity_time::Timestamp,
    ) -> bool {
        let failed = |region: &Arc<str>| {
            let witness = self.heard.get(region);
            let at = witness.and_then(|witness| witness.failed_at);
            at.is_some_and(|at| now.since(at) <= memory)
        };
        let mut others = regions.iter().filter(|region| *region != own_region).peekable();
        if others.peek().is_none() {
            return failed(own_region);
        }
        others.all(failed)
    }

    /// Tells in which regions a peer reached the store of late.
    #[must_use]
    pub fn is_reached(&self, memory: time::Duration, now: entity_time::Timestamp) -> bool {
        let mut answers = self.heard.values().filter_map(|witness| witness.answered_at);
        answers.any(|at| now.since(at) <= memory)
    }
}
