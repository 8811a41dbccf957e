//! Snapshot of the servers in each pool.

use std::collections;

use marjoramwing_tables::name;
use marjoramwing_tables::pool;

/// The registered servers of each pool at one point in time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RegistryView {
    /// Servers of each pool; those that accept no new work are marked as draining.
    pub pools: collections::HashMap<name::PoolName, Vec<pool::BackendServer>>,
    /// Store revision of the registrations in the snapshot.
    pub revision: u64,
}
