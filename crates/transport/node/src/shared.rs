//! Tables that all tasks of an instance share.
//!
//! Lock order: the ledger of `admission`, then the state of one service of
//! `dispatch`, then its idle connections.
//! No lock is held across an await, and
//! the snapshots are read without one.

use std::sync;
use std::sync::atomic;

use marjoramwing_configuration::configuration;
use marjoramwing_configuration::trust;
use marjoramwing_entity::incarnation;
use marjoramwing_entity::time;
use marjoramwing_exchange::names;
use marjoramwing_membership::view;
use marjoramwing_settings::settings;
use marjoramwing_tables::credential;
use marjoramwing_tables::route;
use marjoramwing_tables::snapshot;
use tokio::sync::watch;

use crate::admission::control;
use crate::callers::trace;
use crate::clock;
use crate::control::dump;
use crate::dispatch;
use crate::metrics;
use crate::steering;

/// The shared tables of one instance.
#[derive(Debug)]
pub struct SharedTables {
    /// Settings of the instance.
    pub settings: settings::InstanceSettings,
    /// Headers between callers, instances and backend servers.
    pub names: &'static names::HeaderNames,
    /// This run of the process.
    pub incarnation: incarnation::Incarnation,
    /// Tables in force.
    pub tables: arc_swap::ArcSwap<configuration::AppliedTables>,
    /// Members as seen here.
    pub members: arc_swap::ArcSwap<view::MemberView>,
    member_changes: watch::Sender<sync::Arc<view::MemberView>>,
    /// Dispatch of requests to backend servers.
    pub dispatch: dispatch::DispatchControl,
    /// Admission of requests under limits.
    pub admission: control::AdmissionControl,
    /// State of the control tasks for the dump.
    pub control: dump::ControlBoard,
    /// Steering of callers.
    pub steering: steering::SteeringControl,
    /// Bounds the log lines on requests.
    pub lines: trace::LogLimiter,
    /// Metrics of the instance.
    pub metrics: metrics::InstanceMetrics,
    clock: clock::MonotonicClock,
    leaving: atomic::AtomicBool,
    keys_trusted: atomic::AtomicBool,
    was_confirmed: atomic::AtomicBool,
}

impl SharedTables {
    /// Makes the tables of an instance that knows no configuration yet.
    #[must_use]
    pub fn new(settings: settings::InstanceSettings) -> Self {
        let clock = clock::MonotonicClock::start();
        let incarnation = incarnation::Incarnation::from_u64(rand::random());
        Self {
            incarnation,
            tables: arc_swap::ArcSwap::from_pointee(Self::no_tables()),
            members: arc_swap::ArcSwap::from_pointee(view::MemberView::default()),
            admission: control::AdmissionControl::new(&settings, incarnation),
            dispatch: dispatch::DispatchControl::new(&settings, incarnation, clock),
            names: header_names(settings.dialect),
            settings,
            member_changes: watch::Sender::default(),
            steering: steering::SteeringControl::default(),
            lines: trace::LogLimiter::default(),
            metrics: metrics::InstanceMetrics::new(),
            clock,
            leaving: atomic::AtomicBool::new(false),
            keys_trusted: atomic::AtomicBool::new(true),
            was_confirmed: atomic::AtomicBool::new(true),
            control: dump::ControlBoard::default(),
        }
    }

    /// Returns the tables of an instance that knows no configuration yet.
    #[must_use]
    pub fn no_tables() -> configuration::AppliedTables {
        configuration::AppliedTables {
            versions: snapshot::TableVersions::default(),
            snapshot: sync::Arc::new(snapshot::TableSnapshot::default()),
        }
    }

    /// Returns the time on the process's clock.
    #[must_use]
    pub fn now(&self) -> time::Timestamp {
        self.clock.now()
    }

    /// Returns the milliseconds since the process started.
    #[must_use]
    pub fn uptime_ms(&self) -> u64 {
        u64::try_from(self.now().since(time::Timestamp::ZERO).as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the process's clock.
    #[must_use]
    pub const fn clock(&self) -> clock::MonotonicClock {
        self.clock
    }

    /// Puts a set of tables in force.
    pub fn apply(&self, applied: configuration::AppliedTables) {
        self.admission.set_limits(&applied.snapshot, self.now());
        self.dispatch.set_pools(&applied.snapshot);
        self.record_versions(&applied.versions);
        self.tables.store(sync::Arc::new(applied));
    }

    /// Publishes a changed view of the members.
    pub fn publish_members(&self, view: view::MemberView) {
        let view = sync::Arc::new(view);
        self.dispatch.set_members(&view);
        self.members.store(sync::Arc::clone(&view));
        self.member_changes.send_replace(view);
    }

    /// Subscribes to changes of the members.
    #[must_use]
    pub fn watch_members(&self) -> watch::Receiver<sync::Arc<view::MemberView>> {
        self.member_changes.subscribe()
    }

    /// Believes no keys and is not ready until the tables are confirmed.
    pub fn await_confirmation(&self) {
        self.keys_trusted.store(false, atomic::Ordering::Release);
        self.was_confirmed.store(false, atomic::Ordering::Release);
    }

    /// Notes whether the keys may be believed.
    pub fn set_key_trust(&self, trust: trust::KeyTrust) {
        self.keys_trusted.store(trust.is_trusted(), atomic::Ordering::Release);
        self.was_confirmed.fetch_or(trust.is_trusted(), atomic::Ordering::AcqRel);
    }

    /// Tells whether keyed requests may be served.
    ///
    /// Not while the tables are older than their greatest age and this
    /// instance may be the one that is cut off.
    #[must_use]
    pub fn keys_trusted(&self) -> bool {
        self.keys_trusted.load(atomic::Ordering::Acquire)
    }

    /// Tells whether a key that was accepted before still works.
    ///
    /// For requests and answers that are under way.
    #[must_use]
    pub fn key_in_force(&self, id: &str, hash: &credential::KeyHash) -> bool {
        self.keys_trusted() && self.tables.load().snapshot.holds_credential(id, hash)
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

    /// Tells whether the instance has tables, answers look-ups and takes requests.
    ///
    /// It has once all objects were read and the keys were believed; an
    /// instance that is cut off later still serves open routes.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let was_confirmed = self.was_confirmed.load(atomic::Ordering::Acquire);
        !self.is_leaving() && was_confirmed && self.has_tables() && self.steering.table().is_some()
    }

    /// Tells whether the routes are known, and the keys if a route needs one.
    fn has_tables(&self) -> bool {
        let applied = self.tables.load();
        let mut routes = applied.snapshot.routes.values();
        let needs_keys = routes.any(|route| route.access == route::RouteAccess::Keyed);
        applied.versions.routes > 0 && (applied.versions.keys > 0 || !needs_keys)
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

fn header_names(dialect: settings::InterfaceDialect) -> &'static names::HeaderNames {
    match dialect {
        settings::InterfaceDialect::Native => &names::NATIVE,
        settings::InterfaceDialect::Platform => &marjoramwing_platform::headers::NAMES,
    }
}
