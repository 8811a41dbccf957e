//! The services of an instance, each with its own dispatcher.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;

use marjoramwing_dispatch::cold;
use marjoramwing_dispatch::distance;
use marjoramwing_dispatch::policy;
use marjoramwing_dispatch::roster;
use marjoramwing_dispatch::statement;
use marjoramwing_entity::incarnation;
use marjoramwing_entity::primary;
use marjoramwing_membership::view;
use marjoramwing_registry::view as registry;
use marjoramwing_settings::settings;
use marjoramwing_settings::topology;
use marjoramwing_tables::name;
use marjoramwing_tables::pool;
use marjoramwing_tables::snapshot;

use crate::backends::service;
use crate::callers::claims;
use crate::clock;
use crate::control::store;
use crate::stopping;

/// Fraction of the fleet's retry budget that instances use; the rest covers
/// instances that do not know of each other.
const RETRY_BUDGET_FRACTION: f64 = 0.7;

/// Fraction of the maximum shift that one service may fail back at once; less than 1,
/// since windows overlap.
const FAILBACK_STEP_FRACTION: f64 = 0.6;

/// Dispatch of all services.
///
/// Services are looked up without a lock. Lock order: the sources, then the ledger,
/// then the locks of one service.
#[derive(Debug)]
pub struct DispatchControl {
    policy: policy::DispatchPolicy,
    clock: clock::MonotonicClock,
    identity: settings::InstanceIdentity,
    topology: topology::FleetTopology,
    services: arc_swap::ArcSwap<ServiceTable>,
    sources: sync::Mutex<PoolSources>,
    registered_revision: atomic::AtomicU64,
    /// Claims of idempotency keys.
    pub claims: sync::Arc<claims::ClaimControl>,
}

type ServiceTable = collections::HashMap<name::PoolName, sync::Arc<service::ServiceControl>>;

/// Inputs from which the servers of the services are built.
#[derive(Debug)]
struct PoolSources {
    pools: Vec<pool::Pool>,
    registered: registry::RegistryView,
    leaving: collections::HashSet<net::SocketAddr>,
    roster: roster::FleetRoster,
    /// Whether the roster was starting at the last rebuild.
    was_starting: bool,
    /// Planned stop of the process.
    stop: Option<stopping::PlannedStop>,
    bounds: settings::FleetBounds,
}

impl PoolSources {
    fn new(bounds: settings::FleetBounds, roster: roster::FleetRoster) -> Self {
        Self {
            pools: Vec::new(),
            registered: registry::RegistryView::default(),
            leaving: collections::HashSet::new(),
            roster,
            was_starting: true,
            stop: None,
            bounds,
        }
    }
}

impl DispatchControl {
    /// Creates a dispatch without services.
    #[must_use]
    pub fn new(
        settings: &settings::InstanceSettings,
        incarnation: incarnation::Incarnation,
        clock: clock::MonotonicClock,
    ) -> Self {
        let client = store::make_client(settings);
        let claims = sync::Arc::new(claims::ClaimControl::new(incarnation, client));
        Self {
            policy: make_policy(settings),
            clock,
            identity: settings.identity.clone(),
            topology: settings.topology.clone(),
            services: arc_swap::ArcSwap::default(),
            registered_revision: atomic::AtomicU64::new(0),
            sources: sync::Mutex::new(PoolSources::new(
                settings.bounds,
                roster::FleetRoster::new(settings.identity.name.text(), clock.now()),
            )),
            claims,
        }
    }

    /// Returns the dispatch policy of the deployment.
    #[must_use]
    pub const fn policy(&self) -> &policy::DispatchPolicy {
        &self.policy
    }

    /// Returns the service of a pool, if the tables have it.
    #[must_use]
    pub fn service(&self, pool: &name::PoolName) -> Option<sync::Arc<service::ServiceControl>> {
        self.services.load().get(pool).map(sync::Arc::clone)
    }

    /// Returns true if a server of any service has this address.
    #[must_use]
    pub fn has_server(&self, server: net::SocketAddr) -> bool {
        self.services.load().values().any(|service| service.has_server(server))
    }

    /// Closes the idle connections through other instances that were not used for a while.
    pub fn close_relayed(&self) {
        let now = self.clock.now();
        self.services.load().values().for_each(|service| service.connections.close_relayed(now));
    }

    /// Ends all ejections of servers, since the failures were not theirs.
    pub fn forgive_failures(&self) {
        let services = self.services.load();
        services.values().for_each(service::ServiceControl::forgive_failures);
    }

    /// Sets the servers that the platform reports as leaving; they get no new requests.
    pub fn set_leaving(&self, leaving: collections::HashSet<net::SocketAddr>) {
        let mut sources = self.lock();
        if sources.leaving != leaving {
            sources.leaving = leaving;
            self.rebuild(&sources);
        }
    }

    /// Sets the pools of a snapshot; called before the snapshot is applied.
    pub fn set_pools(&self, tables: &snapshot::TableSnapshot) {
        let mut sources = self.lock();
        sources.pools = tables.pools.values().cloned().collect();
        self.rebuild(&sources);
    }

    /// Returns the store revision of the registrations.
    #[must_use]
    pub fn registered_revision(&self) -> u64 {
        self.registered_revision.load(atomic::Ordering::Relaxed)
    }

    /// Sets the servers that registered themselves.
    pub fn set_registered(&self, registered: registry::RegistryView) {
        self.registered_revision.store(registered.revision, atomic::Ordering::Relaxed);
        let mut sources = self.lock();
        sources.registered = registered;
        self.rebuild(&sources);
    }

    /// Sets the instances with which this one shares the servers.
    pub fn set_members(&self, view: &view::MemberView) {
        let members = view.members.iter().map(|member| sync::Arc::clone(&member.name));
        let members: Vec<_> = members.collect();
        let mut sources = self.lock();
        if sources.roster.set_members(members) {
            self.rebuild(&sources);
        }
    }

    /// Sets the names of the instances that the platform lists, running or not.
    pub fn set_listed(&self, listed: Vec<sync::Arc<str>>) {
        let mut sources = self.lock();
        if sources.roster.set_listed(listed, self.clock.now()) {
            self.rebuild(&sources);
        }
    }

    /// Returns what to report to the other instances about limited servers, by pool.
    #[must_use]
    pub fn take_limit_reports(&self) -> Vec<(name::PoolName, Vec<statement::LimitReport>)> {
        let services = self.services.load();
        let reports =
            services.iter().map(|(name, service)| (name.clone(), service.take_limit_reports()));
        reports.filter(|(_, reports)| !reports.is_empty()).collect()
    }

    /// Recomputes the shares of the bounds once the startup has ended.
    pub fn end_startup(&self) {
        let mut sources = self.lock();
        if sources.was_starting && !sources.roster.is_starting(self.clock.now()) {
            sources.was_starting = false;
            self.rebuild(&sources);
        }
    }

    /// Plans the stop of the process.
    pub fn plan_stop(&self, stop: stopping::PlannedStop) {
        let mut sources = self.lock();
        sources.stop = Some(stop);
        self.rebuild(&sources);
    }

    /// Sets the fleet-wide bounds.
    pub fn set_bounds(&self, bounds: settings::FleetBounds) {
        let mut sources = self.lock();
        sources.bounds = bounds;
        self.rebuild(&sources);
    }

    fn rebuild(&self, sources: &PoolSources) {
        let existing = self.services.load();
        let mut services = ServiceTable::new();
        for pool in &sources.pools {
            let service = existing.get(&pool.name).map(sync::Arc::clone);
            let service = service.unwrap_or_else(|| {
                sync::Arc::new(service::ServiceControl::new(self.policy, self.clock))
            });
            let mut pool = pool.clone();
            let registered = sources.registered.pools.get(&pool.name);
            registered.into_iter().flatten().for_each(|server| {
                pool.servers.push(server.clone());
            });
            service.set_servers(&pool);
            service.set_leaving(&sources.leaving);
            sources.stop.into_iter().for_each(|stop| service.plan_stop(stop));
            self.update_fleet_parameters(&service, &pool, sources);
            services.insert(pool.name.clone(), service);
        }
        for (name, service) in existing.iter().filter(|(name, _)| !services.contains_key(*name)) {
            service.set_servers(&empty_pool(name));
        }
        self.services.store(sync::Arc::new(services));
    }

    fn update_fleet_parameters(
        &self,
        service: &sync::Arc<service::ServiceControl>,
        pool: &pool::Pool,
        sources: &PoolSources,
    ) {
        let now = self.clock.now();
        let (fleet_size, bounds) = (sources.roster.fleet_size(now), sources.bounds);
        let allowance = pool.cold_start.map(|cold| {
            let rate = f64::from(cold.rate_milli) / 1_000.0;
            cold::ColdAllowance::new(rate, bounds.cold_overage, bounds.cold_slack)
        });
        service.set_fleet_parameters(&service::FleetParameters {
            locality_of: &|domain| self.locality_of(domain),
            // Pools without a cold start have a rate of 1 request per second.
            cold_rate_of: &|server| {
                allowance.map_or(1, |allowance| sources.roster.cold_share(allowance, server, now))
            },
            share_fleet: sources.roster.share_fleet(now),
            retry_burst: self.retry_burst(fleet_size, bounds),
            failback_step: bounds.max_shift.map(|shift| shift * FAILBACK_STEP_FRACTION),
        });
    }

    /// Returns this instance's share of the retries that an idle service may make at once.
    fn retry_burst(&self, fleet_size: usize, bounds: settings::FleetBounds) -> f64 {
        if !self.policy.sheds_cost_retries {
            return self.policy.retry_burst;
        }
        (bounds.retry_slack * RETRY_BUDGET_FRACTION / fleet_size as f64).max(1.0)
    }

    /// Returns the locality of a failure domain; one missing in the topology counts as another
    /// region, unless it is this instance's own.
    fn locality_of(&self, domain: &name::FailureDomainName) -> distance::DomainLocality {
        let region = self.topology.region(domain);
        let locality = match region {
            _ if *domain == self.identity.failure_domain => distance::ServerLocality::SameDomain,
            Some(region) if *region == self.identity.region => distance::ServerLocality::SameRegion,
            _ => distance::ServerLocality::OtherRegion,
        };
        distance::DomainLocality { locality, region: region.map(name::RegionName::text) }
    }

    fn lock(&self) -> sync::MutexGuard<'_, PoolSources> {
        self.sources.lock().expect("no task panics while it holds the lock on the sources")
    }
}

/// Returns the pool of a service that the tables no longer have, whose queued requests are refused.
fn empty_pool(name: &name::PoolName) -> pool::Pool {
    pool::Pool { name: name.clone(), servers: primary::PrimaryMap::new(), cold_start: None }
}

fn make_policy(settings: &settings::InstanceSettings) -> policy::DispatchPolicy {
    let bounds = settings.bounds;
    match (settings.dialect, settings.objective) {
        (settings::InterfaceDialect::Platform, _) => policy::DispatchPolicy {
            retry_ratio: bounds.retry_ratio * RETRY_BUDGET_FRACTION,
            ..policy::DispatchPolicy::scarce_slots()
        },
        (_, settings::DeploymentObjective::Fairness) => policy::DispatchPolicy::fairness(),
        (_, settings::DeploymentObjective::Latency) => policy::DispatchPolicy::latency(),
    }
}
