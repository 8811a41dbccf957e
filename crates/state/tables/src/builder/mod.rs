//! Builds a snapshot from documents and checks them.
//!
//! Invariant: with [`fault::FaultHandling::Confine`], no fault widens what a request may do. A row
//! that cannot be used refuses its requests, and a key that cannot be used authenticates no one.
//!
//! - `access`: teams and keys.
//! - `routing`: pools and routes.

mod access;
mod routing;

use std::collections;
use std::sync::Arc;

use crate::fault;
use crate::pool;
use crate::region;
use crate::site;
use crate::snapshot;
use crate::team;

/// Builds a snapshot. With [`fault::FaultHandling::Reject`], it is valid only without faults.
pub(crate) fn build(
    documents: &snapshot::TableDocuments,
    handling: fault::FaultHandling,
) -> (snapshot::TableSnapshot, fault::FaultList) {
    let is_confining = handling == fault::FaultHandling::Confine;
    let is_keyless = is_confining && documents.teams.teams.is_empty();
    let mut builder = SnapshotBuilder { handling, is_keyless, ..Default::default() };
    builder.add_pools(&documents.pools);
    builder.add_routes(&documents.routes);
    builder.add_teams(&documents.teams);
    builder.add_keys(&documents.keys);
    builder.add_steering(&documents.steering);
    (builder.snapshot, builder.faults)
}

/// Collects the validated rows and all faults of the documents.
#[derive(Debug, Default)]
pub(crate) struct SnapshotBuilder {
    handling: fault::FaultHandling,
    /// Whether no route needs a key, since an accepted configuration has no teams.
    is_keyless: bool,
    pub(crate) snapshot: snapshot::TableSnapshot,
    pub(crate) faults: fault::FaultList,
    pool_keys: collections::HashMap<Arc<str>, pool::PoolKey>,
    team_keys: collections::HashMap<Arc<str>, team::TeamKey>,
    /// Teams by the position of their rows, if faults are confined.
    team_rows: Vec<team::TeamKey>,
    pub(crate) site_keys: collections::HashMap<Arc<str>, site::SiteKey>,
    pub(crate) region_keys: collections::HashMap<Arc<str>, region::RegionKey>,
    route_names: collections::HashSet<Arc<str>>,
}

impl SnapshotBuilder {
    pub(super) const fn is_confining(&self) -> bool {
        matches!(self.handling, fault::FaultHandling::Confine)
    }

    /// Checks a name. If faults are confined, a name of another form than ours is kept.
    pub(super) fn check_name<N>(
        &mut self,
        path: String,
        text: &Arc<str>,
        of_text: fn(&Arc<str>) -> N,
    ) -> Option<N>
    where
        for<'a> N: TryFrom<&'a Arc<str>, Error = fault::FaultKind>,
    {
        if !self.is_confining() {
            return self.faults.check(path, N::try_from(text));
        }
        if text.is_empty() {
            self.faults.add(path, fault::FaultKind::Name(Arc::clone(text)));
        }
        Some(of_text(text))
    }

    /// Checks that a number is in range. If faults are confined, the nearest one is returned.
    pub(super) fn check_number<T: PartialOrd + std::fmt::Display + Copy>(
        &mut self,
        path: String,
        value: T,
        low: T,
        high: T,
    ) -> Option<T> {
        let checked = self.faults.check(path, fault::check_range(value, low, high));
        checked.or_else(|| self.is_confining().then(|| fault::nearest(value, low, high)))
    }
}

/// Returns the key of a named row, or a fault that says in which `object` the name is missing.
pub(crate) fn find_named<K: Copy>(
    keys: &collections::HashMap<Arc<str>, K>,
    object: &'static str,
    name: &Arc<str>,
) -> Result<K, fault::FaultKind> {
    let found = keys.get(name).copied();
    found.ok_or_else(|| fault::FaultKind::Unknown { object, name: Arc::clone(name) })
}
