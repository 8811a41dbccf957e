//! Grace periods while the store fails now and then.

use marjoramwing_registry::registry;

use crate::fixture;

/// A call fails and the next one succeeds.
fn flap(fixture: &mut fixture::Fixture, now: u64) {
    let failed = registry::RegistryEvent::Failed(fixture::at(now));
    fixture.registry.handle(failed, fixture::at(now + 10));
    fixture.report(Vec::new(), false, now + 300);
}

// A failure domain whose evacuation was lost and taken back stayed drained for as long as single
// calls failed now and then.
#[test]
fn lost_evacuation_ends_although_calls_fail_now_and_then() {
    let mut fixture = fixture::Fixture::start(&[fixture::ready("a", 1, 1, 5)]);
    fixture.set_drained(true, 0);
    assert!(fixture.active(10).is_empty());
    fixture.restore();
    fixture.drains(None, true, 1_000);
    fixture.list(&[fixture::ready("a", 1, 1, 5)], 1_000);
    for now in (6_000..306_000).step_by(5_000) {
        flap(&mut fixture, now);
    }
    assert_eq!(fixture.active(306_400), [1]);
}

// A server that the copy lacks, and that did not register again, was used for as long as single
// calls failed now and then.
#[test]
fn missing_server_leaves_although_calls_fail_now_and_then() {
    let mut fixture =
        fixture::Fixture::start(&[fixture::ready("a", 1, 1, 5), fixture::ready("b", 2, 1, 5)]);
    fixture.restore();
    fixture.list(&[fixture::ready("a", 1, 1, 5)], 1_000);
    for now in (2_500..302_500).step_by(1_500) {
        flap(&mut fixture, now);
        fixture.active(now + 400);
    }
    assert_eq!(fixture.active(302_900), [1]);
}
