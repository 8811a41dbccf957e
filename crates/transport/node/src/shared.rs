//! Tables that all tasks of an instance share.
//!
//! Lock order: the ledger of `admission`, then `picker`, then idle connections.
//! No lock is held across an await, and
//! the snapshots are read without one.

use std::sync;
use std::sync::atomic;

use marjoramwing_configuration::configuration;
use marjoramwing_dispatch::picker;
use marjoramwing_entity::incarnation;
use marjoramwing_entity::time;
use marjoramwing_membership::view;
use marjoramwing_settings::settings;
use marjoramwing_tables::snapshot;
use tokio::sync::watch;

use crate::admission::control;
use crate::backends::pool;
use crate::callers::request;
use crate::clock;
use crate::metrics;
use crate::steering;

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
    member_changes: watch::Sender<sync::Arc<view::MemberView>>,
    /// Connections to backend servers.
    pub connections: pool::ConnectionPool,
    /// Memory for request bodies.
    pub body_memory: request::BodyMemory,
    /// Admission of requests under limits.
    pub admission: control::AdmissionControl,
    /// Steering of callers.
    pub steering: steering::SteeringControl,
    /// Metrics of the instance.
    pub metrics: metrics::InstanceMetrics,
    clock: clock::MonotonicClock,
    picker: sync::Mutex<picker::BackendPicker>,
    leaving: atomic::AtomicBool,
    seed: atomic::AtomicUsize,
}

impl SharedTables {
    /// Makes the tables of an instance that knows no configuration yet.
    #[must_use]
    pub fn new(settings: settings::InstanceSettings) -> Self {
        let empty = configuration::AppliedTables {
            versions: snapshot::TableVersions::default(),
            snapshot: sync::Arc::new(snapshot::TableSnapshot::default()),
        };
        let incarnation = incarnation::Incarnation::from_u64(rand::random());
        Self {
            admission: control::AdmissionControl::new(&settings, incarnation),
            settings,
            incarnation,
            tables: arc_swap::ArcSwap::from_pointee(empty),
            members: arc_swap::ArcSwap::from_pointee(view::MemberView::default()),
            member_changes: watch::Sender::default(),
            connections: pool::ConnectionPool::default(),
            steering: steering::SteeringControl::default(),
            body_memory: request::BodyMemory::default(),
            metrics: metrics::InstanceMetrics::new(),
            clock: clock::MonotonicClock::start(),
            picker: sync::Mutex::default(),
            leaving: atomic::AtomicBool::new(false),
            seed: atomic::AtomicUsize::new(0),
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

    /// Locks the picker of backend servers.
    ///
    /// # Panics
    ///
    /// Panics if a task panicked while it held the lock.
    pub fn picker(&self) -> sync::MutexGuard<'_, picker::BackendPicker> {
        self.picker.lock().expect("no task panics while it holds the picker")
    }

    /// Returns a number that differs from call to call.
    pub fn next_seed(&self) -> usize {
        self.seed.fetch_add(1, atomic::Ordering::Relaxed)
    }

    /// Puts a set of tables in force.
    pub fn apply(&self, applied: configuration::AppliedTables) {
        self.admission.set_limits(&applied.snapshot, self.now());
        self.record_versions(&applied.versions);
        self.tables.store(sync::Arc::new(applied));
    }

    /// Publishes a changed view of the members.
    pub fn publish_members(&self, view: view::MemberView) {
        let view = sync::Arc::new(view);
        self.members.store(sync::Arc::clone(&view));
        self.member_changes.send_replace(view);
    }

    /// Subscribes to changes of the members.
    #[must_use]
    pub fn watch_members(&self) -> watch::Receiver<sync::Arc<view::MemberView>> {
        self.member_changes.subscribe()
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
