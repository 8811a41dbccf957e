//! Identifiers of limits, equal on all instances.

use std::fmt;
use std::hash;

use marjoramwing_derives as derives;
use marjoramwing_tables::name;

/// Identifier of a limit: a hash of its kind and name, so every instance computes the same value.
#[derives::value]
pub struct LimitId(u64);

/// What a limit applies to.
#[derives::value]
#[derive(derive_more::Display)]
pub enum LimitKind {
    /// A team's requests.
    #[display("team")]
    Team,
    /// A route's requests over all teams.
    #[display("route")]
    Route,
    /// Requests of one region's clients that are served in another region.
    #[display("shift")]
    Shift,
    /// Requests that a region serves for the clients of all other regions.
    #[display("headroom")]
    Headroom,
    /// Bytes sent over a link between regions.
    #[display("link")]
    Link,
    /// Requests started on a pool's slots.
    #[display("slots")]
    Slots,
}

impl LimitId {
    /// Returns the identifier of a team's limit.
    #[must_use]
    pub fn of_team(team: &name::TeamName) -> Self {
        Self::of_text(LimitKind::Team, team.as_str())
    }

    /// Returns the identifier of a route's limit over all teams.
    #[must_use]
    pub fn of_route(route: &name::RouteName) -> Self {
        Self::of_text(LimitKind::Route, route.as_str())
    }

    /// Returns the identifier of the limit on clients of region `from` that region `to` serves.
    #[must_use]
    pub fn of_shift(from: &name::RegionName, to: &name::RegionName) -> Self {
        Self::of_text(LimitKind::Shift, &format!("{from}>{to}"))
    }

    /// Returns the identifier of the limit on requests that a region serves for all other regions.
    #[must_use]
    pub fn of_headroom(region: &name::RegionName) -> Self {
        Self::of_text(LimitKind::Headroom, region.as_str())
    }

    /// Returns the identifier of the limit of a kind and a name.
    #[must_use]
    pub fn of_text(kind: LimitKind, name: &str) -> Self {
        let mut hasher = fnv::FnvHasher::default();
        hash::Hasher::write(&mut hasher, kind.to_string().as_bytes());
        hash::Hasher::write(&mut hasher, b"/");
        hash::Hasher::write(&mut hasher, name.as_bytes());
        Self(hash::Hasher::finish(&hasher))
    }

    /// Creates an identifier from its numeric form.
    #[must_use]
    pub const fn from_u64(number: u64) -> Self {
        Self(number)
    }

    /// Returns the numeric form of the identifier.
    #[must_use]
    pub const fn as_u64(self) -> u64 {
        self.0
    }

    /// Parses the hexadecimal form that `Display` writes.
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
