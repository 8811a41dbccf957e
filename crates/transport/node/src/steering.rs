//! Steering of callers, around the planner's decisions.
//!
//! The table and the plan are immutable snapshots; one task replaces them when
//! tables or members change, and steps the planner.

use std::net;
use std::sync;
use std::time;

use marjoramwing_blocks::table as blocks;
use marjoramwing_configuration::configuration;
use marjoramwing_membership::view;
use marjoramwing_steering::lookup;
use marjoramwing_steering::plan;
use marjoramwing_steering::planner;
use marjoramwing_steering::rendezvous;
use marjoramwing_steering::table;
use marjoramwing_tables::region;
use marjoramwing_tables::snapshot;
use marjoramwing_tables::team;

use crate::shared;

/// Time between two looks for changed tables or members.
const REFRESH_PERIOD: time::Duration = time::Duration::from_millis(200);
/// Refreshes between two steps of the planner.
const REFRESHES_PER_STEP: u64 = 5;

/// What look-ups read.
#[derive(Debug, Default)]
pub struct SteeringControl {
    table: arc_swap::ArcSwapOption<table::SteeringTable>,
    plan: arc_swap::ArcSwap<plan::ShiftPlan>,
    reasons: arc_swap::ArcSwap<Vec<RegionDump>>,
}

/// The plan of one region, for the state dump.
#[derive(Debug, Clone, serde::Serialize)]
pub struct RegionDump {
    /// Name of the region.
    pub region: sync::Arc<str>,
    /// Members that serve it.
    pub serving_members: usize,
    /// Share of its clients that other regions serve.
    pub shifted: f64,
    /// Why the plan last changed or was held.
    pub reason: planner::PlanReason,
}

/// Who asks for a member.
#[derive(Debug, Clone, Copy)]
pub struct LookupCaller<'a> {
    /// Address of the caller.
    pub client: net::IpAddr,
    /// Team of the caller, if it showed a key.
    pub team: Option<&'a team::Team>,
}

impl SteeringControl {
    /// Returns the table for look-ups, once there is one.
    #[must_use]
    pub fn table(&self) -> Option<sync::Arc<table::SteeringTable>> {
        self.table.load_full()
    }

    /// Finds the members that a caller is to use.
    pub fn find_members(
        &self,
        context: &mut lookup::LookupContext,
        tables: &snapshot::TableSnapshot,
        own_region: &str,
        caller: &LookupCaller<'_>,
    ) -> lookup::LookupOutcome {
        let Some(table) = self.table() else { return lookup::LookupOutcome::NoMember };
        let affinity = caller.team.map_or("", |team| team.name.as_str());
        let rate = caller.team.map_or(0.0, |team| team.limit.rate);
        let query = lookup::LookupQuery {
            client: caller.client,
            default_region: find_region(tables, own_region),
            affinity: rendezvous::seed_of(affinity),
            spread: 1 + (rate / tables.spread_rate) as usize,
        };
        lookup::find_members(context, &table, &self.plan.load(), &query)
    }

    /// Returns the plan of every region, for the state dump.
    #[must_use]
    pub fn dump(&self) -> Vec<RegionDump> {
        (**self.reasons.load()).clone()
    }
}

fn find_region(tables: &snapshot::TableSnapshot, name: &str) -> Option<region::RegionKey> {
    let mut regions = tables.regions.iter();
    regions.find(|(_, region)| region.name.as_str() == name).map(|(key, _)| key)
}

/// Follows tables and members and steps the planner until cancelled.
pub async fn run_steering(shared: sync::Arc<shared::SharedTables>) {
    let mut follower = SteeringFollower::new(shared);
    let mut interval = tokio::time::interval(REFRESH_PERIOD);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    for refresh in 0_u64.. {
        interval.tick().await;
        follower.refresh();
        if refresh.is_multiple_of(REFRESHES_PER_STEP) {
            follower.step();
        }
    }
}

/// Keeps what the current table was built from.
struct SteeringFollower {
    shared: sync::Arc<shared::SharedTables>,
    planner: planner::ShiftPlanner,
    tables: sync::Arc<configuration::AppliedTables>,
    members: sync::Arc<view::MemberView>,
    blocks: sync::Arc<blocks::BlockTable>,
}

impl SteeringFollower {
    fn new(shared: sync::Arc<shared::SharedTables>) -> Self {
        // Starts from nothing, so that the first refresh builds from what is in force by then.
        let empty = shared::SharedTables::no_tables();
        let tables = sync::Arc::new(empty);
        let members = sync::Arc::new(view::MemberView::default());
        let blocks = table::build_blocks(&tables.snapshot);
        Self { shared, planner: planner::ShiftPlanner::default(), tables, members, blocks }
    }

    fn refresh(&mut self) {
        let tables = self.shared.tables.load_full();
        let members = self.shared.members.load_full();
        let tables_changed = !sync::Arc::ptr_eq(&tables, &self.tables);
        if !tables_changed && sync::Arc::ptr_eq(&members, &self.members) {
            return;
        }
        if tables.versions.steering != self.tables.versions.steering {
            self.blocks = table::build_blocks(&tables.snapshot);
        }
        self.tables = tables;
        self.members = members;
        if tables_changed {
            self.tell(&planner::PlannerEvent::TablesApplied(&self.tables.snapshot.clone()));
        }
        self.rebuild();
    }

    fn rebuild(&mut self) {
        let snapshot = &self.tables.snapshot;
        let blocks = sync::Arc::clone(&self.blocks);
        let members = sync::Arc::clone(&self.members);
        let table = table::SteeringTable::new(snapshot, blocks, members);
        for region in self.tables.snapshot.regions.keys() {
            let members = table.serving_count(region);
            self.tell(&planner::PlannerEvent::Serving { region, members });
        }
        self.shared.steering.table.store(Some(sync::Arc::new(table)));
        self.publish();
    }

    fn step(&mut self) {
        self.tell(&planner::PlannerEvent::Tick);
        self.publish();
    }

    fn tell(&mut self, event: &planner::PlannerEvent<'_>) {
        self.planner.handle(event, self.shared.now());
    }

    fn publish(&self) {
        let steering = &self.shared.steering;
        steering.plan.store(sync::Arc::new(self.planner.plan().clone()));
        let Some(table) = steering.table() else { return };
        let regions = self.tables.snapshot.regions.iter();
        let dumps = regions.map(|(key, region)| RegionDump {
            region: region.name.text(),
            serving_members: table.serving_count(key),
            shifted: self.planner.plan().regions[key].shifted().as_fraction(),
            reason: self.planner.reason(key),
        });
        steering.reasons.store(sync::Arc::new(dumps.collect()));
    }
}
