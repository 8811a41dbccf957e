//! Whether the team keys may still be trusted.
//!
//! Once the tables exceed their maximum age, the keys are trusted only if peers
//! in every other region report that their calls to the store fail too. The
//! store is then unreachable for everyone, so no key can have been withdrawn
//! in the meantime.

use std::collections;
use std::sync::Arc;
use std::time;

use marjoramwing_derives as derives;
use marjoramwing_entity::time as entity_time;

/// Whether the keys may still be trusted, and why.
#[derives::value]
#[derive(serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum KeyTrust {
    /// The store confirmed the keys within the maximum age.
    Fresh,
    /// The store is unreachable from every region, so no key can have been withdrawn.
    Outage,
    /// This instance may be partitioned, and the settings say to refuse keyed requests.
    Refused,
    /// This instance may be partitioned, and the settings say to serve keyed requests.
    Served,
}

impl KeyTrust {
    /// Returns true if keyed requests are served.
    #[must_use]
    pub const fn is_trusted(self) -> bool {
        !matches!(self, Self::Refused)
    }
}

/// Reports of peers on whether the store is reachable, by region.
#[derive(Debug, Default)]
pub struct PeerReportTable {
    reports: collections::BTreeMap<Arc<str>, RegionReport>,
}

#[derive(Debug, Clone, Copy, Default)]
struct RegionReport {
    failed_at: Option<entity_time::Timestamp>,
    answered_at: Option<entity_time::Timestamp>,
}

impl PeerReportTable {
    /// Records a peer's report; `failing` is `None` if the store answers the peer.
    pub fn record(
        &mut self,
        region: &Arc<str>,
        failing: Option<time::Duration>,
        now: entity_time::Timestamp,
    ) {
        let report = self.reports.entry(Arc::clone(region)).or_default();
        match failing {
            Some(_) => report.failed_at = Some(now),
            None => report.answered_at = Some(now),
        }
    }

    /// Returns true if, within `ttl`, peers in all other regions reported a failing store.
    ///
    /// In a fleet of one region, a peer of that region must report it.
    #[must_use]
    pub fn confirms_outage(
        &self,
        regions: &[Arc<str>],
        own_region: &Arc<str>,
        ttl: time::Duration,
        now: entity_time::Timestamp,
    ) -> bool {
        let failed = |region: &Arc<str>| {
            let report = self.reports.get(region);
            let at = report.and_then(|report| report.failed_at);
            at.is_some_and(|at| now.since(at) <= ttl)
        };
        let mut others = regions.iter().filter(|region| *region != own_region).peekable();
        if others.peek().is_none() {
            return failed(own_region);
        }
        others.all(failed)
    }

    /// Returns true if a peer of any region reported within `ttl` that the store answers it.
    #[must_use]
    pub fn is_store_reachable(&self, ttl: time::Duration, now: entity_time::Timestamp) -> bool {
        let mut answers = self.reports.values().filter_map(|report| report.answered_at);
        answers.any(|at| now.since(at) <= ttl)
    }
}
