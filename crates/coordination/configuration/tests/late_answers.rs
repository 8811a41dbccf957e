//! Tests that answers of the store that arrive late undo and confirm nothing.

#[expect(dead_code, reason = "shared by several test files")]
mod support;

use std::net;
use std::time;

use marjoramwing_configuration::candidate::TableObject as Object;
use marjoramwing_configuration::keeper;
use marjoramwing_configuration::message;
use marjoramwing_configuration::settings;
use marjoramwing_entity::incarnation;
use marjoramwing_entity::time as entity_time;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;
use marjoramwing_objects::position;
use marjoramwing_tables::snapshot;
use rand::SeedableRng;

/// One keeper without peers, driven by hand.
struct KeeperFixture {
    keeper: keeper::ConfigurationKeeper,
    now: entity_time::Timestamp,
    rng: rand_pcg::Pcg64Mcg,
    is_watching: bool,
}

impl KeeperFixture {
    fn new() -> Self {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
        let now = entity_time::Timestamp::from_millis(60_000);
        let settings = settings::ConfigurationSettings {
            max_start_delay: time::Duration::ZERO,
            ..Default::default()
        };
        let incarnation = incarnation::Incarnation::from_u64(1);
        let keeper =
            keeper::ConfigurationKeeper::new(incarnation, "region".into(), settings, now, &mut rng);
        Self { keeper, now, rng, is_watching: false }
    }

    fn handle(&mut self, event: keeper::ConfigurationEvent) -> Vec<keeper::ConfigurationAction> {
        let mut actions = Vec::new();
        self.is_watching &= !matches!(event, keeper::ConfigurationEvent::Watched(_));
        self.keeper.handle(event, self.now, &mut self.rng, &mut actions);
        let mut started = actions.iter();
        self.is_watching |=
            started.any(|action| matches!(action, keeper::ConfigurationAction::Watch { .. }));
        actions
    }

    /// Ticks until a watch is in flight and returns the time that it took.
    fn run_to_watch(&mut self) -> time::Duration {
        let start = self.now;
        while !self.is_watching {
            assert!(self.now.since(start) < time::Duration::from_secs(120), "no watch");
            self.handle(keeper::ConfigurationEvent::Tick);
            if !self.is_watching {
                self.now += time::Duration::from_millis(50);
            }
        }
        self.now.since(start)
    }

    /// Ticks until the keeper calls the store for the status object of the routes.
    fn run_to_status(&mut self) -> operation::StoreOperation {
        let end = self.now + time::Duration::from_secs(60);
        while self.now < end {
            self.now += time::Duration::from_millis(50);
            let actions = self.handle(keeper::ConfigurationEvent::Tick);
            if let Some(operation) = find_status(actions) {
                return operation;
            }
        }
        panic!("no call for the status object in a minute");
    }

    fn answer_status(
        &mut self,
        answer: operation::StoreAnswer,
    ) -> Option<operation::StoreOperation> {
        let object = Object::Routes;
        find_status(self.handle(keeper::ConfigurationEvent::Status { object, answer }))
    }

    /// Answers the watch in flight with one change of the routes.
    fn answer_watch(
        &mut self,
        (era, revision): (u64, u64),
        version: u64,
        value: operation::ChangedValue,
    ) -> Vec<keeper::ConfigurationAction> {
        let version = object::ObjectVersion::from(version);
        let change = operation::ObjectChange { name: Object::Routes.object_name(), version, value };
        let position = position::StorePosition { era: position::StoreEra(era), revision };
        let changes = vec![change];
        let answer = operation::WatchAnswer { position, changes, is_full_list: true };
        self.handle(keeper::ConfigurationEvent::Watched(Some(answer)))
    }

    fn answer_read(&mut self, answer: operation::StoreAnswer) {
        self.handle(keeper::ConfigurationEvent::Read { object: Object::Routes, answer });
    }
}

fn routes() -> operation::ChangedValue {
    operation::ChangedValue::Included(support::minimal(Object::Routes))
}

fn find_status(actions: Vec<keeper::ConfigurationAction>) -> Option<operation::StoreOperation> {
    actions.into_iter().find_map(|action| match action {
        keeper::ConfigurationAction::Status { object: Object::Routes, operation } => {
            Some(operation)
        }
        _ => None,
    })
}

fn reads_routes(actions: &[keeper::ConfigurationAction]) -> bool {
    let mut reads = actions.iter();
    reads.any(|action| matches!(action, keeper::ConfigurationAction::Read(Object::Routes)))
}

/// An answer from before the return has a greater revision than those after it; it must change
/// nothing, and the next watch must not follow at once.
#[test]
fn watch_answered_from_an_earlier_era_has_no_effect() {
    let mut fixture = KeeperFixture::new();
    fixture.run_to_watch();
    fixture.answer_watch((2, 53), 14_002, routes());
    fixture.now += time::Duration::from_secs(20);
    let age = fixture.keeper.age(fixture.now);
    fixture.run_to_watch();
    let actions = fixture.answer_watch((1, 60), 15_001, routes());
    assert!(actions.is_empty(), "{actions:?}");
    let dump = fixture.keeper.dump(fixture.now);
    assert_eq!((dump.position.to_string().as_str(), dump.applied.routes), ("2:53", 14_002));
    assert_eq!(fixture.keeper.age(fixture.now), age, "the late answer confirmed the tables");
    assert!(fixture.run_to_watch() >= time::Duration::from_millis(300));
}

/// After the return the known position is one that the store does not have.
#[test]
fn watch_answered_from_a_later_era_moves_the_position_back() {
    let mut fixture = KeeperFixture::new();
    fixture.run_to_watch();
    fixture.answer_watch((1, 60), 14_001, routes());
    fixture.now += time::Duration::from_secs(20);
    fixture.run_to_watch();
    fixture.answer_watch((2, 53), 11_002, routes());
    let dump = fixture.keeper.dump(fixture.now);
    assert_eq!((dump.position.to_string().as_str(), dump.applied.routes), ("2:53", 14_001));
    assert_eq!(dump.age_ms, Some(0), "the store holds nothing newer");
}

/// A read that was sent before the newest version was known says nothing of that version.
#[test]
fn missing_object_of_a_read_sent_earlier_confirms_nothing() {
    let mut fixture = KeeperFixture::new();
    fixture.run_to_watch();
    let actions = fixture.answer_watch((1, 5), 5_001, operation::ChangedValue::Omitted);
    assert!(reads_routes(&actions), "{actions:?}");
    fixture.run_to_watch();
    fixture.answer_watch((2, 6), 6_002, operation::ChangedValue::Omitted);
    fixture.answer_read(operation::StoreAnswer::Missing);
    assert_eq!(fixture.keeper.age(fixture.now), None);
    fixture.now += time::Duration::from_secs(1);
    assert!(reads_routes(&fixture.handle(keeper::ConfigurationEvent::Tick)));
    fixture.answer_read(operation::StoreAnswer::Missing);
    assert!(fixture.keeper.age(fixture.now).is_some(), "the object is gone");
}

/// A store that has lost an object must not hide that a peer has it.
#[test]
fn object_missing_in_the_store_that_a_peer_has_is_not_forgotten() {
    let mut fixture = KeeperFixture::new();
    let address = net::SocketAddr::from(([10, 0, 0, 1], 1_000));
    let versions = snapshot::TableVersions { routes: 7_001, ..Default::default() };
    let message = message::ConfigurationMessage::Notice { versions };
    fixture.handle(keeper::ConfigurationEvent::Received { address, message });
    fixture.run_to_watch();
    let position = position::StorePosition { era: position::StoreEra(2), revision: 5 };
    let answer = operation::WatchAnswer { position, changes: Vec::new(), is_full_list: true };
    let actions = fixture.handle(keeper::ConfigurationEvent::Watched(Some(answer)));
    assert!(reads_routes(&actions), "{actions:?}");
    fixture.answer_read(operation::StoreAnswer::Missing);
    assert_eq!(fixture.keeper.age(fixture.now), None, "a newer version is known");
}

/// A report that was written while the store was restored may have gone to the state before, or
/// over another instance's report at the same revision; it counted as done.
#[test]
fn report_written_across_a_return_is_read_again() {
    let mut fixture = KeeperFixture::new();
    fixture.run_to_watch();
    let malformed = || operation::ChangedValue::Malformed("malformed".into());
    fixture.answer_watch((1, 60), 14_001, malformed());
    let read = fixture.run_to_status();
    assert!(matches!(read, operation::StoreOperation::Read(_)), "{read:?}");
    let write = fixture.answer_status(operation::StoreAnswer::Missing);
    assert!(matches!(write, Some(operation::StoreOperation::Write(_))), "{write:?}");
    fixture.now += time::Duration::from_secs(20);
    fixture.run_to_watch();
    fixture.answer_watch((2, 53), 11_002, routes());
    fixture.answer_status(operation::StoreAnswer::Written(object::ObjectVersion(1)));
    let read = fixture.run_to_status();
    assert!(matches!(read, operation::StoreOperation::Read(_)), "{read:?}");
}
