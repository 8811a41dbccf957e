//! Tables that all tasks of an instance share.
//!
//! Lock order: the ledger of `admission`, then the state of one service of
//! `dispatch`, then its idle connections.
//! No lock is held across an await, and
//! the snapshots are read without one.

use std::sync;
use std::sync::atomic;

use marjoramwing_configuration::configuration;
use marjoramwing_entity::incarnation;
use marjoramwing_entity::time;
use marjoramwing_membership::view;
use marjoramwing_settings::settings;
use marjoramwing_tables::snapshot;

use crate::admission;
use crate::clock;
use crate::dispatch;
use crate::metrics;

/// The shared tables of one instance.
#[derive(Debug)]
pub struct SharedTables {
    /// Settings of the instance.
    pub settings: settings::InstanceSettings,
    /// This run of the process.
    pub incarnation: incarnation::Incarnation,
    /// Tables in force.
    pub tables: arc_swap::ArcSwap<configuration::AppliedTables>,
    /// Members as seen here.
    pub members: arc_swap::ArcSwap<view::MemberView>,
    /// Dispatch of requests to backend servers.
    pub dispatch: dispatch::DispatchControl,
    /// Admission of requests under limits.
    pub admission: admission::AdmissionControl,
    /// Metrics of the instance.
    pub metrics: metrics::InstanceMetrics,
    clock: clock::MonotonicClock,
    leaving: atomic::AtomicBool,
}

impl SharedTables {
    /// Makes the tables of an instance that knows no configuration yet.
    #[must_use]
    pub fn new(settings: settings::InstanceSettings) -> Self {
        let empty = configuration::AppliedTables {
            versions: snapshot::TableVersions::default(),
            snapshot: sync::Arc::new(snapshot::TableSnapshot::default()),
        };
        let clock = clock::MonotonicClock::start();
        Self {
            incarnation: incarnation::Incarnation::from_u64(rand::random()),
            tables: arc_swap::ArcSwap::from_pointee(empty),
            members: arc_swap::ArcSwap::from_pointee(view::MemberView::default()),
            dispatch: dispatch::DispatchControl::new(settings.objective, clock),
            settings,
            metrics: metrics::InstanceMetrics::new(),
            clock,
            admission: admission::AdmissionControl::default(),
            leaving: atomic::AtomicBool::new(false),
        }
    }

    /// Returns the time on the process's clock.
    #[must_use]
    pub fn now(&self) -> time::Timestamp {
        self.clock.now()
    }

    /// Returns the process's clock.
    #[must_use]
    pub const fn clock(&self) -> clock::MonotonicClock {
        self.clock
    }

    /// Puts a set of tables in force.
    pub fn apply(&self, applied: configuration::AppliedTables) {
        let live_count = self.members.load().live_count();
        self.admission.set_limits(&applied.snapshot, live_count, self.now());
        self.dispatch.set_pools(&applied.snapshot);
        self.record_versions(&applied.versions);
        self.tables.store(sync::Arc::new(applied));
    }

    /// Marks the instance as leaving.
    pub fn leave(&self) {
        self.leaving.store(true, atomic::Ordering::Release);
    }

    /// Tells whether the instance is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(atomic::Ordering::Acquire)
    }

    /// Tells whether the instance has tables and takes requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.tables.load().versions.routes > 0
    }

    fn record_versions(&self, versions: &snapshot::TableVersions) {
        let named = [
            ("routes", versions.routes),
            ("pools", versions.pools),
            ("teams", versions.teams),
            ("keys", versions.keys),
            ("steering", versions.steering),
        ];
        for (object, version) in named {
            let gauge = self.metrics.table_versions.with_label_values(&[object]);
            gauge.set(i64::try_from(version).unwrap_or(i64::MAX));
        }
    }
}
