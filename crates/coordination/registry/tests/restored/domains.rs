//! Drained failure domains.

use marjoramwing_objects::operation;

use crate::fixture;

/// Time for which a domain that is missing after a restore stays drained.
const REDRAIN_MS: u64 = 10_000;

/// A drained domain gets requests, since the copy is older than its evacuation.
fn check_domain_missing_from_the_copy(is_drained_again: bool, active_after: &[u8]) {
    let mut fixture = fixture::Fixture::start(&[fixture::ready("a", 1, 1, 5)]);
    fixture.set_drained(false, 10);
    fixture.restore();
    fixture.list(&[fixture::ready("a", 1, 1, 5)], 1_000);
    fixture.drains(None, true, 1_000);
    // A further list of the same era does not end the period.
    fixture.drains(None, true, 2_000);
    assert!(fixture.active(1_000 + REDRAIN_MS - 1).is_empty());
    if is_drained_again {
        fixture.set_drained(false, 1_000 + REDRAIN_MS - 1);
    }
    assert_eq!(fixture.active(1_000 + REDRAIN_MS), active_after);
}

/// A domain that the operator takes back in the new era stays drained.
fn check_deletion_in_the_new_era(is_in_the_copy: bool) {
    let mut fixture = fixture::Fixture::start(&[fixture::ready("a", 1, 1, 5)]);
    fixture.set_drained(false, 10);
    fixture.restore();
    fixture.list(&[fixture::ready("a", 1, 1, 5)], 1_000);
    match is_in_the_copy {
        true => fixture.set_drained(true, 1_000),
        false => fixture.drains(None, true, 1_000),
    }
    fixture.drains(Some(operation::ChangedValue::Deleted), false, 1_500);
    assert_eq!(fixture.active(1_500), [1]);
}

/// A domain that is drained in the copy gets requests, although the store says that it is drained.
#[test]
fn domain_that_is_drained_again_by_the_copy_is_drained_until_it_is_deleted() {
    let mut fixture = fixture::Fixture::start(&[fixture::ready("a", 1, 1, 5)]);
    fixture.set_drained(false, 10);
    fixture.drains(Some(operation::ChangedValue::Deleted), false, 20);
    fixture.restore();
    fixture.set_drained(true, 1_000);
    assert!(fixture.active(1_000 + 2 * REDRAIN_MS).is_empty());
    fixture.drains(Some(operation::ChangedValue::Deleted), false, 30_000);
    assert_eq!(fixture.active(30_000), [1]);
}

marjoramwing_testing::cases! { check_domain_missing_from_the_copy:
    domain_missing_from_the_copy_stays_drained_for_the_period => (false, &[1]);
    domain_that_the_operator_drains_again_stays_drained => (true, &[]);
}

marjoramwing_testing::cases! { check_deletion_in_the_new_era:
    deletion_in_the_new_era_restores_a_domain_of_the_copy_at_once => (true);
    deletion_in_the_new_era_restores_a_missing_domain_at_once => (false);
}
