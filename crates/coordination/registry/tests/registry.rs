//! Tests of the registry of backend servers.

use std::sync::Arc;

use marjoramwing_entity::time;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;
use marjoramwing_objects::position;
use marjoramwing_registry::change;
use marjoramwing_registry::registry;
use marjoramwing_tables::name;

/// A registry and the revision of the simulated store that feeds it.
#[derive(Default)]
struct RegistryHarness {
    registry: registry::ServerRegistry,
    revision: u64,
}

fn registration(address: u8, state: &str, started_ms: u64) -> operation::ChangedValue {
    let text = format!(
        r#"{{"pool": "web", "address": "10.0.0.{address}:80", "failure_domain": "west-a",
            "slots": 3, "state": "{state}", "started_ms": {started_ms}}}"#
    );
    operation::ChangedValue::Included(text.into())
}

fn at(millis: u64) -> time::Timestamp {
    time::Timestamp::from_millis(millis)
}

impl RegistryHarness {
    fn report(
        &mut self,
        values: &[(&str, operation::ChangedValue)],
        is_full_list: bool,
        now: u64,
    ) -> Vec<change::RegistryChange> {
        self.revision += 1;
        let changes = values.iter().map(|(id, value)| operation::ObjectChange {
            name: object::ObjectName::new(object::ObjectKind::Servers, id),
            version: object::ObjectVersion::from(self.revision),
            value: value.clone(),
        });
        let position = position::StorePosition::without_era(self.revision);
        let answer = operation::WatchAnswer { position, changes: changes.collect(), is_full_list };
        self.registry.handle(registry::RegistryEvent::Servers(answer), at(now))
    }

    fn drain(&mut self, value: operation::ChangedValue, now: u64) {
        self.revision += 1;
        let name = object::ObjectName::new(object::ObjectKind::Drains, "west-a");
        let version = object::ObjectVersion::from(self.revision);
        let changes = vec![operation::ObjectChange { name, version, value }];
        let position = position::StorePosition::without_era(self.revision);
        let answer = operation::WatchAnswer { position, changes, is_full_list: false };
        self.registry.handle(registry::RegistryEvent::Drains(answer), at(now));
    }

    fn fail(&mut self, now: u64) {
        self.registry.handle(registry::RegistryEvent::Failed(at(now)), at(now));
    }

    /// Returns the addresses that accept new work after a tick.
    fn active_servers(&mut self, now: u64) -> Vec<String> {
        self.registry.handle(registry::RegistryEvent::Tick, at(now));
        let pool = name::PoolName::try_from(&Arc::from("web")).unwrap();
        let view = self.registry.view();
        let servers = view.pools.get(&pool).into_iter().flatten();
        let active = servers.filter(|server| !server.draining);
        active.map(|server| server.address.ip().to_string()).collect()
    }
}

#[test]
fn draining_server_gets_no_new_work() {
    let mut harness = RegistryHarness::default();
    harness.report(
        &[("a", registration(1, "ready", 1)), ("b", registration(2, "ready", 1))],
        true,
        0,
    );
    let changes = harness.report(&[("a", registration(1, "draining", 1))], false, 10);
    assert_eq!(changes, [change::RegistryChange::Draining("a".into())]);
    assert_eq!(harness.active_servers(10), ["10.0.0.2"]);
}

#[test]
fn entry_deleted_while_the_store_is_reachable_is_removed_at_once() {
    let mut harness = RegistryHarness::default();
    harness.report(&[("a", registration(1, "ready", 1))], true, 0);
    harness.report(&[("a", operation::ChangedValue::Deleted)], false, 10);
    assert!(harness.active_servers(10).is_empty());
}

/// An entry is missing when the store becomes reachable again; `registers_again` says whether the
/// server registers again.
fn check_expired_entry(registers_again: bool, active_after: usize) {
    let mut harness = RegistryHarness::default();
    harness.report(&[("a", registration(1, "ready", 1))], true, 0);
    harness.fail(1_000);
    harness.report(&[], true, 5_000);
    assert_eq!(harness.active_servers(7_000).len(), 1);
    if registers_again {
        harness.report(&[("a", registration(1, "ready", 1))], false, 7_100);
    }
    assert_eq!(harness.active_servers(7_300).len(), active_after);
}

marjoramwing_testing::cases! { check_expired_entry:
    expired_entry_that_is_registered_again_is_kept => (true, 1);
    expired_entry_that_is_not_registered_again_is_removed => (false, 0);
}

/// Over a slow link, listing all registrations takes long. The grace period for expired entries
/// must start at the store's first answer, not at the end of the listing (seen on
/// mycotrail-gslb-grown, DRAIN, scale-2).
#[test]
fn grace_period_starts_at_the_first_answer() {
    let mut harness = RegistryHarness::default();
    harness.report(&[("a", registration(1, "ready", 1))], true, 0);
    harness.fail(1_000);
    harness.registry.handle(registry::RegistryEvent::Answered, at(5_000));
    harness.report(&[], true, 6_500);
    assert_eq!(harness.active_servers(7_100).len(), 1);
    assert!(harness.active_servers(7_300).is_empty());
}

/// The first answer after an outage may be the one on drained failure domains. A call for
/// registrations that was sent before that answer and fails after it must not restart the grace
/// period.
#[test]
fn any_store_answer_ends_the_outage() {
    let mut harness = RegistryHarness::default();
    harness.report(&[("a", registration(1, "ready", 1))], true, 0);
    harness.fail(1_000);
    harness.drain(operation::ChangedValue::Deleted, 5_000);
    harness.registry.handle(registry::RegistryEvent::Failed(at(4_600)), at(5_300));
    harness.registry.handle(registry::RegistryEvent::Answered, at(6_200));
    harness.report(&[], true, 6_900);
    assert_eq!(harness.active_servers(7_100).len(), 1);
    assert!(harness.active_servers(7_300).is_empty());
}

/// The drain bound is 2.5 s. An entry that disappears just after the store becomes reachable may
/// belong to a server that left without notice, so the server must not be kept for long (seen on
/// mycotrail-gslb, trouble-1).
#[test]
fn entry_deleted_after_an_outage_is_not_kept_for_long() {
    let mut harness = RegistryHarness::default();
    harness.report(&[("a", registration(1, "ready", 1))], true, 0);
    harness.fail(1_000);
    harness.report(&[("a", registration(1, "ready", 1))], true, 5_000);
    harness.report(&[("a", operation::ChangedValue::Deleted)], false, 5_200);
    assert_eq!(harness.active_servers(5_900).len(), 1);
    assert!(harness.active_servers(6_100).is_empty());
}

/// Guards against requests to a server that left while a single call failed: heartbeats were missed
/// by nobody, so its entry was removed and has not expired.
#[test]
fn entry_deleted_beside_a_failed_call_is_removed_at_once() {
    let mut harness = RegistryHarness::default();
    harness.report(&[("a", registration(1, "ready", 1))], true, 0);
    harness.drain(operation::ChangedValue::Deleted, 9_000);
    harness.fail(9_800);
    harness.report(&[("a", operation::ChangedValue::Deleted)], false, 10_200);
    assert!(harness.active_servers(10_200).is_empty());
}

#[test]
fn draining_server_whose_entry_expires_is_removed_at_once() {
    let mut harness = RegistryHarness::default();
    harness.report(&[("a", registration(1, "draining", 1))], true, 0);
    harness.fail(1_000);
    let changes = harness.report(&[], true, 5_000);
    assert_eq!(changes, [change::RegistryChange::Left("a".into())]);
}

#[test]
fn restart_under_the_same_identifier_is_reported() {
    let mut harness = RegistryHarness::default();
    harness.report(&[("a", registration(1, "ready", 1))], true, 0);
    let changes = harness.report(&[("a", registration(1, "ready", 2))], false, 10);
    assert_eq!(changes, [change::RegistryChange::Joined("a".into())]);
}

#[test]
fn address_belongs_to_the_server_that_registered_it_last() {
    let mut harness = RegistryHarness::default();
    harness.report(&[("a", registration(1, "ready", 1))], true, 0);
    harness.report(&[("b", registration(1, "ready", 5))], false, 10);
    assert_eq!(harness.active_servers(10), ["10.0.0.1"]);
}

#[test]
fn malformed_entry_adds_no_server_and_does_not_hide_others() {
    let mut harness = RegistryHarness::default();
    let unreadable = operation::ChangedValue::Malformed("not a server's entry".into());
    harness.report(&[("a", registration(1, "ready", 1)), ("b", unreadable)], true, 0);
    let no_slots = operation::ChangedValue::Included(r#"{"pool": "web", "slots": 0}"#.into());
    let changes = harness.report(&[("c", no_slots)], false, 10);
    assert!(matches!(changes[0], change::RegistryChange::Faulty(..)), "{changes:?}");
    assert_eq!(harness.active_servers(10), ["10.0.0.1"]);
}

#[test]
fn older_answer_changes_nothing() {
    let mut harness = RegistryHarness::default();
    harness.report(&[("a", registration(1, "ready", 1))], true, 0);
    harness.report(&[("a", registration(1, "draining", 1))], false, 10);
    harness.revision -= 2;
    harness.report(&[("a", registration(1, "ready", 1))], true, 20);
    assert!(harness.active_servers(20).is_empty());
}

#[test]
fn drained_failure_domain_gets_no_new_work_until_it_is_restored() {
    let mut harness = RegistryHarness::default();
    harness.report(&[("a", registration(1, "ready", 1))], true, 0);
    harness.drain(operation::ChangedValue::Included("{}".into()), 10);
    assert!(harness.active_servers(10).is_empty());
    harness.drain(operation::ChangedValue::Deleted, 20);
    assert_eq!(harness.active_servers(20), ["10.0.0.1"]);
}
