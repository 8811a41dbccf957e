//! Names of limits that all instances agree on.

use std::fmt;
use std::hash;

use marjoramwing_derives as derives;
use marjoramwing_tables::name;

/// A limit, by a number that every instance derives alike from its name.
#[derives::value]
pub struct LimitId(u64);

/// What a limit bounds.
#[derives::value]
#[derive(derive_more::Display)]
pub enum LimitKind {
    /// A team's requests.
    #[display("team")]
    Team,
    /// A route's requests over all teams.
    #[display("route")]
    Route,
    /// Requests of one region's clients that another region serves.
    #[display("shift")]
    Shift,
    /// Requests that a region serves for the clients of all others.
    #[display("headroom")]
    Headroom,
    /// Bytes over a link between regions.
    #[display("link")]
    Link,
    /// Starts of requests at a pool's slots.
    #[display("slots")]
    Slots,
}

impl LimitId {
    /// Returns the limit of a team's rate and burst.
    #[must_use]
    pub fn of_team(team: &name::TeamName) -> Self {
        Self::of_text(LimitKind::Team, team.as_str())
    }

    /// Returns the limit of a route over all teams.
    #[must_use]
    pub fn of_route(route: &name::RouteName) -> Self {
        Self::of_text(LimitKind::Route, route.as_str())
    }

    /// Returns the cap on one region's clients that another region serves.
    #[must_use]
    pub fn of_shift(from: &name::RegionName, to: &name::RegionName) -> Self {
        Self::of_text(LimitKind::Shift, &format!("{from}>{to}"))
    }

    /// Returns the limit of the traffic that a region takes for all others.
    #[must_use]
    pub fn of_headroom(region: &name::RegionName) -> Self {
        Self::of_text(LimitKind::Headroom, region.as_str())
    }

    /// Returns the limit of a kind and a name.
    #[must_use]
    pub fn of_text(kind: LimitKind, name: &str) -> Self {
        let mut hasher = fnv::FnvHasher::default();
        hash::Hasher::write(&mut hasher, kind.to_string().as_bytes());
        hash::Hasher::write(&mut hasher, b"/");
        hash::Hasher::write(&mut hasher, name.as_bytes());
        Self(hash::Hasher::finish(&hasher))
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

    /// Reads the textual form of a limit.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}

impl fmt::Display for LimitId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
