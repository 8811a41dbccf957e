//! Conversion of reports about watched kinds of objects.

use std::time;

use marjoramwing_objects::object;
use marjoramwing_objects::position;
use marjoramwing_peer::coverage;
use marjoramwing_watches::coverage as decision;

fn report(kind: object::ObjectKind) -> coverage::KindReport {
    let at = |revision| position::StorePosition { era: position::StoreEra(2), revision };
    let age = time::Duration::from_millis(120);
    let report = decision::CoverageReport { changed_at: at(7), position: at(9), age };
    coverage::KindReport { kind, report }
}

fn check_round_trip(kind: object::ObjectKind) {
    let sent = report(kind);
    assert_eq!(coverage::KindReport::try_from(coverage::Coverage::from(sent)), Ok(sent));
}

fn check_rejected(change: fn(&mut coverage::Coverage), error: coverage::CoverageError) {
    let mut raw = coverage::Coverage::from(report(object::ObjectKind::Servers));
    change(&mut raw);
    assert_eq!(coverage::KindReport::try_from(raw), Err(error));
}

marjoramwing_testing::cases! { check_round_trip:
    tables_are_kept => (object::ObjectKind::Tables);
    servers_are_kept => (object::ObjectKind::Servers);
    drains_are_kept => (object::ObjectKind::Drains);
}

marjoramwing_testing::cases! { check_rejected:
    unknown_kind_is_rejected => (|raw| raw.kind = 77, coverage::CoverageError::Kind);
    missing_position_is_rejected => (|raw| raw.position = None, coverage::CoverageError::Position);
    missing_change_is_rejected => (|raw| raw.changed_at = None, coverage::CoverageError::Position);
    change_after_the_position_is_rejected => (
        |raw| raw.changed_at = Some(coverage::Position { era: 2, revision: 10 }),
        coverage::CoverageError::Position,
    );
}
