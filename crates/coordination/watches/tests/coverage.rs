//! What a report of another instance says about one's own coverage.

use std::time as duration;

use marjoramwing_entity::time;
use marjoramwing_objects::position;
use marjoramwing_watches::coverage;

const AGE: duration::Duration = duration::Duration::from_millis(300);

fn position(era: u64, revision: u64) -> position::StorePosition {
    position::StorePosition { era: position::StoreEra(era), revision }
}

fn at(millis: u64) -> time::Timestamp {
    time::Timestamp::from_millis(millis)
}

fn check_verdict(
    reported: (position::StorePosition, position::StorePosition),
    verdict: coverage::ReportVerdict,
) {
    let known = coverage::KindCoverage {
        changed_at: position(1, 40),
        position: position(1, 50),
        confirmed_at: at(1_000),
    };
    let (changed_at, position) = reported;
    let report = coverage::CoverageReport { changed_at, position, age: AGE };
    let mut coverage = known;
    assert_eq!(coverage.record_report(report, at(5_000)), verdict);
    match verdict {
        coverage::ReportVerdict::Confirmed => {
            assert_eq!(coverage.position, position);
            assert_eq!(coverage.confirmed_at, at(4_700));
        }
        _ => assert_eq!(coverage, known),
    }
}

marjoramwing_testing::cases! { check_verdict:
    same_position_confirms =>
        ((position(1, 40), position(1, 50)), coverage::ReportVerdict::Confirmed);
    later_position_without_a_change_confirms =>
        ((position(1, 40), position(1, 70)), coverage::ReportVerdict::Confirmed);
    change_that_is_known_confirms =>
        ((position(1, 50), position(1, 70)), coverage::ReportVerdict::Confirmed);
    change_after_the_position_is_missing =>
        ((position(1, 51), position(1, 70)), coverage::ReportVerdict::Behind);
    earlier_position_says_nothing =>
        ((position(1, 30), position(1, 49)), coverage::ReportVerdict::Outdated);
    later_era_is_missing =>
        ((position(2, 10), position(2, 20)), coverage::ReportVerdict::Behind);
    earlier_era_says_nothing =>
        ((position(0, 60), position(0, 90)), coverage::ReportVerdict::Outdated);
}

/// An instance that has only listed takes over from others how long nothing has changed.
#[test]
fn listed_coverage_adopts_the_last_change() {
    let mut coverage = coverage::KindCoverage::listed(position(1, 60), at(0));
    let report = coverage::CoverageReport {
        changed_at: position(1, 40),
        position: position(1, 60),
        age: AGE,
    };
    coverage.record_report(report, at(1_000));
    assert_eq!(coverage.report(at(1_000)), report);
}
