//! A store that was restored from an older copy, as the registry of servers sees it.
//!
//! In the new era, the store gives out revisions again, lists entries that had been replaced or
//! deleted, and lacks those that are younger than its copy.

use marjoramwing_objects::object;
use marjoramwing_objects::operation;
use marjoramwing_registry::registry;

mod domains;
mod failing_calls;
mod fixture;

/// Time within which running servers register again, in milliseconds.
const REREGISTRATION_MS: u64 = 2_200;
/// Time for which an entry that seems outdated is ignored.
const OUTDATED_MS: u64 = 10_000;

/// Answers of the new era are ignored until its revisions pass the old ones.
#[test]
fn change_of_the_new_era_is_in_force_although_its_revision_is_lower() {
    let mut fixture = fixture::Fixture::start(&[fixture::ready("a", 1, 1, 5)]);
    fixture.restore();
    fixture.list(&[fixture::ready("a", 1, 1, 5), fixture::ready("b", 2, 1, 1)], 1_000);
    assert_eq!(fixture.active(1_000), [1, 2]);
    fixture.change(fixture::draining("a", 1, 1, 9), 1_100);
    assert_eq!(fixture.active(1_100), [2]);
}

/// A server that drains in the new era is shown as ready by a late answer of the old one.
#[test]
fn late_answer_of_the_older_era_changes_nothing() {
    let mut fixture = fixture::Fixture::start(&[fixture::ready("a", 1, 1, 5)]);
    fixture.change(fixture::ready("a", 1, 1, 6), 10);
    let late_position = fixture.position;
    fixture.restore();
    fixture.list(&[fixture::draining("a", 1, 1, 9)], 1_000);
    let new_position = std::mem::replace(&mut fixture.position, late_position);
    fixture.list(&[fixture::ready("a", 1, 1, 6), fixture::ready("b", 2, 1, 1)], 1_100);
    assert!(fixture.active(1_100).is_empty());
    fixture.position = new_position;
    fixture.change(fixture::ready("c", 3, 1, 1), 1_200);
    assert_eq!(fixture.active(1_200), [3]);
}

/// A running server gets no requests for up to two seconds, since the copy is older than its entry;
/// no call has failed.
fn check_server_missing_from_the_copy(registers_again: bool, expected: &[u8]) {
    let mut fixture =
        fixture::Fixture::start(&[fixture::ready("a", 1, 1, 5), fixture::ready("b", 2, 1, 5)]);
    fixture.restore();
    fixture.list(&[fixture::ready("a", 1, 1, 5)], 1_000);
    assert_eq!(fixture.active(1_000 + REREGISTRATION_MS - 1), [1, 2]);
    if registers_again {
        fixture.change(fixture::ready("b", 2, 1, 7), 1_000 + REREGISTRATION_MS - 1);
    }
    assert_eq!(fixture.active(1_000 + REREGISTRATION_MS), expected);
}

/// Over a slow link the list arrives late, and servers that are gone are kept for longer than the
/// drain bound.
#[test]
fn grace_period_of_an_era_starts_at_its_first_answer() {
    let mut fixture = fixture::Fixture::start(&[fixture::ready("a", 1, 1, 5)]);
    fixture.restore();
    fixture.registry.handle(registry::RegistryEvent::Answered, fixture::at(1_000));
    fixture.list(&[], 2_500);
    assert_eq!(fixture.active(1_000 + REREGISTRATION_MS - 1), [1]);
    assert!(fixture.active(1_000 + REREGISTRATION_MS).is_empty());
}

/// The list fails after the watch has said that its history is gone, and the period has ended when
/// it succeeds: running servers that the copy lacks are lost at once.
#[test]
fn grace_period_restarts_if_the_list_fails() {
    let mut fixture = fixture::Fixture::start(&[fixture::ready("a", 1, 1, 5)]);
    fixture.restore();
    fixture.registry.handle(registry::RegistryEvent::Answered, fixture::at(1_000));
    let failed = registry::RegistryEvent::Failed(fixture::at(1_500));
    fixture.registry.handle(failed, fixture::at(1_600));
    fixture.list(&[], 30_000);
    assert_eq!(fixture.active(30_000 + REREGISTRATION_MS - 1), [1]);
    assert!(fixture.active(30_000 + REREGISTRATION_MS).is_empty());
}

/// A running server is held for good, since the store is away again and again.
#[test]
fn outdated_entry_is_not_held_for_good_by_repeated_outages() {
    let mut fixture = fixture::Fixture::start(&[fixture::ready("a", 1, 1, 5)]);
    fixture.delete("a", 10);
    fixture.restore();
    fixture.list(&[fixture::ready("a", 1, 1, 5)], 1_000);
    for outage in 1..=9 {
        let time = 1_000 + outage * 7_000;
        fixture
            .registry
            .handle(registry::RegistryEvent::Failed(fixture::at(time)), fixture::at(time));
        fixture.drains(None, false, time + 100);
    }
    assert_eq!(fixture.active(64_200), [1]);
}

/// A draining server gets requests again, since the copy is older than its report.
fn check_draining_server_in_the_copy(sequence: Option<u64>, expected: &[u8]) {
    let mut fixture = fixture::Fixture::start(&[fixture::ready("a", 1, 1, 5)]);
    fixture.change(fixture::draining("a", 1, 1, 9), 10);
    fixture.restore();
    fixture.list(&[fixture::Entry { sequence, ..fixture::ready("a", 1, 1, 0) }], 1_000);
    assert_eq!(fixture.active(1_000), expected);
    fixture.change(fixture::draining("a", 1, 1, 11), 2_000);
    assert!(fixture.active(2_000 + OUTDATED_MS).is_empty());
}

/// A server that has left gets requests again, since the copy still lists it.
fn check_departed_server_in_the_copy(born: u64, sequence: Option<u64>, expected: &[u8]) {
    let mut fixture = fixture::Fixture::start(&[fixture::ready("a", 1, 5, 5)]);
    fixture.delete("a", 10);
    fixture.restore();
    fixture.list(&[fixture::Entry { sequence, ..fixture::ready("a", 1, born, 0) }], 1_000);
    assert_eq!(fixture.active(1_000), expected);
    fixture.delete("a", 5_500);
    assert!(fixture.active(5_500 + OUTDATED_MS).is_empty());
}

/// A running server whose entry had expired is in the copy; its heartbeats change nothing else, so
/// no change tells that it runs, and it is lost for good.
#[test]
fn server_that_the_store_keeps_after_the_restore_is_back_within_the_bound() {
    let mut fixture = fixture::Fixture::start(&[fixture::ready("a", 1, 1, 5)]);
    fixture.delete("a", 10);
    fixture.restore();
    fixture.list(
        &[fixture::Entry { sequence: fixture::NOT_STATED, ..fixture::ready("a", 1, 1, 0) }],
        1_000,
    );
    // A further list has the same entry with the same revision.
    fixture.position.revision -= 1;
    fixture.list(
        &[fixture::Entry { sequence: fixture::NOT_STATED, ..fixture::ready("a", 1, 1, 0) }],
        1_500,
    );
    assert!(fixture.active(1_000 + OUTDATED_MS - 1).is_empty());
    assert_eq!(fixture.active(1_000 + OUTDATED_MS), [1]);
}

/// An old write that the store executes late brings a server back that has left.
fn check_change_after_a_departure(entry: fixture::Entry, expected: &[u8]) {
    let mut fixture = fixture::Fixture::start(&[fixture::ready("a", 1, 5, 5)]);
    fixture.delete("a", 10);
    fixture.restore();
    fixture.list(&[], 1_000);
    fixture.change(entry, 1_500);
    assert_eq!(fixture.active(1_500), expected);
}

/// A server that took over an address is replaced by the server that had it before.
fn check_reused_address(copy: &[fixture::Entry], expected: &[u8]) {
    let mut fixture =
        fixture::Fixture::start(&[fixture::ready("a", 1, 1, 50), fixture::ready("z", 9, 1, 5)]);
    fixture.change(fixture::ready("b", 1, 20, 1), 10);
    assert_eq!(owners(&fixture), ["b"]);
    fixture.restore();
    fixture.list(copy, 1_000);
    assert_eq!(owners(&fixture), ["b"]);
    assert_eq!(fixture.active(1_000), expected);
}

/// Returns the identifiers of the servers at the first address.
fn owners(fixture: &fixture::Fixture) -> Vec<String> {
    let view = fixture.registry.view();
    let servers = view.pools.values().flatten();
    let owners = servers.filter(|server| server.address.to_string() == "10.0.0.1:80");
    owners.map(|server| server.registered.as_ref().unwrap().id.to_string()).collect()
}

/// A copy with an unreadable entry removes a server that registered after the copy was made.
#[test]
fn unreadable_entry_of_the_copy_does_not_remove_a_server_at_once() {
    let mut fixture = fixture::Fixture::start(&[fixture::ready("a", 1, 1, 5)]);
    fixture.restore();
    let unreadable = operation::ChangedValue::Malformed("not a server's entry".into());
    fixture.report(vec![("a", unreadable)], true, 1_000);
    assert_eq!(fixture.active(1_000), [1]);
    assert!(fixture.active(1_000 + REREGISTRATION_MS).is_empty());
}

/// After a second restore, the servers that are missing again are removed too soon, or those that
/// left before the first one come back.
#[test]
fn second_restore_undoes_nothing_either() {
    let mut fixture = fixture::Fixture::start(&[
        fixture::ready("a", 1, 1, 5),
        fixture::ready("b", 2, 1, 5),
        fixture::ready("c", 3, 1, 5),
    ]);
    fixture.delete("a", 10);
    fixture.change(fixture::draining("b", 2, 1, 8), 20);
    fixture.restore();
    fixture.list(&[fixture::ready("a", 1, 1, 5), fixture::ready("b", 2, 1, 5)], 1_000);
    assert_eq!(fixture.active(2_500), [3]);
    fixture.restore();
    fixture.list(&[fixture::ready("a", 1, 1, 6), fixture::ready("b", 2, 1, 6)], 2_500);
    assert_eq!(fixture.active(1_000 + REREGISTRATION_MS + 1), [3]);
    assert!(fixture.active(2_500 + REREGISTRATION_MS).is_empty());
}

/// A running server that registered after the first copy was made, and is in the second one, is held
/// like one that has left.
fn check_missing_server_in_the_second_copy(sequence: u64, expected: &[u8]) {
    let mut fixture = fixture::Fixture::start(&[fixture::ready("a", 1, 1, 5)]);
    fixture.restore();
    fixture.list(&[], 1_000);
    assert!(fixture.active(1_000 + REREGISTRATION_MS).is_empty());
    fixture.restore();
    fixture.list(&[fixture::ready("a", 1, 1, sequence)], 4_000);
    assert_eq!(fixture.active(4_000), expected);
}

/// Each heartbeat counts as a change and makes the dispatch rebuild its servers.
#[test]
fn number_of_the_heartbeat_is_no_change() {
    let mut fixture = fixture::Fixture::start(&[fixture::ready("a", 1, 1, 5)]);
    let entry = fixture::ready("a", 1, 1, 6);
    let answer =
        fixture.answer(vec![(object::ObjectKind::Servers, entry.id, entry.value())], false);
    let changes =
        fixture.registry.handle(registry::RegistryEvent::Servers(answer), fixture::at(10));
    assert!(changes.is_empty(), "{changes:?}");
}

/// An instance that starts after the return knows no earlier era and uses no server.
#[test]
fn instance_that_starts_after_the_restore_uses_the_copy() {
    let mut fixture = fixture::Fixture::start(&[]);
    fixture.registry = registry::ServerRegistry::default();
    fixture.restore();
    fixture.list(&[fixture::ready("a", 1, 1, 5), fixture::draining("b", 2, 1, 5)], 1_000);
    assert_eq!(fixture.active(1_000), [1]);
}

/// The store is away again before servers and operators could write to it, and the periods end
/// meanwhile: a server that has left returns, a running one is lost, a drained domain is restored.
#[test]
fn periods_do_not_end_while_the_store_is_away() {
    let mut fixture =
        fixture::Fixture::start(&[fixture::ready("a", 1, 1, 5), fixture::ready("b", 2, 1, 5)]);
    fixture.delete("a", 10);
    fixture.set_drained(false, 20);
    fixture.restore();
    fixture.list(&[fixture::ready("a", 1, 1, 5)], 1_000);
    fixture.drains(None, true, 1_000);
    fixture
        .registry
        .handle(registry::RegistryEvent::Failed(fixture::at(1_500)), fixture::at(1_500));
    assert!(fixture.active(30_000).is_empty());
    fixture.drains(None, false, 30_000);
    assert!(fixture.active(30_000 + REREGISTRATION_MS - 1).is_empty());
    fixture.drains(Some(operation::ChangedValue::Deleted), false, 30_000 + REREGISTRATION_MS - 1);
    assert_eq!(fixture.active(30_000 + REREGISTRATION_MS - 1), [2]);
    assert!(fixture.active(30_000 + REREGISTRATION_MS).is_empty());
    assert_eq!(fixture.active(30_000 + OUTDATED_MS), [1]);
}

marjoramwing_testing::cases! { check_server_missing_from_the_copy:
    server_missing_from_the_copy_that_registers_again_is_kept => (true, &[1, 2]);
    server_missing_from_the_copy_that_does_not_register_again_is_removed => (false, &[1]);
}

marjoramwing_testing::cases! { check_draining_server_in_the_copy:
    draining_server_does_not_turn_ready_by_an_older_heartbeat => (Some(5), &[]);
    draining_server_does_not_turn_ready_by_the_same_heartbeat => (Some(9), &[]);
    draining_server_does_not_turn_ready_without_a_heartbeat => (fixture::NOT_STATED, &[]);
    draining_server_turns_ready_by_a_newer_heartbeat => (Some(10), &[1]);
}

marjoramwing_testing::cases! { check_departed_server_in_the_copy:
    departed_server_does_not_return_by_an_older_heartbeat => (5, Some(4), &[]);
    departed_server_does_not_return_by_an_unseen_heartbeat => (5, Some(50), &[]);
    departed_server_does_not_return_without_a_heartbeat => (5, fixture::NOT_STATED, &[]);
    departed_server_does_not_return_by_an_earlier_process => (4, Some(900), &[]);
    server_that_restarted_under_the_same_identifier_returns => (6, Some(1), &[1]);
}

marjoramwing_testing::cases! { check_missing_server_in_the_second_copy:
    server_that_was_only_missing_returns_by_a_newer_heartbeat => (6, &[1]);
    server_that_was_only_missing_does_not_return_by_the_same_heartbeat => (5, &[]);
}

marjoramwing_testing::cases! { check_change_after_a_departure:
    late_write_of_a_departed_server_is_ignored => (fixture::ready("a", 1, 5, 4), &[]);
    running_server_whose_entry_had_expired_returns => (fixture::ready("a", 1, 5, 6), &[1]);
    running_server_without_heartbeats_returns =>
        (fixture::Entry { sequence: fixture::NOT_STATED, ..fixture::ready("a", 1, 5, 0) }, &[1]);
    restarted_server_returns => (fixture::ready("a", 1, 6, 1), &[1]);
}

marjoramwing_testing::cases! { check_reused_address:
    address_stays_with_its_last_owner_if_the_copy_lacks_it =>
        (&[fixture::ready("a", 1, 1, 40), fixture::ready("z", 9, 1, 5)], &[1, 9]);
    address_stays_with_its_last_owner_if_the_copy_lists_both =>
        (&[fixture::ready("b", 1, 20, 1), fixture::ready("a", 1, 1, 40), fixture::ready("z", 9, 1, 5)], &[1, 9]);
    address_does_not_go_to_an_older_server_that_was_never_seen =>
        (&[fixture::ready("c", 1, 10, 40), fixture::ready("z", 9, 1, 5)], &[1, 9]);
}
