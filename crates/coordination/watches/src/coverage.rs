//! What an instance knows of the changes of one kind of object.
//!
//! Invariant: no object of the kind has changed after [`KindCoverage::changed_at`], up to and
//! including [`KindCoverage::position`], and all changes up to there are known.

use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::time;
use marjoramwing_objects::operation;
use marjoramwing_objects::position;

/// Known changes of one kind of object.
#[derives::value]
pub struct KindCoverage {
    /// Position by which all known changes had happened.
    pub changed_at: position::StorePosition,
    /// Position up to which all changes are known.
    pub position: position::StorePosition,
    /// Time at which that was known to be the newest position with changes.
    pub confirmed_at: time::Timestamp,
}

/// What another instance has found about one kind of object.
#[derives::value]
pub struct CoverageReport {
    /// Position by which the last change that the sender knows had happened.
    pub changed_at: position::StorePosition,
    /// Position up to which the sender knows all changes.
    pub position: position::StorePosition,
    /// Time since the store has confirmed that to the sender.
    pub age: duration::Duration,
}

/// What a report says about the coverage of the instance that receives it.
#[derives::value]
pub enum ReportVerdict {
    /// The receiver knows all changes that the sender knows.
    Confirmed,
    /// The sender may know of a change that the receiver does not.
    Behind,
    /// The receiver knows of a later position.
    Outdated,
}

impl KindCoverage {
    /// Creates the coverage after the first list of all objects.
    #[must_use]
    pub const fn listed(position: position::StorePosition, now: time::Timestamp) -> Self {
        // When the objects on a list were last changed, or others deleted, is not known.
        Self { changed_at: position, position, confirmed_at: now }
    }

    /// Records an answer of the store that was true at `confirmed_at`.
    pub fn record_answer(
        &mut self,
        answer: &operation::WatchAnswer,
        confirmed_at: time::Timestamp,
    ) {
        if answer.position < self.position {
            return;
        }
        if answer.is_full_list || !answer.changes.is_empty() {
            self.changed_at = answer.position;
        }
        self.position = answer.position;
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
    }

    /// Compares the coverage with what another instance reports and takes over what it confirms.
    pub fn record_report(&mut self, report: CoverageReport, now: time::Timestamp) -> ReportVerdict {
        if report.position < self.position {
            return ReportVerdict::Outdated;
        }
        if self.position < report.changed_at {
            return ReportVerdict::Behind;
        }
        // Nothing has changed between the two positions, so both know the same changes.
        self.changed_at = self.changed_at.min(report.changed_at);
        self.position = report.position;
        self.confirmed_at = self.confirmed_at.max(now - report.age);
        ReportVerdict::Confirmed
    }

    /// Returns what to report to other instances.
    #[must_use]
    pub const fn report(&self, now: time::Timestamp) -> CoverageReport {
        let age = now.since(self.confirmed_at);
        CoverageReport { changed_at: self.changed_at, position: self.position, age }
    }
}
