//! Seeded simulation of a fleet of configuration keepers and one store.

use std::collections;
use std::net;
use std::sync::Arc;
use std::time;

use marjoramwing_configuration::candidate;
use marjoramwing_configuration::group;
use marjoramwing_configuration::keeper;
use marjoramwing_configuration::message;
use marjoramwing_configuration::settings;
use marjoramwing_entity::incarnation;
use marjoramwing_entity::time as entity_time;
use marjoramwing_membership::member;
use marjoramwing_membership::view;
use marjoramwing_objects::operation;
use marjoramwing_objects::position;
use marjoramwing_tables::snapshot;
use rand::RngExt;
use rand::SeedableRng;

use super::store;

const STEP: time::Duration = time::Duration::from_millis(50);
const STEPS_PER_TICK: u64 = 4;
const STORE_DELAY: time::Duration = time::Duration::from_millis(50);
const STORE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

pub(crate) struct FleetInstance {
    pub(crate) keeper: keeper::ConfigurationKeeper,
    pub(crate) address: net::SocketAddr,
    incarnation: incarnation::Incarnation,
    pub(crate) region: usize,
    pub(crate) is_dead: bool,
    /// Whether neither the store nor any peer can be reached.
    pub(crate) is_partitioned: bool,
    /// Whether the store turns the instance away.
    pub(crate) lacks_store: bool,
    /// Whether the answers of the store to the instance are lost.
    pub(crate) loses_answers: bool,
    pub(crate) paused_until: entity_time::Timestamp,
    /// How the instance's adapter counts versions, if not like [`store::FakeStore::order`].
    pub(crate) order: Option<store::VersionOrder>,
    /// Tables of the last [`keeper::ConfigurationAction::Apply`].
    pub(crate) applied: Option<Arc<snapshot::TableSnapshot>>,
    /// Number of [`keeper::ConfigurationAction::Refused`].
    pub(crate) refusals: usize,
    watch: Option<OpenWatch>,
}

struct OpenWatch {
    after: position::StorePosition,
    answer_at: entity_time::Timestamp,
    timeout_at: entity_time::Timestamp,
}

enum Delivery {
    Message(net::SocketAddr, message::ConfigurationMessage),
    Store(keeper::ConfigurationEvent),
}

pub(crate) struct Fleet {
    pub(crate) instances: Vec<FleetInstance>,
    pub(crate) store: store::FakeStore,
    pub(crate) now: entity_time::Timestamp,
    /// Probability that a message is lost.
    pub(crate) loss_rate: f64,
    /// Probability that a message is delivered twice.
    pub(crate) duplicate_rate: f64,
    /// Longest delay of a message; delays are random, so messages are reordered.
    pub(crate) delay_ms: u64,
    /// Longest time by which an answer of the store is late, at random.
    pub(crate) late_answer_ms: u64,
    /// Instances whose applied version of an object decreased; must stay empty.
    pub(crate) reverted: Vec<usize>,
    pub(crate) messages: u64,
    /// Region that is partitioned from all others; the store is in region 0.
    pub(crate) partitioned_region: Option<usize>,
    /// Region that can reach its peers but not the store.
    pub(crate) region_without_store: Option<usize>,
    rng: rand_pcg::Pcg64Mcg,
    queue: collections::BTreeMap<(entity_time::Timestamp, u64), (usize, Delivery)>,
    sequence: u64,
    steps: u64,
    settings: settings::ConfigurationSettings,
    regions: usize,
}

impl Fleet {
    pub(crate) fn new(
        count: usize,
        regions: usize,
        seed: u64,
        settings: settings::ConfigurationSettings,
    ) -> Self {
        println!("seed {seed}");
        let mut fleet = Self {
            instances: Vec::new(),
            store: store::FakeStore::default(),
            now: entity_time::Timestamp::from_millis(60_000),
            loss_rate: 0.0,
            duplicate_rate: 0.0,
            delay_ms: 110,
            late_answer_ms: 0,
            reverted: Vec::new(),
            messages: 0,
            partitioned_region: None,
            region_without_store: None,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(seed),
            queue: collections::BTreeMap::new(),
            sequence: 0,
            steps: 0,
            settings,
            regions,
        };
        for index in 0..count {
            let instance = fleet.make_instance(index);
            fleet.instances.push(instance);
        }
        fleet.update_members();
        fleet
    }

    /// Stores a first valid version of every object.
    pub(crate) fn put_all(&mut self) {
        for object in candidate::TableObject::ALL {
            let text = super::minimal(object);
            self.store.put(object.object_name(), text);
        }
    }

    /// Replaces an instance by a new one without state.
    pub(crate) fn restart(&mut self, index: usize) {
        self.instances[index] = self.make_instance(index);
        self.update_members();
    }

    pub(crate) fn run(&mut self, span: time::Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.store.now = self.now;
            self.steps += 1;
            self.deliver_due();
            for index in 0..self.instances.len() {
                self.advance_watch(index);
                // Different instances tick at different steps.
                let is_due = (self.steps + index as u64).is_multiple_of(STEPS_PER_TICK);
                if is_due && self.is_running(index) {
                    self.handle(index, keeper::ConfigurationEvent::Tick);
                }
            }
        }
    }

    /// Runs until all running instances have applied a version and returns the time taken.
    ///
    /// Returns `None` if that takes longer than `limit`.
    pub(crate) fn time_to_apply(
        &mut self,
        object: candidate::TableObject,
        version: u64,
        limit: time::Duration,
    ) -> Option<time::Duration> {
        let start = self.now;
        while self.now.since(start) < limit {
            self.run(STEP);
            if self.is_applied(object, version) {
                return Some(self.now.since(start));
            }
        }
        None
    }

    pub(crate) fn is_applied(&self, object: candidate::TableObject, version: u64) -> bool {
        let mut running = self
            .instances
            .iter()
            .filter(|instance| !instance.is_dead && instance.paused_until <= self.now);
        running
            .all(|instance| group::version_of(&instance.keeper.applied(), object) >= version.into())
    }

    pub(crate) fn watchers(&self) -> Vec<usize> {
        let instances = self.instances.iter().enumerate();
        let watchers = instances.filter(|(_, instance)| instance.keeper.dump(self.now).watcher);
        watchers.map(|(index, _)| index).collect()
    }

    fn make_instance(&mut self, index: usize) -> FleetInstance {
        let region = index % self.regions;
        let incarnation = incarnation::Incarnation::from_u64(self.rng.random());
        let keeper = keeper::ConfigurationKeeper::new(
            incarnation,
            region_name(region),
            self.settings,
            self.now,
            &mut self.rng,
        );
        let port = u16::try_from(index).unwrap();
        FleetInstance {
            keeper,
            address: net::SocketAddr::from(([10, 0, 0, 1], 1_000 + port)),
            incarnation,
            region,
            is_dead: false,
            is_partitioned: false,
            lacks_store: false,
            loses_answers: false,
            paused_until: entity_time::Timestamp::ZERO,
            order: None,
            applied: None,
            refusals: 0,
            watch: None,
        }
    }

    /// Gives every keeper a view of all members, including dead ones.
    pub(crate) fn update_members(&mut self) {
        let members = self.instances.iter().enumerate().map(|(index, instance)| member::Member {
            name: format!("instance-{index:03}").into(),
            caller_address: instance.address,
            peer_address: instance.address,
            site: "site".into(),
            region: region_name(instance.region),
            failure_domain: "domain".into(),
            incarnation: Some(instance.incarnation),
            state: member::MemberState::Live,
        });
        let view = Arc::new(view::MemberView::new(members.collect()));
        for index in 0..self.instances.len() {
            self.handle(index, keeper::ConfigurationEvent::Members(Arc::clone(&view)));
        }
    }

    fn handle(&mut self, index: usize, event: keeper::ConfigurationEvent) {
        let mut actions = Vec::new();
        let instance = &mut self.instances[index];
        let before = instance.keeper.applied();
        instance.keeper.handle(event, self.now, &mut self.rng, &mut actions);
        if !group::covers(&instance.keeper.applied(), &before) {
            self.reverted.push(index);
        }
        for action in actions {
            self.execute(index, action);
        }
    }

    fn execute(&mut self, index: usize, action: keeper::ConfigurationAction) {
        match action {
            keeper::ConfigurationAction::Send { address, message } => {
                self.messages += 1;
                let copies = if self.rng.random_bool(self.duplicate_rate) { 2 } else { 1 };
                for _ in 0..copies {
                    self.send_message(index, address, message.clone());
                }
            }
            keeper::ConfigurationAction::Watch { after, wait } => {
                self.store.calls += 1;
                let answer_at = self.now + wait + STORE_DELAY;
                let timeout_at = answer_at + STORE_TIMEOUT;
                self.instances[index].watch = Some(OpenWatch { after, answer_at, timeout_at });
            }
            keeper::ConfigurationAction::Read(object) => {
                let operation = operation::StoreOperation::Read(object.object_name());
                let answer = self.call(index, &operation);
                self.schedule_answer(index, keeper::ConfigurationEvent::Read { object, answer });
            }
            keeper::ConfigurationAction::Status { object, operation } => {
                let answer = self.call(index, &operation);
                self.schedule_answer(index, keeper::ConfigurationEvent::Status { object, answer });
            }
            keeper::ConfigurationAction::Apply(applied) => {
                self.instances[index].applied = Some(applied.snapshot);
            }
            keeper::ConfigurationAction::Refused(_) => self.instances[index].refusals += 1,
            keeper::ConfigurationAction::Trust(_) => {}
        }
    }

    fn call(&mut self, index: usize, call: &operation::StoreOperation) -> operation::StoreAnswer {
        if !self.reaches_store(index) {
            return operation::StoreAnswer::Unknown;
        }
        // A lost answer belongs to a call that may have taken effect.
        let order = self.instances[index].order.unwrap_or(self.store.order);
        let answer = self.store.execute(call, order, &mut self.rng);
        let is_lost = self.instances[index].loses_answers;
        if is_lost { operation::StoreAnswer::Unknown } else { answer }
    }

    fn schedule_answer(&mut self, index: usize, event: keeper::ConfigurationEvent) {
        let delay = self.rng.random_range(0..=self.late_answer_ms);
        let at = self.now + STORE_DELAY + time::Duration::from_millis(delay);
        self.enqueue(at, index, Delivery::Store(event));
    }

    fn send_message(
        &mut self,
        from: usize,
        to: net::SocketAddr,
        message: message::ConfigurationMessage,
    ) {
        let Some(target) = self.instances.iter().position(|instance| instance.address == to) else {
            return;
        };
        if self.rng.random_bool(self.loss_rate) || !self.reaches(from, target) {
            return;
        }
        let delay = self.rng.random_range(0..=self.delay_ms);
        let at = self.now + time::Duration::from_millis(delay);
        let sender = self.instances[from].address;
        self.enqueue(at, target, Delivery::Message(sender, message));
    }

    fn enqueue(&mut self, at: entity_time::Timestamp, index: usize, delivery: Delivery) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), (index, delivery));
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= self.now
        {
            let ((_, sequence), (index, delivery)) = entry.remove_entry();
            if self.instances[index].is_dead {
                continue;
            }
            if !self.is_running(index) {
                let at = self.instances[index].paused_until;
                self.queue.insert((at, sequence), (index, delivery));
                continue;
            }
            let event = match delivery {
                Delivery::Message(address, message) => {
                    keeper::ConfigurationEvent::Received { address, message }
                }
                Delivery::Store(event) => event,
            };
            self.handle(index, event);
        }
    }

    fn advance_watch(&mut self, index: usize) {
        if !self.is_running(index) {
            return;
        }
        let Some(watch) = &self.instances[index].watch else { return };
        let is_lost = self.instances[index].loses_answers;
        let answer = if !self.reaches_store(index) || self.store.is_down || is_lost {
            if self.now < watch.timeout_at {
                return;
            }
            None
        } else {
            let order = self.instances[index].order.unwrap_or(self.store.order);
            let answer = self.store.watch(watch.after, order);
            let is_due = answer.is_full_list || !answer.changes.is_empty();
            if !is_due && self.now < watch.answer_at {
                return;
            }
            Some(answer)
        };
        self.instances[index].watch = None;
        self.schedule_answer(index, keeper::ConfigurationEvent::Watched(answer));
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.instances[from], &self.instances[to]);
        let is_region_partitioned =
            |instance: &FleetInstance| self.partitioned_region == Some(instance.region);
        !from.is_partitioned
            && !to.is_partitioned
            && !to.is_dead
            && is_region_partitioned(from) == is_region_partitioned(to)
    }

    fn reaches_store(&self, index: usize) -> bool {
        let instance = &self.instances[index];
        // The store is in the first region.
        let is_region_partitioned = self
            .partitioned_region
            .is_some_and(|region| (region == 0) != (region == instance.region));
        let lacks_store =
            instance.lacks_store || self.region_without_store == Some(instance.region);
        !instance.is_partitioned && !is_region_partitioned && !lacks_store
    }

    fn is_running(&self, index: usize) -> bool {
        let instance = &self.instances[index];
        !instance.is_dead && instance.paused_until <= self.now
    }
}

fn region_name(region: usize) -> Arc<str> {
    format!("region-{region}").into()
}
