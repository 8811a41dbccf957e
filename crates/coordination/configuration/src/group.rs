//! Groups of table objects that must be consistent with each other.

use marjoramwing_derives as derives;
use marjoramwing_tables::snapshot;

use crate::candidate;

/// A set of table objects that are checked and applied together.
///
/// No object refers to a row of an object in another group, so a faulty object
/// delays only its own group.
#[derives::value]
pub enum TableGroup {
    /// Routes and the pools that they refer to.
    Routing,
    /// Keys and the teams that they belong to.
    Access,
    /// Steering alone.
    Steering,
}

impl TableGroup {
    /// All groups.
    pub const ALL: [Self; 3] = [Self::Routing, Self::Access, Self::Steering];

    /// Returns the group's objects in order of precedence: a newer version of the first is
    /// preferred to a newer version of the second.
    #[must_use]
    pub const fn objects(self) -> &'static [candidate::TableObject] {
        match self {
            Self::Routing => &[candidate::TableObject::Routes, candidate::TableObject::Pools],
            Self::Access => &[candidate::TableObject::Keys, candidate::TableObject::Teams],
            Self::Steering => &[candidate::TableObject::Steering],
        }
    }

    /// Returns the group that contains an object.
    #[must_use]
    pub const fn of(object: candidate::TableObject) -> Self {
        match object {
            candidate::TableObject::Routes | candidate::TableObject::Pools => Self::Routing,
            candidate::TableObject::Keys | candidate::TableObject::Teams => Self::Access,
            candidate::TableObject::Steering => Self::Steering,
        }
    }
}

/// Returns the version of one object.
#[must_use]
pub const fn version_of(
    versions: &snapshot::TableVersions,
    object: candidate::TableObject,
) -> u128 {
    match object {
        candidate::TableObject::Routes => versions.routes,
        candidate::TableObject::Pools => versions.pools,
        candidate::TableObject::Teams => versions.teams,
        candidate::TableObject::Keys => versions.keys,
        candidate::TableObject::Steering => versions.steering,
    }
}

/// Returns a mutable reference to the version of one object.
pub const fn version_mut(
    versions: &mut snapshot::TableVersions,
    object: candidate::TableObject,
) -> &mut u128 {
    match object {
        candidate::TableObject::Routes => &mut versions.routes,
        candidate::TableObject::Pools => &mut versions.pools,
        candidate::TableObject::Teams => &mut versions.teams,
        candidate::TableObject::Keys => &mut versions.keys,
        candidate::TableObject::Steering => &mut versions.steering,
    }
}

/// Returns true if each version in `versions` is at least the one in `others`.
#[must_use]
pub fn covers(versions: &snapshot::TableVersions, others: &snapshot::TableVersions) -> bool {
    let mut objects = candidate::TableObject::ALL.into_iter();
    objects.all(|object| version_of(versions, object) >= version_of(others, object))
}
