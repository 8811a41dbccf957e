//! Validated teams and their limits.

use std::sync::Arc;

use marjoramwing_derives as derives;
use marjoramwing_entity::entity_key;

use crate::fault;
use crate::name;

entity_key! {
    /// Index of a team in its snapshot; see [`credential`](crate::credential) for the keys that
    /// callers present.
    pub struct TeamKey, "team"
}

const MAX_RATE: f64 = 1_000_000.0;
const MIN_RATE: f64 = 0.001;
const MAX_BURST: u32 = 1_000_000;

/// A rate limit over all instances together.
#[derives::measure]
pub struct RateLimit {
    /// Requests per second.
    pub rate: f64,
    /// Burst in requests.
    pub burst: u32,
}

impl RateLimit {
    /// The smallest valid limit.
    pub const MIN: Self = Self { rate: MIN_RATE, burst: 1 };

    /// Returns the valid limit that is nearest to a rate and a burst.
    #[must_use]
    pub fn nearest(rate: f64, burst: u32) -> Self {
        Self {
            rate: fault::nearest(rate, MIN_RATE, MAX_RATE),
            burst: fault::nearest(burst, 1, MAX_BURST),
        }
    }

    /// Creates a limit from a rate and a burst.
    ///
    /// # Errors
    ///
    /// Returns [`fault::FaultKind::Range`] if either is out of range.
    pub fn new(rate: f64, burst: u32) -> Result<Self, fault::FaultKind> {
        fault::check_range(rate, MIN_RATE, MAX_RATE)?;
        fault::check_range(burst, 1, MAX_BURST)?;
        Ok(Self { rate, burst })
    }
}

/// A group of callers with its own rate limit.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Name of the team.
    pub name: name::TeamName,
    /// Limit over all instances.
    pub limit: RateLimit,
    /// Priority that overrides the route's, 0 being the highest; ignored by scheduling.
    pub priority: Option<u32>,
    /// Regions in which the team's requests may be served; all if empty.
    pub regions: Vec<Arc<str>>,
}
