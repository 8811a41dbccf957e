//! The services of an instance, each with a dispatch of its own.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;

use marjoramwing_dispatch::cold;
use marjoramwing_dispatch::distance;
use marjoramwing_dispatch::policy;
use marjoramwing_entity::incarnation;
use marjoramwing_entity::rendezvous;
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

/// Part of the fleet's retries that instances may make at once; the rest
/// covers instances that do not know of each other.
const RETRY_RESERVE_PART: f64 = 0.7;

/// Part of the greatest shift by which one service may come back; windows overlap.
const HOMING_STEP_PART: f64 = 0.6;

/// Dispatch of all services.
///
/// Services are found without a lock; each has locks of its own, which are
/// taken after the ledger's. The lock of the sources goes before all of them.
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

/// Everything that the servers of the services come from.
#[derive(Debug)]
struct PoolSources {
    pools: Vec<pool::Pool>,
    registered: registry::RegistryView,
    leaving: collections::HashSet<net::SocketAddr>,
    /// Names of the instances, the own one included.
    members: Vec<sync::Arc<str>>,
    /// Most instances that were known at once.
    fleet_size: usize,
    bounds: settings::FleetBounds,
}

impl PoolSources {
    fn new(bounds: settings::FleetBounds) -> Self {
        Self {
            pools: Vec::new(),
            registered: registry::RegistryView::default(),
            leaving: collections::HashSet::new(),
            members: Vec::new(),
            fleet_size: 0,
            bounds,
        }
    }
}

impl DispatchControl {
    /// Makes a dispatch without services.
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
            sources: sync::Mutex::new(PoolSources::new(settings.bounds)),
            claims,
        }
    }

    /// Returns the policy in force.
    #[must_use]
    pub const fn policy(&self) -> &policy::DispatchPolicy {
        &self.policy
    }

    /// Returns the service of a pool, if the tables have it.
    #[must_use]
    pub fn service(&self, pool: &name::PoolName) -> Option<sync::Arc<service::ServiceControl>> {
        self.services.load().get(pool).map(sync::Arc::clone)
    }

    /// Gives the servers that the platform calls leaving no new work.
    pub fn set_leaving(&self, leaving: collections::HashSet<net::SocketAddr>) {
        let mut sources = self.lock();
        if sources.leaving != leaving {
            sources.leaving = leaving;
            self.rebuild(&sources);
        }
    }

    /// Takes over the pools of a snapshot; called before it is in force.
    pub fn set_pools(&self, tables: &snapshot::TableSnapshot) {
        let mut sources = self.lock();
        sources.pools = tables.pools.values().cloned().collect();
        self.rebuild(&sources);
    }

    /// Returns the revision of the store up to which registrations are known.
    #[must_use]
    pub fn registered_revision(&self) -> u64 {
        self.registered_revision.load(atomic::Ordering::Relaxed)
    }

    /// Takes over the servers that registered themselves.
    pub fn set_registered(&self, registered: registry::RegistryView) {
        self.registered_revision.store(registered.revision, atomic::Ordering::Relaxed);
        let mut sources = self.lock();
        sources.registered = registered;
        self.rebuild(&sources);
    }

    /// Takes over the instances with which the servers are shared.
    pub fn set_members(&self, view: &view::MemberView) {
        let members = view.members.iter().map(|member| sync::Arc::clone(&member.name));
        let members: Vec<_> = members.collect();
        let mut sources = self.lock();
        if sources.members != members {
            sources.fleet_size = sources.fleet_size.max(members.len());
            sources.members = members;
            self.rebuild(&sources);
        }
    }

    /// Takes over changed bounds.
    pub fn set_bounds(&self, bounds: settings::FleetBounds) {
        let mut sources = self.lock();
        sources.bounds = bounds;
        self.rebuild(&sources);
    }

    fn rebuild(&self, sources: &PoolSources) {
        let known = self.services.load();
        let mut services = ServiceTable::new();
        for pool in &sources.pools {
            let kept = known.get(&pool.name).map(sync::Arc::clone);
            let service = kept.unwrap_or_else(|| {
                sync::Arc::new(service::ServiceControl::new(self.policy, self.clock))
            });
            let mut pool = pool.clone();
            let registered = sources.registered.pools.get(&pool.name);
            registered.into_iter().flatten().for_each(|server| {
                pool.servers.push(server.clone());
            });
            service.set_servers(&pool);
            service.set_leaving(&sources.leaving);
            self.describe_surroundings(&service, &pool, sources);
            services.insert(pool.name.clone(), service);
        }
        self.services.store(sync::Arc::new(services));
    }

    fn describe_surroundings(
        &self,
        service: &sync::Arc<service::ServiceControl>,
        pool: &pool::Pool,
        sources: &PoolSources,
    ) {
        let (fleet_size, bounds) = (sources.fleet_size.max(1), sources.bounds);
        let allowance = pool.cold_start.map(|cold| {
            let rate = f64::from(cold.rate_milli) / 1_000.0;
            cold::ColdAllowance::new(rate, bounds.cold_overage, bounds.cold_slack)
        });
        service.set_surroundings(&service::Surroundings {
            place_of: &|domain| self.place_of(domain),
            cold_rate_of: &|server| {
                let rank = self.rank_for(server, &sources.members);
                allowance.map_or(1, |allowance| allowance.share(rank, fleet_size))
            },
            retry_reserve: self.retry_reserve(fleet_size, bounds),
            homing_step: bounds.max_shift.map(|shift| shift * HOMING_STEP_PART),
        });
    }

    /// Returns this instance's part of the retries that a quiet service may make.
    fn retry_reserve(&self, fleet_size: usize, bounds: settings::FleetBounds) -> f64 {
        if !self.policy.sheds_cost_retries {
            return self.policy.retry_burst;
        }
        (bounds.retry_slack * RETRY_RESERVE_PART / fleet_size as f64).max(1.0)
    }

    /// Returns how many instances go before this one at a server.
    fn rank_for(&self, server: &str, members: &[sync::Arc<str>]) -> usize {
        let key = rendezvous::seed_of(server);
        let score = |name: &str| rendezvous::score(key, rendezvous::seed_of(name));
        let own = score(self.identity.name.as_str());
        members.iter().filter(|name| score(name) > own).count()
    }

    fn place_of(&self, domain: &name::DomainName) -> distance::DomainLocality {
        let region = self.topology.region(domain);
        let locality = match region {
            _ if *domain == self.identity.failure_domain => distance::ServerLocality::SameDomain,
            Some(region) if *region == self.identity.region => distance::ServerLocality::SameRegion,
            _ => distance::ServerLocality::OtherRegion,
        };
        distance::DomainLocality { locality, region: region.map(name::RegionName::text) }
    }

    fn lock(&self) -> sync::MutexGuard<'_, PoolSources> {
        self.sources.lock().expect("no task panics while it holds the sources")
    }
}

fn make_policy(settings: &settings::InstanceSettings) -> policy::DispatchPolicy {
    let bounds = settings.bounds;
    match (settings.dialect, settings.objective) {
        (settings::InterfaceDialect::Platform, _) => policy::DispatchPolicy {
            retry_ratio: bounds.retry_ratio * RETRY_RESERVE_PART,
            ..policy::DispatchPolicy::scarce_slots()
        },
        (_, settings::DeploymentObjective::Fairness) => policy::DispatchPolicy::fairness(),
        (_, settings::DeploymentObjective::Latency) => policy::DispatchPolicy::latency(),
    }
}
