//! The state dump of an instance, in sections of bounded size.
//!
//! Invariants: no section contains a key, a key's hash or a secret; a list has at
//! most [`MAX_ROWS`] rows and gives the total number.

use std::time;

use marjoramwing_derives as derives;
use marjoramwing_dispatch::quarantine;
use marjoramwing_membership::member;
use marjoramwing_tables::snapshot;

use crate::shared;
use crate::steering;

/// Maximum number of rows in a list of the dump.
pub const MAX_ROWS: usize = 1_000;

/// A section of the dump.
#[derives::value]
#[derive(derive_more::Display, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum DumpSection {
    /// Identity and status of the instance.
    #[display("instance")]
    Instance,
    /// Versions and sizes of the applied tables.
    #[display("tables")]
    Tables,
    /// This instance's view of the members.
    #[display("members")]
    Members,
    /// Load and shift plan of each region.
    #[display("regions")]
    Regions,
    /// Membership, configuration and key trust.
    #[display("control")]
    Control,
    /// Shares of rate limits, leases and loans.
    #[display("ledger")]
    Ledger,
    /// Requests under which backend servers ended.
    #[display("quarantine")]
    Quarantine,
}

impl DumpSection {
    /// All sections, in the order in which they are declared.
    pub const ALL: [Self; 7] = [
        Self::Instance,
        Self::Tables,
        Self::Members,
        Self::Regions,
        Self::Control,
        Self::Ledger,
        Self::Quarantine,
    ];

    /// Returns the section with this name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|section| section.to_string() == name)
    }

    /// Returns the section's current state as JSON.
    #[must_use]
    pub fn write(self, shared: &shared::InstanceState) -> serde_json::Value {
        match self {
            Self::Instance => to_json(&InstanceDump::new(shared)),
            Self::Tables => to_json(&TablesDump::new(shared)),
            Self::Members => {
                to_json(&BoundedRows::<member::Member>::new(&shared.members.load().members))
            }
            Self::Regions => {
                to_json(&BoundedRows::<steering::RegionDump>::new(&shared.steering.dump()))
            }
            Self::Control => to_json(&shared.control.dump()),
            Self::Ledger => to_json(&shared.admission.dump(shared.now())),
            Self::Quarantine => {
                let statuses = shared.quarantine.statuses(shared.now());
                let rows: Vec<_> = statuses.iter().map(SuspectDump::from).collect();
                to_json(&BoundedRows::new(&rows))
            }
        }
    }
}

/// Returns all sections as a JSON object, by name.
#[must_use]
pub fn write_all(shared: &shared::InstanceState) -> serde_json::Value {
    let sections = DumpSection::ALL.into_iter();
    let sections = sections.map(|section| (section.to_string(), section.write(shared)));
    serde_json::Value::Object(sections.collect())
}

/// The first rows of a list and its length.
#[derive(Debug, serde::Serialize)]
pub struct BoundedRows<'a, T> {
    total: usize,
    rows: &'a [T],
}

impl<'a, T> BoundedRows<'a, T> {
    /// Truncates a list to [`MAX_ROWS`] rows.
    #[must_use]
    pub fn new(rows: &'a [T]) -> Self {
        Self { total: rows.len(), rows: &rows[..rows.len().min(MAX_ROWS)] }
    }
}

#[derive(serde::Serialize)]
struct InstanceDump {
    name: String,
    incarnation: String,
    site: String,
    region: String,
    failure_domain: String,
    version: &'static str,
    leaving: bool,
    ready: bool,
    uptime_ms: u64,
    open_requests: i64,
    caller_connections: i64,
    refused_connections: u64,
}

impl InstanceDump {
    fn new(shared: &shared::InstanceState) -> Self {
        let identity = &shared.settings.identity;
        Self {
            name: identity.name.to_string(),
            incarnation: shared.incarnation.to_string(),
            site: identity.site.to_string(),
            region: identity.region.to_string(),
            failure_domain: identity.failure_domain.to_string(),
            version: env!("CARGO_PKG_VERSION"),
            leaving: shared.is_leaving(),
            ready: shared.is_ready(),
            uptime_ms: shared.uptime_ms(),
            open_requests: shared.metrics.open_requests.get(),
            caller_connections: shared.metrics.caller_connections.get(),
            refused_connections: shared.metrics.refused_connections.get(),
        }
    }
}

#[derive(serde::Serialize)]
struct TablesDump {
    versions: snapshot::TableVersions,
    routes: usize,
    pools: usize,
    teams: usize,
    keys: usize,
    refused_sets: u64,
}

impl TablesDump {
    fn new(shared: &shared::InstanceState) -> Self {
        let tables = shared.tables.load();
        Self {
            versions: tables.versions,
            routes: tables.snapshot.routes.len(),
            pools: tables.snapshot.pools.len(),
            teams: tables.snapshot.teams.len(),
            keys: tables.snapshot.credential_count(),
            refused_sets: shared.metrics.refused_objects.get(),
        }
    }
}

#[derive(serde::Serialize)]
struct SuspectDump {
    content: String,
    crashes: usize,
    last_crash_ms_ago: u64,
    held_for_ms: u64,
}

impl From<&quarantine::SuspectStatus> for SuspectDump {
    fn from(status: &quarantine::SuspectStatus) -> Self {
        let millis = |time: time::Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        Self {
            content: status.content.to_string(),
            crashes: status.crashes,
            last_crash_ms_ago: millis(status.crash_age),
            held_for_ms: millis(status.held_for),
        }
    }
}

fn to_json<T: serde::Serialize>(value: &T) -> serde_json::Value {
    serde_json::to_value(value).expect("dump rows have string keys")
}
