//! Names of limits that all instances agree on.

use std::hash;

use marjoramwing_derives as derives;
use marjoramwing_tables::name;

/// A limit, by a number that every instance derives alike from its name.
#[derives::value]
pub struct LimitId(u64);

impl LimitId {
    /// Returns the limit of a team's rate and burst.
    #[must_use]
    pub fn of_team(team: &name::TeamName) -> Self {
        Self::of_text("team", team.as_str())
    }

    /// Returns the limit of a route over all teams.
    #[must_use]
    pub fn of_route(route: &name::RouteName) -> Self {
        Self::of_text("route", route.as_str())
    }

    /// Makes a limit from its number.
    #[must_use]
    pub const fn from_u64(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number of the limit.
    #[must_use]
    pub const fn as_u64(self) -> u64 {
        self.0
    }

    fn of_text(kind: &str, name: &str) -> Self {
        let mut hasher = fnv::FnvHasher::default();
        hash::Hasher::write(&mut hasher, kind.as_bytes());
        hash::Hasher::write(&mut hasher, b"/");
        hash::Hasher::write(&mut hasher, name.as_bytes());
        Self(hash::Hasher::finish(&hasher))
    }
}
