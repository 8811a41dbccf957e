//! Task that drives the configuration keeper.

use std::sync;
use std::time;

use marjoramwing_configuration::candidate;
use marjoramwing_configuration::keeper;
use marjoramwing_configuration::settings;
use marjoramwing_configuration::trust;
use marjoramwing_events::catalogue;
use marjoramwing_events::emit;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;
use marjoramwing_objects::position;
use marjoramwing_peer::message;
use marjoramwing_settings::settings as instance;
use marjoramwing_store_client::client;
use marjoramwing_tables::fault;
use rand::SeedableRng;
use tokio::sync::mpsc;

use crate::control::watching;
use crate::peers::mesh;
use crate::shared;

/// Capacity of the task's event queue.
pub const EVENT_QUEUE: usize = 1_024;
/// Interval between ticks of the keeper.
const TICK_PERIOD: time::Duration = time::Duration::from_millis(200);
/// Largest number of confined faults in one log line.
const MAX_LOGGED_FAULTS: usize = 100;

/// Executes the actions of the configuration keeper.
#[derive(Debug)]
pub struct ConfigurationDriver {
    shared: sync::Arc<shared::InstanceState>,
    mesh: mesh::PeerMesh,
    client: client::StoreClient,
    watches: sync::Arc<watching::WatchControl>,
    events: mpsc::Receiver<keeper::ConfigurationEvent>,
    /// Sends the store's answers to this task as events.
    answers: mpsc::Sender<keeper::ConfigurationEvent>,
    keeper: keeper::ConfigurationKeeper,
    rng: rand_pcg::Pcg64Mcg,
    store_reachable: bool,
    /// Era of the store as of the last answer; `None` before the first one.
    store_era: Option<position::StoreEra>,
}

impl ConfigurationDriver {
    /// Creates a driver that has read no object yet.
    #[must_use]
    pub fn new(
        shared: sync::Arc<shared::InstanceState>,
        mesh: mesh::PeerMesh,
        watches: sync::Arc<watching::WatchControl>,
        answers: mpsc::Sender<keeper::ConfigurationEvent>,
        events: mpsc::Receiver<keeper::ConfigurationEvent>,
    ) -> Self {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(rand::random());
        let keeper = keeper::ConfigurationKeeper::new(
            shared.incarnation,
            shared.settings.identity.region.text(),
            make_settings(&shared.settings),
            shared.now(),
            &mut rng,
        );
        shared.require_confirmation();
        Self {
            shared,
            mesh,
            client: watches.client().clone(),
            watches,
            events,
            answers,
            keeper,
            rng,
            store_reachable: true,
            store_era: None,
        }
    }

    /// Handles events and ticks until the task is cancelled.
    pub async fn run(mut self) {
        let mut ticks = tokio::time::interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut members = self.shared.watch_members();
        members.mark_changed();
        loop {
            let event = tokio::select! {
                event = self.events.recv() => event,
                _ = ticks.tick() => Some(keeper::ConfigurationEvent::Tick),
                changed = members.changed() => changed.ok().map(|()| {
                    let view = sync::Arc::clone(&members.borrow_and_update());
                    keeper::ConfigurationEvent::Members(view)
                }),
            };
            let Some(event) = event else { return };
            self.handle(event);
        }
    }

    fn handle(&mut self, event: keeper::ConfigurationEvent) {
        let is_tick = matches!(event, keeper::ConfigurationEvent::Tick);
        let mut actions = Vec::new();
        let now = self.shared.now();
        self.keeper.handle(event, now, &mut self.rng, &mut actions);
        for action in actions {
            self.execute(action);
        }
        if is_tick {
            self.publish();
        }
    }

    fn execute(&self, action: keeper::ConfigurationAction) {
        match action {
            keeper::ConfigurationAction::Send { address, message } => {
                self.mesh.send(address, message::Body::Configuration(message.into()));
            }
            keeper::ConfigurationAction::Watch { after, wait } => self.watch(after, wait),
            keeper::ConfigurationAction::Read(table) => self.read(table),
            keeper::ConfigurationAction::Status { object, operation } => {
                self.run_status_operation(object, operation);
            }
            keeper::ConfigurationAction::Apply(applied) => {
                emit!(catalogue::TABLES_APPLIED, versions = ?applied.versions);
                self.record_confined(&applied.confined);
                self.shared.apply(applied);
            }
            keeper::ConfigurationAction::Refused(object) => self.record_refused(object),
            keeper::ConfigurationAction::Trust(trust) => {
                emit!(catalogue::KEY_TRUST_CHANGED, trust = ?trust);
                self.shared.set_key_trust(trust);
            }
        }
    }

    fn watch(&self, after: position::StorePosition, wait: time::Duration) {
        let (watches, answers) = (sync::Arc::clone(&self.watches), self.answers.clone());
        let kind = object::ObjectKind::Tables;
        tokio::spawn(async move {
            let request = operation::WatchRequest { kind, after, wait };
            let answer = watches.watch_or_list(&request).await.ok();
            let _ = answers.send(keeper::ConfigurationEvent::Watched(answer)).await;
        });
    }

    fn read(&self, table: candidate::TableObject) {
        let (client, answers) = (self.client.clone(), self.answers.clone());
        tokio::spawn(async move {
            let answer = client.run(&operation::StoreOperation::Read(table.object_name())).await;
            let _ = answers.send(keeper::ConfigurationEvent::Read { object: table, answer }).await;
        });
    }

    /// Runs a store operation on the status object of a table object.
    fn run_status_operation(
        &self,
        object: candidate::TableObject,
        operation: operation::StoreOperation,
    ) {
        let (client, answers) = (self.client.clone(), self.answers.clone());
        tokio::spawn(async move {
            let answer = client.run(&operation).await;
            let _ = answers.send(keeper::ConfigurationEvent::Status { object, answer }).await;
        });
    }

    /// Logs the faults in applied tables that are confined to their rows, up to a limit.
    fn record_confined(&self, confined: &fault::FaultList) {
        let count = confined.faults.len();
        self.shared.metrics.confined_faults.set(i64::try_from(count).unwrap_or(i64::MAX));
        if !confined.is_empty() {
            let logged = confined.faults.iter().take(MAX_LOGGED_FAULTS);
            let faults: Vec<_> = logged.map(ToString::to_string).collect();
            emit!(catalogue::TABLES_CONFINED, count = count, faults = %faults.join("\n"));
        }
    }

    fn record_refused(&self, object: candidate::TableObject) {
        let dump = self.keeper.dump(self.shared.now());
        self.shared.metrics.refused_objects.inc();
        let held = dump.held.into_iter().find(|held| held.object == object);
        if let Some(held) = held {
            let faults = held.faults.join("\n");
            emit!(catalogue::TABLES_REFUSED, object = %object, version = held.version,
                faults = %faults);
        }
    }

    /// Logs a change of the store's era.
    fn record_era(&mut self, position: position::StorePosition) {
        if position.is_start() {
            return;
        }
        let known = self.store_era.replace(position.era);
        if let Some(known) = known.filter(|known| *known != position.era) {
            emit!(catalogue::STORE_RESTORED, known = %known, position = %position);
        }
    }

    /// Publishes the keeper's state to the metrics, the state dump and the log.
    fn publish(&mut self) {
        let dump = self.keeper.dump(self.shared.now());
        let metrics = &self.shared.metrics;
        metrics.held_objects.set(i64::try_from(dump.held.len()).unwrap_or(i64::MAX));
        // -1 while the tables have never been confirmed against the store.
        metrics.tables_age_ms.set(dump.age_ms.map_or(-1, |age| i64::try_from(age).unwrap_or(-1)));
        metrics.keys_trusted.set(i64::from(dump.keys != trust::KeyTrust::Refused));
        let is_reachable = dump.failing_ms.is_none();
        match (self.store_reachable, is_reachable) {
            (true, false) => emit!(catalogue::STORE_UNREACHABLE),
            (false, true) => emit!(catalogue::STORE_REACHABLE),
            _ => {}
        }
        self.store_reachable = is_reachable;
        self.record_era(dump.position);
        self.shared.control.set_configuration(dump);
    }
}

fn make_settings(settings: &instance::InstanceSettings) -> settings::ConfigurationSettings {
    let undecided = if settings.keys.serve_undecided {
        settings::UndecidedKeys::Serve
    } else {
        settings::UndecidedKeys::Refuse
    };
    let defaults = match settings.dialect {
        instance::InterfaceDialect::Native => settings::ConfigurationSettings::default(),
        instance::InterfaceDialect::Platform => {
            settings::ConfigurationSettings::for_metered_store()
        }
    };
    settings::ConfigurationSettings { max_age: settings.keys.max_age, undecided, ..defaults }
}
