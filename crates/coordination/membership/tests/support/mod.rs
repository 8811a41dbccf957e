//! A deterministic, seeded simulation of a cluster of membership keepers.

use std::cmp;
use std::collections;
use std::net;
use std::time;

use marjoramwing_entity::incarnation;
use marjoramwing_entity::time as entity_time;
use marjoramwing_membership::keeper;
use marjoramwing_membership::member;
use marjoramwing_membership::message;
use marjoramwing_membership::settings;
use rand::RngExt;
use rand::SeedableRng;

const TICK: time::Duration = time::Duration::from_millis(200);

/// Faults of the simulated links.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LinkFaults {
    pub(crate) loss: f64,
    pub(crate) duplication: f64,
    /// Maximum delay; random delays reorder messages.
    pub(crate) delay_ms: u64,
}

pub(crate) struct Node {
    pub(crate) keeper: keeper::MembershipKeeper,
    pub(crate) address: net::SocketAddr,
    pub(crate) incarnation: incarnation::Incarnation,
    pub(crate) region: usize,
    pub(crate) paused_until: entity_time::Timestamp,
    pub(crate) terminated: bool,
}

struct Delivery {
    at: entity_time::Timestamp,
    order: u64,
    from: incarnation::Incarnation,
    sender: net::SocketAddr,
    to: net::SocketAddr,
    message: message::MembershipMessage,
}

pub(crate) struct ClusterSimulation {
    pub(crate) nodes: Vec<Node>,
    pub(crate) now: entity_time::Timestamp,
    pub(crate) faults: LinkFaults,
    /// Whether the regions are cut off from each other.
    pub(crate) partitioned: bool,
    /// Two instances that cannot reach each other.
    pub(crate) blocked: Option<(usize, usize)>,
    /// An instance that is cut off from all others.
    pub(crate) isolated: Option<usize>,
    rng: rand_pcg::Pcg64Mcg,
    queue: collections::BTreeMap<(entity_time::Timestamp, u64), Delivery>,
    order: u64,
    settings: settings::MembershipSettings,
}

impl ClusterSimulation {
    pub(crate) fn new(count: usize, seed: u64, settings: settings::MembershipSettings) -> Self {
        println!("seed {seed}");
        let mut simulation = Self {
            nodes: Vec::new(),
            now: entity_time::Timestamp::from_millis(1_000),
            faults: LinkFaults { loss: 0.0, duplication: 0.0, delay_ms: 60 },
            partitioned: false,
            blocked: None,
            isolated: None,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(seed),
            queue: collections::BTreeMap::new(),
            order: 0,
            settings,
        };
        for index in 0..count {
            simulation.start(index);
        }
        simulation.list_all();
        simulation
    }

    /// Starts a process that accepts requests immediately.
    pub(crate) fn start(&mut self, index: usize) {
        self.replace(index);
        self.handle(index, keeper::MembershipEvent::Serve);
    }

    /// Starts a process at the address of an index, replacing any earlier one there.
    pub(crate) fn replace(&mut self, index: usize) {
        let address = address_of(index);
        let incarnation = incarnation::Incarnation::from_u64(self.rng.random());
        let region = index % 3;
        let profile = member::MemberProfile {
            name: format!("instance-{index}").into(),
            caller_address: address,
            peer_address: address,
            site: "site".into(),
            region: format!("region-{region}").into(),
            failure_domain: "domain".into(),
        };
        let keeper = keeper::MembershipKeeper::new(profile, incarnation, self.settings, self.now);
        let paused_until = entity_time::Timestamp::ZERO;
        let node = Node { keeper, address, incarnation, region, paused_until, terminated: false };
        match self.nodes.get_mut(index) {
            Some(old) => *old = node,
            None => self.nodes.push(node),
        }
    }

    /// Passes the addresses of all instances to every keeper.
    pub(crate) fn list_all(&mut self) {
        let addresses: Vec<_> = self.nodes.iter().map(|node| node.address).collect();
        for index in 0..self.nodes.len() {
            self.handle(index, keeper::MembershipEvent::Listed(addresses.clone()));
        }
    }

    pub(crate) fn handle(&mut self, index: usize, event: keeper::MembershipEvent) {
        let mut actions = Vec::new();
        let node = &mut self.nodes[index];
        node.keeper.handle(event, self.now, &mut self.rng, &mut actions);
        let (from, sender) = (node.incarnation, node.address);
        for action in actions {
            if let keeper::MembershipAction::Send { address, message } = action {
                self.enqueue(from, sender, address, &message);
            }
        }
    }

    pub(crate) fn run(&mut self, duration: time::Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += TICK;
            self.deliver_due();
            for index in 0..self.nodes.len() {
                if self.is_running(index) {
                    self.handle(index, keeper::MembershipEvent::Tick);
                }
            }
        }
    }

    pub(crate) fn pause(&mut self, index: usize, duration: time::Duration) {
        self.nodes[index].paused_until = self.now + duration;
    }

    /// Returns true if the subject's incarnation is in the observer's view.
    pub(crate) fn sees(&self, observer: usize, subject: usize) -> bool {
        let view = self.nodes[observer].keeper.view();
        view.by_incarnation(self.nodes[subject].incarnation).is_some()
    }

    /// Returns true if the observer suspects the subject's incarnation.
    pub(crate) fn suspects(&self, observer: usize, subject: usize) -> bool {
        let view = self.nodes[observer].keeper.view();
        let member = view.by_incarnation(self.nodes[subject].incarnation);
        member.is_some_and(|member| member.state == member::MemberState::Suspect)
    }

    /// Returns true if every running instance sees exactly the running instances, all live.
    pub(crate) fn has_converged(&self) -> bool {
        let running: collections::BTreeSet<_> = self
            .nodes
            .iter()
            .filter(|node| !node.terminated)
            .map(|node| node.incarnation)
            .collect();
        let mut observers = self.nodes.iter().filter(|node| !node.terminated);
        observers.all(|node| {
            let view = node.keeper.view();
            let live: collections::BTreeSet<_> =
                view.live().filter_map(|member| member.incarnation).collect();
            live == running && view.members.len() == running.len()
        })
    }

    fn is_running(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        !node.terminated && node.paused_until <= self.now
    }

    fn enqueue(
        &mut self,
        from: incarnation::Incarnation,
        sender: net::SocketAddr,
        to: net::SocketAddr,
        message: &message::MembershipMessage,
    ) {
        let copies = if self.rng.random_bool(self.faults.duplication) { 2 } else { 1 };
        for _ in 0..copies {
            if self.rng.random_bool(self.faults.loss) {
                continue;
            }
            let delay = self.rng.random_range(0..=self.faults.delay_ms);
            let at = self.now + time::Duration::from_millis(delay);
            self.order += 1;
            let order = self.order;
            let message = message.clone();
            let delivery = Delivery { at, order, from, sender, to, message };
            self.queue.insert((at, order), delivery);
        }
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= self.now
        {
            let delivery = entry.remove();
            let Some(index) = self.nodes.iter().position(|node| node.address == delivery.to) else {
                continue;
            };
            if !self.can_reach(delivery.sender, index) || self.nodes[index].terminated {
                continue;
            }
            if !self.is_running(index) {
                // A paused process reads its queued messages when it resumes.
                let at = cmp::max(self.nodes[index].paused_until, delivery.at);
                self.queue.insert((at, delivery.order), Delivery { at, ..delivery });
                continue;
            }
            let event = keeper::MembershipEvent::Received {
                from: delivery.from,
                address: delivery.sender,
                message: delivery.message,
            };
            self.handle(index, event);
        }
    }

    fn can_reach(&self, sender: net::SocketAddr, to: usize) -> bool {
        let Some(from) = self.nodes.iter().position(|node| node.address == sender) else {
            return false;
        };
        let is_partitioned = self.partitioned && self.nodes[from].region != self.nodes[to].region;
        let is_blocked = self.blocked == Some((from, to)) || self.blocked == Some((to, from));
        let is_isolated = [Some(from), Some(to)].contains(&self.isolated) && from != to;
        !is_partitioned && !is_blocked && !is_isolated
    }
}

pub(crate) fn address_of(index: usize) -> net::SocketAddr {
    let index = u16::try_from(index).unwrap();
    net::SocketAddr::from(([10, 0, 0, 1], 1_000 + index))
}

pub(crate) fn seconds(count: u64) -> time::Duration {
    time::Duration::from_secs(count)
}
