//! Exact traffic that membership costs one instance, measured against fake peers.

use std::net;
use std::sync::Arc;
use std::time;

use marjoramwing_entity::incarnation;
use marjoramwing_entity::time as entity_time;
use marjoramwing_membership::keeper;
use marjoramwing_membership::member;
use marjoramwing_membership::message;
use marjoramwing_membership::settings;
use marjoramwing_membership::update;
use marjoramwing_peer::frame;
use marjoramwing_peer::membership;
use marjoramwing_peer::message as envelope;
use rand::SeedableRng;

/// Bytes per second that one instance may spend on all control traffic.
const CONTROL_BYTES_PER_SECOND: u64 = 13_000;
/// Part of that budget that membership may spend in an hour without restarts.
const MEMBERSHIP_BYTES_PER_SECOND: u64 = 2_000;
const TICK: time::Duration = time::Duration::from_millis(200);
const TICKS_PER_SECOND: u64 = 5;

/// One keeper with fake peers that answer at once, and counts of their traffic.
struct CostMeter {
    keeper: keeper::MembershipKeeper,
    rng: rand_pcg::Pcg64Mcg,
    now: entity_time::Timestamp,
    peers: Vec<Arc<member::MemberProfile>>,
    incarnations: Vec<u64>,
    digest: u64,
    messages: u64,
    bytes: u64,
}

impl CostMeter {
    fn new(fleet_size: u16) -> Self {
        let peers: Vec<_> = (1..fleet_size).map(|index| Arc::new(profile(index))).collect();
        let incarnations = (1..u64::from(fleet_size)).collect();
        let now = entity_time::Timestamp::from_millis(1_000);
        let incarnation = incarnation::Incarnation::from_u64(u64::MAX);
        let settings = settings::MembershipSettings::default();
        let keeper = keeper::MembershipKeeper::new(profile(0), incarnation, settings, now);
        let rng = rand_pcg::Pcg64Mcg::seed_from_u64(u64::from(fleet_size));
        let mut meter =
            Self { keeper, rng, now, peers, incarnations, digest: 0, messages: 0, bytes: 0 };
        let addresses = meter.peers.iter().map(|peer| peer.peer_address).collect();
        meter.handle(keeper::MembershipEvent::Serve);
        meter.handle(keeper::MembershipEvent::Listed(addresses));
        meter
    }

    fn run(&mut self, seconds: u64, restart_period: Option<u64>) {
        for second in 0..seconds {
            for _ in 0..TICKS_PER_SECOND {
                self.now += TICK;
                self.handle(keeper::MembershipEvent::Tick);
            }
            let sender = usize::try_from(second).unwrap() % self.peers.len();
            let body = message::MembershipBody::Ping { number: second, target: None };
            self.receive(sender, body, Vec::new());
            if restart_period.is_some_and(|period| second % period == 0) {
                self.restart(sender);
            }
        }
    }

    /// Reports to the keeper, through another peer, that a peer has restarted.
    fn restart(&mut self, index: usize) {
        let replaced =
            update::MemberUpdate { health: update::UpdateHealth::Gone, ..self.update(index) };
        self.incarnations[index] += 1_000;
        let updates = vec![replaced, self.update(index)];
        let reporter = (index + 1) % self.peers.len();
        self.receive(reporter, message::MembershipBody::UpdatesOnly, updates);
    }

    fn update(&self, index: usize) -> update::MemberUpdate {
        update::MemberUpdate {
            incarnation: incarnation::Incarnation::from_u64(self.incarnations[index]),
            sequence: 0,
            health: update::UpdateHealth::Alive,
            phase: member::MemberPhase::Serving,
            profile: Some(Arc::clone(&self.peers[index])),
        }
    }

    fn receive(
        &mut self,
        index: usize,
        body: message::MembershipBody,
        updates: Vec<update::MemberUpdate>,
    ) {
        let phase = member::MemberPhase::Serving;
        let header = message::SenderHeader { sequence: 0, phase, digest: self.digest };
        let message = message::MembershipMessage { header, body, updates };
        self.count(&message);
        let from = incarnation::Incarnation::from_u64(self.incarnations[index]);
        let address = self.peers[index].peer_address;
        self.handle(keeper::MembershipEvent::Received { from, address, message });
    }

    fn handle(&mut self, event: keeper::MembershipEvent) {
        let mut actions = Vec::new();
        self.keeper.handle(event, self.now, &mut self.rng, &mut actions);
        for action in actions {
            let keeper::MembershipAction::Send { address, message } = action else { continue };
            self.count(&message);
            self.digest = message.header.digest;
            let index = self.peers.iter().position(|peer| peer.peer_address == address).unwrap();
            self.answer(index, &message.body);
        }
    }

    fn answer(&mut self, index: usize, body: &message::MembershipBody) {
        match body {
            message::MembershipBody::Ping { number, .. } => {
                let responder = incarnation::Incarnation::from_u64(self.incarnations[index]);
                let body = message::MembershipBody::Ack { number: *number, responder };
                self.receive(index, body, Vec::new());
            }
            message::MembershipBody::SyncRequest { .. } => {
                let updates = (0..self.peers.len()).map(|index| self.update(index)).collect();
                let body = message::MembershipBody::SyncAnswer { wanted: Vec::new() };
                self.receive(index, body, updates);
            }
            _ => {}
        }
    }

    fn count(&mut self, message: &message::MembershipMessage) {
        let body = envelope::Body::Membership(membership::Membership::from(message.clone()));
        self.messages += 1;
        self.bytes += frame::frame_bytes(&envelope::Envelope::new(body));
    }

    fn reset(&mut self) {
        (self.messages, self.bytes) = (0, 0);
    }
}

fn profile(index: u16) -> member::MemberProfile {
    member::MemberProfile {
        name: format!("palermo-a-{index:03}").into(),
        caller_address: net::SocketAddr::from(([10, 20, 30, 40], 10_000 + index)),
        peer_address: net::SocketAddr::from(([10, 20, 30, 40], 20_000 + index)),
        site: "palermo-a".into(),
        region: "palermo".into(),
        failure_domain: "palermo-a".into(),
    }
}

fn check_ordinary_hour(fleet_size: u16, messages: u64, bytes: u64) {
    let mut meter = CostMeter::new(fleet_size);
    meter.run(60, None);
    meter.reset();
    meter.run(3_600, None);
    println!("{fleet_size} instances: {} messages, {} bytes per hour", meter.messages, meter.bytes);
    assert_eq!((meter.messages, meter.bytes), (messages, bytes));
    assert!(meter.bytes <= MEMBERSHIP_BYTES_PER_SECOND * 3_600);
}

fn check_rolling_restart(fleet_size: u16) {
    let mut meter = CostMeter::new(fleet_size);
    meter.run(60, None);
    meter.reset();
    meter.run(600, Some(2));
    println!("{fleet_size} instances, a restart every 2 s: {} bytes/s", meter.bytes / 600);
    assert!(meter.bytes <= CONTROL_BYTES_PER_SECOND * 600);
}

fn check_start_of_all(fleet_size: u16) {
    let mut meter = CostMeter::new(fleet_size);
    meter.run(60, None);
    println!("{fleet_size} instances: {} bytes in the first minute", meter.bytes);
    assert!(meter.bytes <= CONTROL_BYTES_PER_SECOND * 60);
}

marjoramwing_testing::cases! { check_ordinary_hour:
    ordinary_hour_of_7_instances => (7, 13_732, 379_156);
    ordinary_hour_of_50_instances => (50, 13_728, 379_034);
    ordinary_hour_of_150_instances => (150, 13_726, 378_974);
    ordinary_hour_of_450_instances => (450, 13_748, 379_634);
}

marjoramwing_testing::cases! { check_rolling_restart:
    rolling_restart_of_7_instances => (7);
    rolling_restart_of_450_instances => (450);
}

marjoramwing_testing::cases! { check_start_of_all:
    start_of_7_instances => (7);
    start_of_450_instances => (450);
}
