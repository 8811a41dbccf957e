//! Exact traffic and store calls that configuration costs one instance.

use std::collections;
use std::net;
use std::sync::Arc;
use std::time;

use marjoramwing_configuration::candidate;
use marjoramwing_configuration::keeper;
use marjoramwing_configuration::message;
use marjoramwing_configuration::settings;
use marjoramwing_entity::incarnation;
use marjoramwing_entity::time as entity_time;
use marjoramwing_membership::member;
use marjoramwing_membership::view;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;
use marjoramwing_objects::position;
use marjoramwing_peer::configuration;
use marjoramwing_peer::frame;
use marjoramwing_peer::message as envelope;
use marjoramwing_tables::snapshot;
use rand::SeedableRng;

/// Bytes per second that one instance may spend on all control traffic.
const CONTROL_BYTES_PER_SECOND: u64 = 13_000;
/// Reads per second that the store accepts.
const STORE_READS_PER_SECOND: u64 = 2_000;
/// Seconds between two changes at 1,800 changes per day.
const CHANGE_PERIOD: u64 = 48;
/// Size of a changed object in bytes.
const OBJECT_BYTES: usize = 20_000;
const TICK: time::Duration = time::Duration::from_millis(200);
const TICKS_PER_SECOND: u64 = 5;

/// One keeper with fake peers and a fake store that answer at once, and counts of their traffic.
struct CostMeter {
    keeper: keeper::ConfigurationKeeper,
    rng: rand_pcg::Pcg64Mcg,
    now: entity_time::Timestamp,
    peers: Vec<net::SocketAddr>,
    versions: snapshot::TableVersions,
    text: bytes::Bytes,
    revision: u64,
    watch: Option<Watch>,
    /// Whether the keeper watches the store, instead of learning of changes from its peers.
    watches: bool,
    messages: u64,
    bytes: u64,
    calls: u64,
}

struct Watch {
    after: u64,
    deadline: entity_time::Timestamp,
}

impl CostMeter {
    fn new(fleet_size: u16, watches: bool) -> Self {
        let regions = if fleet_size < 50 { 3 } else { 7 };
        let others = (1..fleet_size).map(|index| make_member(index, regions));
        let members: Vec<_> = others.collect();
        let peers = members.iter().map(|member| member.peer_address).collect();
        let view = Arc::new(view::MemberView::new(members));
        let mut meter = (1..)
            .map(|seed| Self::with_seed(seed, &view))
            .find(|meter| meter.keeper.dump(meter.now).watcher == watches || fleet_size < 50);
        let mut meter = meter.take().expect("some seed gives a watcher and some does not");
        meter.peers = peers;
        meter.watches = watches;
        meter
    }

    fn with_seed(seed: u64, view: &Arc<view::MemberView>) -> Self {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let now = entity_time::Timestamp::from_millis(60_000);
        let incarnation = incarnation::Incarnation::from_u64(seed << 32);
        let settings = settings::ConfigurationSettings::default();
        let mut keeper = keeper::ConfigurationKeeper::new(
            incarnation,
            "region-0".into(),
            settings,
            now,
            &mut rng,
        );
        let event = keeper::ConfigurationEvent::Members(Arc::clone(view));
        keeper.handle(event, now, &mut rng, &mut Vec::new());
        Self {
            keeper,
            rng,
            now,
            peers: Vec::new(),
            versions: snapshot::TableVersions { routes: 1, ..Default::default() },
            text: make_text(),
            revision: 1,
            watch: None,
            watches: false,
            messages: 0,
            bytes: 0,
            calls: 0,
        }
    }

    fn run(&mut self, seconds: u64, changes: bool) {
        for second in 0..seconds {
            for _ in 0..TICKS_PER_SECOND {
                self.now += TICK;
                self.finish_watch();
                self.handle(keeper::ConfigurationEvent::Tick);
            }
            let peer = usize::try_from(second).unwrap() % self.peers.len();
            let versions = self.versions;
            self.receive(
                peer,
                message::ConfigurationMessage::DigestRequest { number: second, versions },
            );
            if changes && second % CHANGE_PERIOD == 0 {
                self.versions.routes += 1;
                self.revision += 1;
                if !self.watches {
                    let versions = self.versions;
                    self.receive(peer, message::ConfigurationMessage::Notice { versions });
                }
            }
        }
    }

    fn finish_watch(&mut self) {
        let Some(watch) = &self.watch else { return };
        let is_newer = watch.after < self.revision;
        if !is_newer && self.now < watch.deadline {
            return;
        }
        self.watch = None;
        let name = candidate::TableObject::Routes.object_name();
        let version = object::ObjectVersion(self.versions.routes);
        let change =
            operation::ObjectChange { name, version, value: operation::ChangedValue::Omitted };
        let changes = if is_newer { vec![change] } else { Vec::new() };
        let position = position::StorePosition::without_era(self.revision);
        let answer = operation::WatchAnswer { position, changes, is_full_list: false };
        self.handle(keeper::ConfigurationEvent::Watched(Some(answer)));
    }

    fn receive(&mut self, index: usize, message: message::ConfigurationMessage) {
        self.count(&message);
        let address = self.peers[index];
        self.handle(keeper::ConfigurationEvent::Received { address, message });
    }

    fn handle(&mut self, event: keeper::ConfigurationEvent) {
        let mut actions = Vec::new();
        self.keeper.handle(event, self.now, &mut self.rng, &mut actions);
        for action in actions {
            match action {
                keeper::ConfigurationAction::Send { address, message } => {
                    self.count(&message);
                    let index = self.peers.iter().position(|peer| *peer == address).unwrap();
                    self.answer(index, &message);
                }
                keeper::ConfigurationAction::Watch { after, wait } => {
                    self.calls += 1;
                    self.watch = Some(Watch { after: after.revision, deadline: self.now + wait });
                }
                keeper::ConfigurationAction::Read(object) => {
                    self.calls += 1;
                    let version = object::ObjectVersion(self.versions.routes);
                    let value = self.text.clone();
                    let stored = operation::StoredObject { version, value };
                    let answer = operation::StoreAnswer::Found(stored);
                    self.handle(keeper::ConfigurationEvent::Read { object, answer });
                }
                _ => {}
            }
        }
    }

    fn answer(&mut self, index: usize, message: &message::ConfigurationMessage) {
        let versions = self.versions;
        match message {
            message::ConfigurationMessage::DigestRequest { number, .. } => {
                let age = Some(time::Duration::from_secs(3));
                let (number, failing) = (*number, None);
                let answer =
                    message::ConfigurationMessage::DigestAnswer { number, versions, age, failing };
                self.receive(index, answer);
            }
            message::ConfigurationMessage::Fetch { object, .. } => {
                let (object, version, text) = (*object, versions.routes, self.text.clone());
                let object = message::ConfigurationMessage::Object { object, version, text };
                self.receive(index, object);
            }
            // Worst case: every notified peer lacks the object.
            message::ConfigurationMessage::Notice { .. } => {
                let object = candidate::TableObject::Routes;
                let above = versions.routes - 1;
                self.receive(index, message::ConfigurationMessage::Fetch { object, above });
            }
            // The text fits into one message, so none is sent in parts.
            message::ConfigurationMessage::FetchPart { .. }
            | message::ConfigurationMessage::ObjectPart { .. } => {
                panic!("a small text is sent in parts")
            }
            message::ConfigurationMessage::DigestAnswer { .. }
            | message::ConfigurationMessage::Object { .. } => {}
        }
    }

    fn count(&mut self, message: &message::ConfigurationMessage) {
        let body =
            envelope::Body::Configuration(configuration::Configuration::from(message.clone()));
        self.messages += 1;
        self.bytes += frame::frame_bytes(&envelope::Envelope::new(body));
    }

    fn reset(&mut self) {
        (self.messages, self.bytes, self.calls) = (0, 0, 0);
    }
}

/// Creates a routes object without routes, padded to [`OBJECT_BYTES`].
fn make_text() -> bytes::Bytes {
    let mut text = r#"{"routes": []"#.to_owned();
    text.push_str(&" ".repeat(OBJECT_BYTES - text.len() - 1));
    text.push('}');
    text.into()
}

fn make_member(index: u16, regions: u16) -> member::Member {
    let address = net::SocketAddr::from(([10, 20, 30, 40], 20_000 + index));
    member::Member {
        name: format!("instance-{index:03}").into(),
        caller_address: address,
        peer_address: address,
        site: "site".into(),
        region: format!("region-{}", index % regions).into(),
        failure_domain: "domain".into(),
        incarnation: Some(incarnation::Incarnation::from_u64(u64::from(index))),
        state: member::MemberState::Live,
    }
}

/// Checks the cost of an hour without changes.
fn check_quiet_hour(fleet_size: u16, watches: bool, expected: (u64, u64, u64)) {
    let mut meter = CostMeter::new(fleet_size, watches);
    meter.run(60, false);
    meter.reset();
    meter.run(3_600, false);
    println!(
        "{fleet_size} instances, watches {watches}: {} messages, {} bytes, {} store calls per hour",
        meter.messages, meter.bytes, meter.calls
    );
    assert_eq!((meter.messages, meter.bytes, meter.calls), expected);
    assert!(meter.bytes <= CONTROL_BYTES_PER_SECOND * 3_600 / 10);
}

/// Checks the cost of an hour with a change every 48 s that every notified peer fetches.
fn check_busy_hour(fleet_size: u16, watches: bool) {
    let mut meter = CostMeter::new(fleet_size, watches);
    meter.run(60, false);
    meter.reset();
    meter.run(3_600, true);
    println!(
        "{fleet_size} instances, watches {watches}, changes: {} bytes/s, {} store calls per hour",
        meter.bytes / 3_600,
        meter.calls
    );
    assert!(meter.bytes <= CONTROL_BYTES_PER_SECOND * 3_600 / 2);
}

marjoramwing_testing::cases! { check_quiet_hour:
    quiet_hour_of_7_instances => (7, true, (13_740, 226_312, 3_600));
    quiet_hour_of_50_instances => (50, false, (13_732, 226_184, 59));
    quiet_hour_of_150_instances => (150, false, (13_738, 226_283, 60));
    quiet_hour_of_450_instances => (450, false, (13_746, 226_417, 61));
    quiet_hour_of_a_watcher_among_450 => (450, true, (13_748, 226_452, 3_600));
}

marjoramwing_testing::cases! { check_busy_hour:
    busy_hour_of_7_instances => (7, true);
    busy_hour_of_450_instances => (450, false);
    busy_hour_of_a_watcher_among_450 => (450, true);
}

/// Returns the maximum store calls in one second when instances without peers start at once.
fn max_calls_at_start(fleet_size: u64, max_delay: time::Duration) -> u64 {
    let mut calls = collections::BTreeMap::new();
    for seed in 0..fleet_size {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let start = entity_time::Timestamp::from_millis(60_000);
        let incarnation = incarnation::Incarnation::from_u64(seed);
        let settings =
            settings::ConfigurationSettings { max_start_delay: max_delay, ..Default::default() };
        let region = "region-0".into();
        let mut keeper =
            keeper::ConfigurationKeeper::new(incarnation, region, settings, start, &mut rng);
        let mut now = start;
        for _ in 0..20 * TICKS_PER_SECOND {
            now += TICK;
            let mut events = vec![keeper::ConfigurationEvent::Tick];
            while let Some(event) = events.pop() {
                let mut actions = Vec::new();
                keeper.handle(event, now, &mut rng, &mut actions);
                for action in actions {
                    let Some(answer) = answer_store(&action) else { continue };
                    *calls.entry(now.since(start).as_secs()).or_insert(0) += 1;
                    events.push(answer);
                }
            }
        }
    }
    calls.into_values().max().unwrap_or(0)
}

fn answer_store(action: &keeper::ConfigurationAction) -> Option<keeper::ConfigurationEvent> {
    match action {
        keeper::ConfigurationAction::Watch { after, .. } => {
            let version = object::ObjectVersion(1);
            let changes =
                candidate::TableObject::ALL.into_iter().map(|object| operation::ObjectChange {
                    name: object.object_name(),
                    version,
                    value: operation::ChangedValue::Omitted,
                });
            let changes = if after.is_start() { changes.collect() } else { Vec::new() };
            let position = position::StorePosition::without_era(5);
            let answer = operation::WatchAnswer { position, changes, is_full_list: false };
            Some(keeper::ConfigurationEvent::Watched(Some(answer)))
        }
        keeper::ConfigurationAction::Read(object) => {
            let (version, value) = (object::ObjectVersion(1), "{}".into());
            let stored = operation::StoredObject { version, value };
            let answer = operation::StoreAnswer::Found(stored);
            Some(keeper::ConfigurationEvent::Read { object: *object, answer })
        }
        _ => None,
    }
}

#[test]
fn start_of_450_at_once_stays_within_the_stores_rate() {
    let max_delay = settings::ConfigurationSettings::default().max_start_delay;
    let max_calls = max_calls_at_start(450, max_delay);
    println!("maximum calls in one second: {max_calls}");
    // Each instance also reads the list of instances once per second until it knows a peer.
    assert!(max_calls + 450 <= STORE_READS_PER_SECOND);
}

#[test]
fn start_of_450_at_once_exceeds_the_stores_rate_without_start_delay() {
    assert!(max_calls_at_start(450, time::Duration::ZERO) > STORE_READS_PER_SECOND);
}
