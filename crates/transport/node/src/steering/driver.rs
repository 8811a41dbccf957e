//! Task that drives the shift planner and the traffic reports.

use std::sync;
use std::time;

use marjoramwing_blocks::table as blocks;
use marjoramwing_configuration::configuration;
use marjoramwing_membership::view;
use marjoramwing_peer::message;
use marjoramwing_steering::planner;
use marjoramwing_steering::report;
use marjoramwing_steering::table;
use tokio::sync::mpsc;

use crate::peers::mesh;
use crate::shared;
use crate::steering;

/// Capacity of the task's event queue.
pub const EVENT_QUEUE: usize = 1_024;
/// Interval between checks for changed tables or members.
const REFRESH_PERIOD: time::Duration = time::Duration::from_millis(200);
/// Number of refreshes per planner step.
const REFRESHES_PER_STEP: u64 = 5;
/// Number of refreshes per report.
const REFRESHES_PER_REPORT: u64 =
    (report::REPORT_PERIOD.as_millis() / REFRESH_PERIOD.as_millis()) as u64;

/// Feeds tables, members and reports to the planner and publishes its plan.
#[derive(Debug)]
pub struct SteeringDriver {
    shared: sync::Arc<shared::InstanceState>,
    mesh: mesh::PeerMesh,
    events: mpsc::Receiver<report::ReportEvent>,
    planner: planner::ShiftPlanner,
    keeper: report::ReportKeeper,
    tables: sync::Arc<configuration::AppliedTables>,
    members: sync::Arc<view::MemberView>,
    blocks: sync::Arc<blocks::BlockTable>,
}

impl SteeringDriver {
    /// Creates a driver that has neither tables nor members.
    #[must_use]
    pub fn new(
        shared: sync::Arc<shared::InstanceState>,
        mesh: mesh::PeerMesh,
        events: mpsc::Receiver<report::ReportEvent>,
    ) -> Self {
        let identity = &shared.settings.identity;
        let keeper = report::ReportKeeper::new(
            identity.name.text(),
            identity.region.text(),
            shared.incarnation,
        );
        let tables = sync::Arc::new(shared::InstanceState::empty_tables());
        let members = sync::Arc::default();
        let blocks = table::build_blocks(&tables.snapshot);
        let planner = planner::ShiftPlanner::default();
        Self { shared, mesh, events, planner, keeper, tables, members, blocks }
    }

    /// Handles events and refreshes until all event senders are dropped.
    pub async fn run(mut self) {
        let mut interval = tokio::time::interval(REFRESH_PERIOD);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut refreshes = 0_u64;
        loop {
            tokio::select! {
                event = self.events.recv() => match event {
                    Some(event) => self.handle_report_event(event),
                    None => return,
                },
                _ = interval.tick() => {
                    refreshes += 1;
                    self.refresh();
                    if refreshes.is_multiple_of(REFRESHES_PER_REPORT) {
                        self.report();
                    }
                    if refreshes.is_multiple_of(REFRESHES_PER_STEP) {
                        self.step();
                    }
                }
            }
        }
    }

    fn refresh(&mut self) {
        let tables = self.shared.tables.load_full();
        let members = self.shared.members.load_full();
        let tables_changed = !sync::Arc::ptr_eq(&tables, &self.tables);
        let members_changed = !sync::Arc::ptr_eq(&members, &self.members);
        if tables_changed {
            self.apply_tables(&tables);
        }
        if members_changed {
            self.members = sync::Arc::clone(&members);
            self.handle_report_event(report::ReportEvent::ViewChanged(members));
        }
        if tables_changed || members_changed {
            self.rebuild();
        }
    }

    fn apply_tables(&mut self, tables: &sync::Arc<configuration::AppliedTables>) {
        if tables.versions.steering != self.tables.versions.steering {
            self.blocks = table::build_blocks(&tables.snapshot);
        }
        self.shared.steering.traffic.resize(tables.snapshot.regions.len());
        self.tables = sync::Arc::clone(tables);
        self.notify_planner(&planner::PlannerEvent::TablesApplied(&tables.snapshot));
    }

    fn rebuild(&mut self) {
        let tables = sync::Arc::clone(&self.tables);
        let blocks = sync::Arc::clone(&self.blocks);
        let members = sync::Arc::clone(&self.members);
        let table = table::SteeringTable::new(&tables.snapshot, blocks, members);
        for region in tables.snapshot.regions.keys() {
            let members = table.serving_count(region);
            self.notify_planner(&planner::PlannerEvent::Serving { region, members });
        }
        self.shared.steering.replace_table(sync::Arc::new(table));
        self.publish();
    }

    fn report(&mut self) {
        let traffic = &self.shared.steering.traffic;
        let loads = traffic.take(&self.tables.snapshot, report::REPORT_PERIOD);
        self.handle_report_event(report::ReportEvent::Counted(loads));
    }

    fn handle_report_event(&mut self, event: report::ReportEvent) {
        let mut actions = Vec::new();
        self.keeper.handle(event, self.shared.now(), &mut actions);
        for action in actions {
            self.mesh.send(action.to, message::Body::Report(action.message.into()));
        }
    }

    fn step(&mut self) {
        let tables = sync::Arc::clone(&self.tables);
        let home_traffic = self.keeper.home_traffic(self.shared.now());
        let Some(table) = self.shared.steering.table() else { return };
        for (key, region) in tables.snapshot.regions.iter() {
            let name = region.name.text();
            let Some(traffic) = home_traffic.iter().find(|traffic| traffic.home == name) else {
                continue;
            };
            let report = planner::RegionReport {
                offered: traffic.offered,
                capacity: table.serving_count(key) as f64 * tables.snapshot.instance_rate,
                age: traffic.age,
            };
            self.notify_planner(&planner::PlannerEvent::Reported { region: key, report });
        }
        self.notify_planner(&planner::PlannerEvent::Tick);
        self.publish();
    }

    fn notify_planner(&mut self, event: &planner::PlannerEvent<'_>) {
        self.planner.handle(event, self.shared.now());
    }

    fn publish(&self) {
        let control = &self.shared.steering;
        control.plan.store(sync::Arc::new(self.planner.plan().clone()));
        let Some(table) = control.table() else { return };
        let home_traffic = self.keeper.home_traffic(self.shared.now());
        let regions = self.tables.snapshot.regions.iter();
        let dumps = regions.map(|(key, region)| {
            let name = region.name.text();
            let traffic = home_traffic.iter().find(|traffic| traffic.home == name);
            let age = traffic.map(|traffic| traffic.age.as_millis());
            steering::RegionDump {
                region: name,
                serving_members: table.serving_count(key),
                offered: traffic.map_or(0.0, |traffic| traffic.offered),
                report_age_ms: age.map(|millis| u64::try_from(millis).unwrap_or(u64::MAX)),
                shifted: self.planner.plan().regions[key].shifted().as_fraction(),
                reason: self.planner.reason(key),
            }
        });
        control.dump.store(sync::Arc::new(dumps.collect()));
    }
}
