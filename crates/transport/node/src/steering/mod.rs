//! Steering of callers between regions.
//!
//! The steering table and the shift plan are immutable snapshots that one task replaces.
//!
//! - [`driver`]: task that drives the shift planner and the traffic reports.
//! - [`traffic`]: request counts by home region.

pub mod driver;
pub mod traffic;

use std::net;
use std::sync;

use marjoramwing_entity::rendezvous;
use marjoramwing_steering::lookup;
use marjoramwing_steering::plan;
use marjoramwing_steering::planner;
use marjoramwing_steering::table;
use marjoramwing_tables::name;
use marjoramwing_tables::region;
use marjoramwing_tables::snapshot;
use marjoramwing_tables::team;

/// Steering state read by lookups and arriving requests.
#[derive(Debug, Default)]
pub struct SteeringControl {
    table: arc_swap::ArcSwapOption<table::SteeringTable>,
    plan: arc_swap::ArcSwap<plan::ShiftPlan>,
    dump: arc_swap::ArcSwap<Vec<RegionDump>>,
    traffic: traffic::TrafficCounter,
}

/// Load and shift plan of one region, for the state dump.
#[derive(Debug, Clone, serde::Serialize)]
pub struct RegionDump {
    /// Name of the region.
    pub region: sync::Arc<str>,
    /// Number of its members that accept new requests.
    pub serving_members: usize,
    /// Requests per second of its clients, in whichever region they are served.
    pub offered: f64,
    /// Age of its latest measurement, in milliseconds, if any.
    pub report_age_ms: Option<u64>,
    /// Fraction of its clients that other regions serve.
    pub shifted: f64,
    /// Why the plan last changed or was left unchanged.
    pub reason: planner::PlanReason,
}

/// Caller of a lookup.
#[derive(Debug, Clone, Copy)]
pub struct LookupCaller<'a> {
    /// Address of the caller.
    pub client: net::IpAddr,
    /// Team of the caller, if it presented a key.
    pub team: Option<&'a team::Team>,
}

impl SteeringControl {
    /// Returns the table for lookups, once there is one.
    #[must_use]
    pub fn table(&self) -> Option<sync::Arc<table::SteeringTable>> {
        self.table.load_full()
    }

    /// Returns the members that a caller should use.
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

    /// Replaces the table for lookups.
    pub fn replace_table(&self, table: sync::Arc<table::SteeringTable>) {
        self.table.store(Some(table));
    }

    /// Counts an arriving request and returns the home region of its client.
    ///
    /// Returns `None`, and counts nothing, if the region is unknown or there is no table yet.
    pub fn record_arrival(&self, client: net::IpAddr) -> Option<name::RegionName> {
        let table = self.table.load();
        let table = table.as_ref()?;
        let home = table.find_home(client)?;
        self.traffic.add(home);
        table.region_name(home).cloned()
    }

    /// Returns the load and the plan of each region, for the state dump.
    #[must_use]
    pub fn dump(&self) -> Vec<RegionDump> {
        (**self.dump.load()).clone()
    }
}

/// Returns the key of the region with this name.
#[must_use]
pub fn find_region(tables: &snapshot::TableSnapshot, name: &str) -> Option<region::RegionKey> {
    let mut regions = tables.regions.iter();
    regions.find(|(_, region)| region.name.as_str() == name).map(|(key, _)| key)
}
