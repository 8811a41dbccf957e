//! What an instance believes of backend servers that register themselves.

use std::sync::Arc;

use marjoramwing_entity::time;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;
use marjoramwing_registry::change;
use marjoramwing_registry::registry;
use marjoramwing_tables::name;

/// A registry with the store that it hears of.
#[derive(Default)]
struct Trial {
    registry: registry::ServerRegistry,
    revision: u64,
}

fn value(address: u8, state: &str, started_ms: u64) -> operation::ChangedValue {
    let text = format!(
        r#"{{"pool": "web", "address": "10.0.0.{address}:80", "failure_domain": "west-a",
            "slots": 3, "state": "{state}", "started_ms": {started_ms}}}"#
    );
    operation::ChangedValue::Told(text.into())
}

fn at(millis: u64) -> time::Timestamp {
    time::Timestamp::from_millis(millis)
}

impl Trial {
    fn tell(
        &mut self,
        told: &[(&str, operation::ChangedValue)],
        is_whole: bool,
        now: u64,
    ) -> Vec<change::RegistryChange> {
        self.revision += 1;
        let changes = told.iter().map(|(id, value)| operation::ObjectChange {
            name: object::ObjectName::new(object::ObjectKind::Servers, id),
            version: object::ObjectVersion(self.revision),
            value: value.clone(),
        });
        let (revision, changes) = (self.revision, changes.collect());
        let answer = operation::WatchAnswer { revision, changes, is_whole };
        self.registry.handle(registry::RegistryEvent::Servers(answer), at(now))
    }

    fn drain(&mut self, value: operation::ChangedValue, now: u64) {
        self.revision += 1;
        let name = object::ObjectName::new(object::ObjectKind::Drains, "west-a");
        let version = object::ObjectVersion(self.revision);
        let changes = vec![operation::ObjectChange { name, version, value }];
        let answer = operation::WatchAnswer { revision: self.revision, changes, is_whole: false };
        self.registry.handle(registry::RegistryEvent::Drains(answer), at(now));
    }

    fn fail(&mut self, now: u64) {
        self.registry.handle(registry::RegistryEvent::Failed(at(now)), at(now));
    }

    /// Returns the addresses that get new work after a tick.
    fn working(&mut self, now: u64) -> Vec<String> {
        self.registry.handle(registry::RegistryEvent::Tick, at(now));
        let pool = name::PoolName::try_from(&Arc::from("web")).unwrap();
        let view = self.registry.view();
        let servers = view.pools.get(&pool).into_iter().flatten();
        let working = servers.filter(|server| !server.draining);
        working.map(|server| server.address.ip().to_string()).collect()
    }
}

#[test]
fn draining_server_gets_no_new_work() {
    let mut trial = Trial::default();
    trial.tell(&[("a", value(1, "ready", 1)), ("b", value(2, "ready", 1))], true, 0);
    let changes = trial.tell(&[("a", value(1, "draining", 1))], false, 10);
    assert_eq!(changes, [change::RegistryChange::Draining("a".into())]);
    assert_eq!(trial.working(10), ["10.0.0.2"]);
}

#[test]
fn entry_that_goes_in_calm_times_is_gone_at_once() {
    let mut trial = Trial::default();
    trial.tell(&[("a", value(1, "ready", 1))], true, 0);
    trial.tell(&[("a", operation::ChangedValue::Deleted)], false, 10);
    assert!(trial.working(10).is_empty());
}

/// An entry is missing when the store is back; `returns` tells whether it comes again.
fn check_lapse(returns: bool, working_after: usize) {
    let mut trial = Trial::default();
    trial.tell(&[("a", value(1, "ready", 1))], true, 0);
    trial.fail(1_000);
    trial.tell(&[], true, 5_000);
    assert_eq!(trial.working(7_000).len(), 1);
    if returns {
        trial.tell(&[("a", value(1, "ready", 1))], false, 7_100);
    }
    assert_eq!(trial.working(7_300).len(), working_after);
}

marjoramwing_testing::cases! { check_lapse:
    lapsed_entry_that_returns_was_never_lost => (true, 1);
    lapsed_entry_that_does_not_return_is_gone => (false, 0);
}

/// Listing all registrations takes a while over a slow link; the time in which
/// entries come back runs from the store's first answer (DRAIN on
/// mycotrail-gslb-grown, scale-2).
#[test]
fn lapsed_entry_is_waited_for_from_the_first_answer_on() {
    let mut trial = Trial::default();
    trial.tell(&[("a", value(1, "ready", 1))], true, 0);
    trial.fail(1_000);
    trial.registry.handle(registry::RegistryEvent::Answered, at(5_000));
    trial.tell(&[], true, 6_500);
    assert_eq!(trial.working(7_100).len(), 1);
    assert!(trial.working(7_300).is_empty());
}

/// The store's return shows first in the answer on drained failure domains; a call
/// for registrations that was sent before it still fails after it.
#[test]
fn return_of_the_store_is_seen_in_any_answer() {
    let mut trial = Trial::default();
    trial.tell(&[("a", value(1, "ready", 1))], true, 0);
    trial.fail(1_000);
    trial.drain(operation::ChangedValue::Deleted, 5_000);
    trial.registry.handle(registry::RegistryEvent::Failed(at(4_600)), at(5_300));
    trial.registry.handle(registry::RegistryEvent::Answered, at(6_200));
    trial.tell(&[], true, 6_900);
    assert_eq!(trial.working(7_100).len(), 1);
    assert!(trial.working(7_300).is_empty());
}

/// The drain bound is 2.5 s; an entry that goes just after the store's return may
/// be that of a server that leaves without notice (mycotrail-gslb, trouble-1).
#[test]
fn entry_that_goes_after_the_return_is_not_kept_for_long() {
    let mut trial = Trial::default();
    trial.tell(&[("a", value(1, "ready", 1))], true, 0);
    trial.fail(1_000);
    trial.tell(&[("a", value(1, "ready", 1))], true, 5_000);
    trial.tell(&[("a", operation::ChangedValue::Deleted)], false, 5_200);
    assert_eq!(trial.working(5_900).len(), 1);
    assert!(trial.working(6_100).is_empty());
}

#[test]
fn draining_entry_that_lapses_is_gone_at_once() {
    let mut trial = Trial::default();
    trial.tell(&[("a", value(1, "draining", 1))], true, 0);
    trial.fail(1_000);
    let changes = trial.tell(&[], true, 5_000);
    assert_eq!(changes, [change::RegistryChange::Left("a".into())]);
}

#[test]
fn another_start_under_the_same_identifier_is_told() {
    let mut trial = Trial::default();
    trial.tell(&[("a", value(1, "ready", 1))], true, 0);
    let changes = trial.tell(&[("a", value(1, "ready", 2))], false, 10);
    assert_eq!(changes, [change::RegistryChange::Joined("a".into())]);
}

#[test]
fn address_belongs_to_the_server_that_registered_it_last() {
    let mut trial = Trial::default();
    trial.tell(&[("a", value(1, "ready", 1))], true, 0);
    trial.tell(&[("b", value(1, "ready", 5))], false, 10);
    assert_eq!(trial.working(10), ["10.0.0.1"]);
}

#[test]
fn unreadable_entry_names_no_server_and_hides_no_other() {
    let mut trial = Trial::default();
    let unreadable = operation::ChangedValue::Unreadable("not a server's entry".into());
    trial.tell(&[("a", value(1, "ready", 1)), ("b", unreadable)], true, 0);
    let no_slots = operation::ChangedValue::Told(r#"{"pool": "web", "slots": 0}"#.into());
    let changes = trial.tell(&[("c", no_slots)], false, 10);
    assert!(matches!(changes[0], change::RegistryChange::Faulty(..)), "{changes:?}");
    assert_eq!(trial.working(10), ["10.0.0.1"]);
}

#[test]
fn older_answer_changes_nothing() {
    let mut trial = Trial::default();
    trial.tell(&[("a", value(1, "ready", 1))], true, 0);
    trial.tell(&[("a", value(1, "draining", 1))], false, 10);
    trial.revision -= 2;
    trial.tell(&[("a", value(1, "ready", 1))], true, 20);
    assert!(trial.working(20).is_empty());
}

#[test]
fn drained_failure_domain_gets_no_new_work_until_it_is_restored() {
    let mut trial = Trial::default();
    trial.tell(&[("a", value(1, "ready", 1))], true, 0);
    trial.drain(operation::ChangedValue::Told("{}".into()), 10);
    assert!(trial.working(10).is_empty());
    trial.drain(operation::ChangedValue::Deleted, 20);
    assert_eq!(trial.working(20), ["10.0.0.1"]);
}
