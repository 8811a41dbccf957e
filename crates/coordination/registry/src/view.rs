//! The servers of each pool.

use std::collections;

use marjoramwing_tables::name;
use marjoramwing_tables::pool;

/// The registered servers by pool, at one time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RegistryView {
    /// Servers of each pool; those that take no new work are marked as draining.
    pub pools: collections::HashMap<name::PoolName, Vec<pool::BackendServer>>,
    /// Revision of the store up to which registrations are known.
    pub revision: u64,
}
