//! The state of the control tasks for operators.

use std::sync;

use marjoramwing_configuration::dump as configuration;
use marjoramwing_membership::dump as membership;

/// What the control tasks know and decided last.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub struct ControlDump {
    /// Decisions on membership.
    pub membership: Option<sync::Arc<membership::MembershipDump>>,
    /// Decisions on configuration and keys.
    pub configuration: Option<sync::Arc<configuration::ConfigurationDump>>,
    /// Links to other instances on which this one sends.
    pub links: usize,
}

/// Where the control tasks leave their state for the dump.
#[derive(Debug, Default)]
pub struct ControlBoard {
    membership: arc_swap::ArcSwapOption<membership::MembershipDump>,
    configuration: arc_swap::ArcSwapOption<configuration::ConfigurationDump>,
    links: sync::atomic::AtomicUsize,
}

impl ControlBoard {
    /// Leaves the state of membership.
    pub fn set_membership(&self, dump: membership::MembershipDump, links: usize) {
        self.membership.store(Some(sync::Arc::new(dump)));
        self.links.store(links, sync::atomic::Ordering::Relaxed);
    }

    /// Leaves the state of the configuration.
    pub fn set_configuration(&self, dump: configuration::ConfigurationDump) {
        self.configuration.store(Some(sync::Arc::new(dump)));
    }

    /// Returns all that was left last.
    #[must_use]
    pub fn dump(&self) -> ControlDump {
        ControlDump {
            membership: self.membership.load_full(),
            configuration: self.configuration.load_full(),
            links: self.links.load(sync::atomic::Ordering::Relaxed),
        }
    }
}
