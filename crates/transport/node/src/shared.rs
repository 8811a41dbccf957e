//! State that all tasks of an instance share.
//!
//! Lock order: the sources of `dispatch`, then the ledger of `admission`, then the
//! state of one service of `dispatch`, then its idle connections. No lock is held
//! across an await, and snapshots are read without a lock.

use std::sync;
use std::sync::atomic;

use marjoramwing_configuration::configuration;
use marjoramwing_configuration::trust;
use marjoramwing_dispatch::fingerprint;
use marjoramwing_entity::incarnation;
use marjoramwing_entity::time;
use marjoramwing_exchange::names;
use marjoramwing_membership::view;
use marjoramwing_objects::position;
use marjoramwing_settings::settings;
use marjoramwing_tables::credential;
use marjoramwing_tables::fault;
use marjoramwing_tables::snapshot;
use tokio::sync::watch;
use tokio_util::sync as cancellation;

use crate::admission::control;
use crate::backends::dial;
use crate::backends::direct;
use crate::callers::quarantine;
use crate::callers::trace;
use crate::clock;
use crate::control::dump;
use crate::dispatch;
use crate::metrics;
use crate::peers::relay;
use crate::steering;
use crate::stopping;

/// The shared state of one instance.
#[derive(Debug)]
pub struct InstanceState {
    /// Settings at startup; reloaded ones are not stored here.
    pub settings: settings::InstanceSettings,
    /// Header names of the configured dialect.
    pub names: &'static names::HeaderNames,
    /// Incarnation of this process.
    pub incarnation: incarnation::Incarnation,
    /// Applied tables.
    pub tables: arc_swap::ArcSwap<configuration::AppliedTables>,
    /// This instance's view of the members.
    pub members: arc_swap::ArcSwap<view::MemberView>,
    member_changes: watch::Sender<sync::Arc<view::MemberView>>,
    /// Dispatch of requests to backend servers.
    pub dispatch: dispatch::DispatchControl,
    /// Opens connections to backend servers.
    pub dialer: sync::Arc<dyn direct::DirectDialer>,
    /// Links of this instance to backend servers.
    pub reach: dial::ReachControl,
    /// Connections that this instance relays for others.
    pub relays: relay::RelayControl,
    /// Key for the fingerprints of requests.
    pub fingerprints: fingerprint::FingerprintKey,
    /// Requests that end the backend servers that run them.
    pub quarantine: quarantine::QuarantineControl,
    /// Admission of requests under rate limits.
    pub admission: control::AdmissionControl,
    /// State of the control tasks, for the state dump.
    pub control: dump::ControlStatus,
    /// Steering of callers between regions.
    pub steering: steering::SteeringControl,
    /// Limits the log lines on requests.
    pub log_limiter: trace::LogLimiter,
    /// Metrics of the instance.
    pub metrics: metrics::InstanceMetrics,
    /// Newest era of the store that any answer stated; `None` before the first answer.
    store_era: watch::Sender<Option<position::StoreEra>>,
    clock: clock::MonotonicClock,
    leaving: atomic::AtomicBool,
    /// Cancelled when the time to finish requests in a planned stop has passed.
    finish_ended: cancellation::CancellationToken,
    /// Whether keyed requests may be served; true until a confirmation is first required.
    keys_trusted: atomic::AtomicBool,
    /// Whether keys have been trusted since a confirmation was last required; true until then.
    was_confirmed: atomic::AtomicBool,
}

impl InstanceState {
    /// Creates the state of an instance that has no tables yet.
    #[must_use]
    pub fn new(settings: settings::InstanceSettings) -> Self {
        Self::with_dialer(settings, sync::Arc::new(direct::TcpDialer))
    }

    /// Creates the state of an instance that connects to backend servers through `dialer`.
    #[must_use]
    pub fn with_dialer(
        settings: settings::InstanceSettings,
        dialer: sync::Arc<dyn direct::DirectDialer>,
    ) -> Self {
        let clock = clock::MonotonicClock::start();
        let incarnation = incarnation::Incarnation::from_u64(rand::random());
        Self {
            incarnation,
            tables: arc_swap::ArcSwap::from_pointee(Self::empty_tables()),
            members: arc_swap::ArcSwap::from_pointee(view::MemberView::default()),
            admission: control::AdmissionControl::new(&settings, incarnation),
            dispatch: dispatch::DispatchControl::new(&settings, incarnation, clock),
            quarantine: quarantine::QuarantineControl::new(settings.identity.name.as_str()),
            dialer,
            reach: dial::ReachControl::default(),
            relays: relay::RelayControl::default(),
            fingerprints: fingerprint::FingerprintKey::new(settings.peer_secret.as_bytes()),
            names: header_names(settings.dialect),
            settings,
            member_changes: watch::Sender::default(),
            store_era: watch::Sender::default(),
            steering: steering::SteeringControl::default(),
            log_limiter: trace::LogLimiter::default(),
            metrics: metrics::InstanceMetrics::new(),
            clock,
            leaving: atomic::AtomicBool::new(false),
            finish_ended: cancellation::CancellationToken::new(),
            keys_trusted: atomic::AtomicBool::new(true),
            was_confirmed: atomic::AtomicBool::new(true),
            control: dump::ControlStatus::default(),
        }
    }

    /// Returns empty tables, which apply until the first ones are read.
    #[must_use]
    pub fn empty_tables() -> configuration::AppliedTables {
        configuration::AppliedTables {
            versions: snapshot::TableVersions::default(),
            snapshot: sync::Arc::new(snapshot::TableSnapshot::default()),
            confined: fault::FaultList::default(),
        }
    }

    /// Returns the current time on the process's monotonic clock.
    #[must_use]
    pub fn now(&self) -> time::Timestamp {
        self.clock.now()
    }

    /// Returns the milliseconds since the clock was started.
    #[must_use]
    pub fn uptime_ms(&self) -> u64 {
        u64::try_from(self.now().since(time::Timestamp::ZERO).as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the process's monotonic clock.
    #[must_use]
    pub const fn clock(&self) -> clock::MonotonicClock {
        self.clock
    }

    /// Applies a set of tables.
    ///
    /// Sets the limits and pools first, so that requests that read the new tables find them.
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

    /// Subscribes to changes of the member view.
    #[must_use]
    pub fn watch_members(&self) -> watch::Receiver<sync::Arc<view::MemberView>> {
        self.member_changes.subscribe()
    }

    /// Records the era that an answer of the store states; an earlier one changes nothing.
    pub fn record_store_era(&self, era: position::StoreEra) {
        let is_newer = self.store_era.send_if_modified(|known| {
            let is_newer = Some(era) > *known;
            *known = (*known).max(Some(era));
            is_newer
        });
        if is_newer {
            self.dispatch.claims.forget_objects();
        }
    }

    /// Subscribes to changes of the store's era.
    #[must_use]
    pub fn watch_store_era(&self) -> watch::Receiver<Option<position::StoreEra>> {
        self.store_era.subscribe()
    }

    /// Distrusts keys and reports not ready until [`Self::set_key_trust`] trusts the keys.
    pub fn require_confirmation(&self) {
        self.keys_trusted.store(false, atomic::Ordering::Release);
        self.was_confirmed.store(false, atomic::Ordering::Release);
    }

    /// Sets whether keys are trusted; the first trust also confirms the tables.
    pub fn set_key_trust(&self, trust: trust::KeyTrust) {
        self.keys_trusted.store(trust.is_trusted(), atomic::Ordering::Release);
        self.was_confirmed.fetch_or(trust.is_trusted(), atomic::Ordering::AcqRel);
    }

    /// Returns true if requests with keys may be served.
    ///
    /// They may not before the keys are trusted for the first time, nor while the tables exceed
    /// their maximum age and this instance may itself be partitioned from the others, unless the
    /// settings say to serve keyed requests then.
    #[must_use]
    pub fn keys_trusted(&self) -> bool {
        self.keys_trusted.load(atomic::Ordering::Acquire)
    }

    /// Returns true if a key that was accepted before is still valid, or none is needed any more.
    ///
    /// For requests and responses in progress.
    #[must_use]
    pub fn is_key_valid(&self, id: &str, hash: &credential::KeyHash) -> bool {
        let tables = &self.tables.load().snapshot;
        let is_accepted = tables.has_credential(id, hash) || !tables.requires_keys();
        self.keys_trusted() && is_accepted
    }

    /// Marks the instance as leaving: it reports not ready, and its HTTP/1 responses to
    /// callers close their connections.
    pub fn leave(&self) {
        self.leaving.store(true, atomic::Ordering::Release);
    }

    /// Plans the end of the time to finish requests, by which all responses must have arrived.
    ///
    /// Requests that cannot be answered before are refused as soon as that is known.
    /// Those that arrive `finish_only_from` or later are refused unless their deadline lies before.
    pub fn finish_requests_by(&self, at: time::Timestamp, finish_only_from: time::Timestamp) {
        self.dispatch.plan_stop(stopping::PlannedStop { stops_at: at, finish_only_from });
    }

    /// Ends the time to finish requests: those that are still undecided are refused at once.
    pub fn end_finish(&self) {
        self.finish_requests_by(self.now(), self.now());
        self.finish_ended.cancel();
    }

    /// Returns true if the time to finish requests has passed.
    #[must_use]
    pub fn has_finish_ended(&self) -> bool {
        self.finish_ended.is_cancelled()
    }

    /// Waits until the time to finish requests has passed.
    pub async fn finish_ended(&self) {
        self.finish_ended.cancelled().await;
    }

    /// Returns true if the instance is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(atomic::Ordering::Acquire)
    }

    /// Returns true if the instance has tables, answers lookups and accepts requests.
    ///
    /// That is so once the tables were read and keys were trusted for the first time,
    /// until it leaves; an instance that is partitioned later still serves open routes.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let was_confirmed = self.was_confirmed.load(atomic::Ordering::Acquire);
        !self.is_leaving() && was_confirmed && self.has_tables() && self.steering.table().is_some()
    }

    /// Returns true if the routes have been read, and the keys if a route needs one.
    fn has_tables(&self) -> bool {
        let applied = self.tables.load();
        let requires_keys = applied.snapshot.requires_keys();
        applied.versions.routes > 0 && (applied.versions.keys > 0 || !requires_keys)
    }

    fn record_versions(&self, versions: &snapshot::TableVersions) {
        let objects = [
            ("routes", versions.routes),
            ("pools", versions.pools),
            ("teams", versions.teams),
            ("keys", versions.keys),
            ("steering", versions.steering),
        ];
        for (object, version) in objects {
            let gauge = self.metrics.table_versions.with_label_values(&[object]);
            gauge.set(version as f64);
        }
    }
}

fn header_names(dialect: settings::InterfaceDialect) -> &'static names::HeaderNames {
    match dialect {
        settings::InterfaceDialect::Native => &names::NATIVE,
        settings::InterfaceDialect::Platform => &marjoramwing_platform::headers::NAMES,
    }
}
