//! What changed in the registry, for the log.

use std::sync::Arc;

use marjoramwing_derives as derives;

/// One change of what an instance believes of the backend servers.
#[derives::record]
pub enum RegistryChange {
    /// A server registered, or registered again after a restart.
    Joined(Arc<str>),
    /// A server takes no new work.
    Draining(Arc<str>),
    /// A server's registration is gone.
    Left(Arc<str>),
    /// A registration is gone that may have lapsed while the store was away.
    Missing(Arc<str>),
    /// A server tells another address, place or time of being cold.
    Updated(Arc<str>),
    /// An entry names no server to use; the text says why.
    Faulty(Arc<str>, Arc<str>),
    /// A failure domain is to get no work.
    DomainDrained(Arc<str>),
    /// A failure domain may get work again.
    DomainRestored(Arc<str>),
}
