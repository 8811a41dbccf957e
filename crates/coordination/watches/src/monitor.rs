//! Decides when the open watch of each kind of object is checked.
//!
//! The instances take turns by their rank for a kind: the first checks after
//! [`CHECK_INTERVAL`] without news and reports to the others, which then need not check. If no report
//! comes, the next ones do. Invariant: an instance whose checks are answered learns of a change
//! within [`CHECK_INTERVAL`], the delay of the last rank and the time of one call, even if its watch
//! hangs and no peer is reachable.

use std::collections;
use std::sync::Arc;
use std::time as duration;

use marjoramwing_entity::rendezvous;
use marjoramwing_entity::time;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;
use marjoramwing_objects::position;

use crate::coverage;

/// Time without news after which the instance of the first rank checks its watch.
pub const CHECK_INTERVAL: duration::Duration = duration::Duration::from_millis(800);
/// Additional time for each rank. A check and its report to the other regions fit into it.
const RANK_DELAY: duration::Duration = duration::Duration::from_millis(250);
/// Rank from which the delay no longer grows.
const LAST_RANK: u32 = 2;
/// Delay of a check that a report causes, in which a watch that works returns the change itself.
const REPORT_DELAY: duration::Duration = duration::Duration::from_millis(100);

/// The watched kinds of objects, as known to one instance.
#[derive(Debug, Default)]
pub struct WatchMonitor {
    kinds: collections::BTreeMap<object::ObjectKind, MonitoredKind>,
}

#[derive(Debug)]
struct MonitoredKind {
    coverage: coverage::KindCoverage,
    /// Time of the first report since the last answer of a change that this instance may lack.
    behind_since: Option<time::Timestamp>,
}

impl WatchMonitor {
    /// Records an answer of the store to a watch, a list or a check.
    ///
    /// `confirmed_at` is a time at which the answer was true.
    pub fn record_answer(
        &mut self,
        kind: object::ObjectKind,
        answer: &operation::WatchAnswer,
        confirmed_at: time::Timestamp,
    ) {
        let listed = || MonitoredKind {
            coverage: coverage::KindCoverage::listed(answer.position, confirmed_at),
            behind_since: None,
        };
        let monitored = self.kinds.entry(kind).or_insert_with(listed);
        monitored.coverage.record_answer(answer, confirmed_at);
        monitored.behind_since = None;
    }

    /// Records what another instance reports.
    pub fn record_report(
        &mut self,
        kind: object::ObjectKind,
        report: coverage::CoverageReport,
        now: time::Timestamp,
    ) {
        let Some(monitored) = self.kinds.get_mut(&kind) else { return };
        match monitored.coverage.record_report(report, now) {
            coverage::ReportVerdict::Behind => {
                monitored.behind_since.get_or_insert(now);
            }
            coverage::ReportVerdict::Confirmed | coverage::ReportVerdict::Outdated => {}
        }
    }

    /// Returns when the open watch of a kind is to be checked, by an instance of some rank; `None`
    /// before the first answer.
    #[must_use]
    pub fn check_at(&self, kind: object::ObjectKind, rank: usize) -> Option<time::Timestamp> {
        let monitored = self.kinds.get(&kind)?;
        let rank = u32::try_from(rank).unwrap_or(LAST_RANK).min(LAST_RANK);
        let due_at = monitored.coverage.confirmed_at + CHECK_INTERVAL + RANK_DELAY * rank;
        let reported_at = monitored.behind_since.map(|since| since + REPORT_DELAY);
        Some(reported_at.map_or(due_at, |at| at.min(due_at)))
    }

    /// Returns the position up to which all changes of a kind are known.
    #[must_use]
    pub fn position(&self, kind: object::ObjectKind) -> Option<position::StorePosition> {
        self.kinds.get(&kind).map(|monitored| monitored.coverage.position)
    }

    /// Returns the last time at which the store confirmed what is known of a kind, to this instance
    /// or to another one.
    #[must_use]
    pub fn confirmed_at(&self, kind: object::ObjectKind) -> Option<time::Timestamp> {
        self.kinds.get(&kind).map(|monitored| monitored.coverage.confirmed_at)
    }

    /// Returns what to report to the other instances about a kind.
    #[must_use]
    pub fn report(
        &self,
        kind: object::ObjectKind,
        now: time::Timestamp,
    ) -> Option<coverage::CoverageReport> {
        self.kinds.get(&kind).map(|monitored| monitored.coverage.report(now))
    }
}

/// Returns the rank of an instance among others for the checks of a kind, 0 for the first.
#[must_use]
pub fn rank_of<'a>(
    kind: object::ObjectKind,
    own: &str,
    others: impl Iterator<Item = &'a Arc<str>>,
) -> usize {
    let key = rendezvous::seed_of(&kind.to_string());
    let score = |name: &str| rendezvous::score(key, rendezvous::seed_of(name));
    let own_score = score(own);
    others.filter(|name| score(name) > own_score).count()
}
