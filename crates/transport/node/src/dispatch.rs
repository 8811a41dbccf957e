//! The services of an instance, each with a dispatch of its own.

use std::collections;
use std::net;
use std::sync;

use marjoramwing_dispatch::policy;
use marjoramwing_entity::incarnation;
use marjoramwing_settings::settings;
use marjoramwing_store_client::client;
use marjoramwing_tables::name;
use marjoramwing_tables::snapshot;

use crate::backends::service;
use crate::callers::claims;
use crate::clock;

/// Dispatch of all services.
///
/// Services are found without a lock; each has locks of its own, which are
/// taken after the ledger's.
#[derive(Debug)]
pub struct DispatchControl {
    policy: policy::DispatchPolicy,
    clock: clock::MonotonicClock,
    services: arc_swap::ArcSwap<ServiceTable>,
    leaving: arc_swap::ArcSwap<collections::HashSet<net::SocketAddr>>,
    /// Claims of idempotency keys.
    pub claims: sync::Arc<claims::ClaimControl>,
}

type ServiceTable = collections::HashMap<name::PoolName, sync::Arc<service::ServiceControl>>;

impl DispatchControl {
    /// Makes a dispatch without services.
    #[must_use]
    pub fn new(
        settings: &settings::InstanceSettings,
        incarnation: incarnation::Incarnation,
        clock: clock::MonotonicClock,
    ) -> Self {
        let policy = match settings.objective {
            settings::DeploymentObjective::Fairness => policy::DispatchPolicy::fairness(),
            settings::DeploymentObjective::Latency => policy::DispatchPolicy::latency(),
        };
        let client = client::StoreClient::new(settings.store.address, settings.store.timeout);
        let claims = sync::Arc::new(claims::ClaimControl::new(incarnation, client));
        Self {
            policy,
            clock,
            services: arc_swap::ArcSwap::default(),
            leaving: arc_swap::ArcSwap::default(),
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
        if **self.leaving.load() == leaving {
            return;
        }
        for service in self.services.load().values() {
            service.set_leaving(&leaving);
        }
        self.leaving.store(sync::Arc::new(leaving));
    }

    /// Takes over the pools of a snapshot; called before it is in force.
    pub fn set_pools(&self, tables: &snapshot::TableSnapshot) {
        let known = self.services.load();
        let mut services = ServiceTable::new();
        for pool in tables.pools.values() {
            let kept = known.get(&pool.name).map(sync::Arc::clone);
            let service = kept.unwrap_or_else(|| {
                sync::Arc::new(service::ServiceControl::new(self.policy, self.clock))
            });
            service.set_servers(pool);
            service.set_leaving(&self.leaving.load());
            services.insert(pool.name.clone(), service);
        }
        self.services.store(sync::Arc::new(services));
    }
}
