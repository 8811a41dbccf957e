//! State of the control tasks in the state dump.

use std::sync;

use marjoramwing_configuration::dump as configuration;
use marjoramwing_membership::dump as membership;

/// Latest state published by the control tasks.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub struct ControlDump {
    /// Membership, once published.
    pub membership: Option<sync::Arc<membership::MembershipDump>>,
    /// Configuration and key trust, once published.
    pub configuration: Option<sync::Arc<configuration::ConfigurationDump>>,
    /// Number of links to other instances that this one sends on.
    pub links: usize,
}

/// Holds the latest state of the control tasks for the state dump.
#[derive(Debug, Default)]
pub struct ControlStatus {
    membership: arc_swap::ArcSwapOption<membership::MembershipDump>,
    configuration: arc_swap::ArcSwapOption<configuration::ConfigurationDump>,
    links: sync::atomic::AtomicUsize,
}

impl ControlStatus {
    /// Publishes the state of membership and the number of links.
    pub fn set_membership(&self, dump: membership::MembershipDump, links: usize) {
        self.membership.store(Some(sync::Arc::new(dump)));
        self.links.store(links, sync::atomic::Ordering::Relaxed);
    }

    /// Publishes the state of the configuration.
    pub fn set_configuration(&self, dump: configuration::ConfigurationDump) {
        self.configuration.store(Some(sync::Arc::new(dump)));
    }

    /// Returns the latest published state.
    #[must_use]
    pub fn dump(&self) -> ControlDump {
        ControlDump {
            membership: self.membership.load_full(),
            configuration: self.configuration.load_full(),
            links: self.links.load(sync::atomic::Ordering::Relaxed),
        }
    }
}
