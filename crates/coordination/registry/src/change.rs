//! Changes of the registry, for the log.

use std::sync::Arc;

use marjoramwing_derives as derives;

/// A change of an instance's registry of backend servers.
///
/// The first field is the identifier of the server or the name of the failure domain.
#[derives::record]
pub enum RegistryChange {
    /// A server registered, for the first time or after a restart.
    Joined(Arc<str>),
    /// A server started to drain and accepts no new work.
    Draining(Arc<str>),
    /// A server was removed, since its entry is gone or another server registered its address.
    Left(Arc<str>),
    /// A registration is missing and may have expired while the store was unreachable, so the
    /// server is kept for a grace period.
    Missing(Arc<str>),
    /// A server changed its registration in any other way, such as its address, failure domain or
    /// cold-start time.
    Updated(Arc<str>),
    /// An entry is not a valid registration and its server was removed; the text is the reason.
    Faulty(Arc<str>, Arc<str>),
    /// A failure domain was drained and gets no new work.
    DomainDrained(Arc<str>),
    /// A failure domain is no longer drained.
    DomainRestored(Arc<str>),
    /// A drained failure domain is missing in a restored store and stays drained for a grace
    /// period.
    DomainMissing(Arc<str>),
    /// An entry in a restored store may be older than what is known of its server, so it is
    /// ignored until the store had time to expire it.
    Outdated(Arc<str>),
}
