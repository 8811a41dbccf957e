//! Load profiles, which describe the load of a run in a JSON file.

use std::collections;
use std::net;
use std::time;

use marjoramwing_derives as derives;

/// A load profile.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct LoadProfile {
    /// Caller addresses of the instances that are queried for lookups; the reference
    /// with an even split divides each limit by their number.
    pub instances: Vec<net::SocketAddr>,
    /// One backend server of each pool, which reports the runs of its pool.
    pub backends: Vec<net::SocketAddr>,
    /// Load of each team.
    pub teams: Vec<TeamLoad>,
    /// Consecutive phases of the run.
    pub phases: Vec<LoadPhase>,
    /// Seed of the random number generators.
    pub seed: u64,
}

/// One phase of a run.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct LoadPhase {
    /// Name of the phase.
    pub name: String,
    /// Duration, in seconds.
    pub seconds: u64,
    /// Teams that send at a multiple of their limit.
    #[serde(default)]
    pub surges: Vec<TeamSurge>,
    /// Instance to which all callers send first, instead of the one that the lookup
    /// lists first.
    #[serde(default)]
    pub skew_to: Option<net::SocketAddr>,
}

/// A team that sends at a multiple of its limit.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct TeamSurge {
    /// Name of the team.
    pub team: String,
    /// Ratio of the request rate to the limit of the team.
    pub factor: f64,
}

/// The load of one team.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct TeamLoad {
    /// Name of the team.
    pub team: String,
    /// Key of the team, absent if it uses only open routes.
    #[serde(default)]
    pub key: Option<String>,
    /// Source address of connections, also sent as the client address of lookups.
    pub client: net::IpAddr,
    /// Request rate outside of surges, in requests per second.
    pub rate: f64,
    /// Limit of the team over all instances, in requests per second.
    pub limit_rate: f64,
    /// Burst that the limit allows, in requests.
    pub limit_burst: u32,
    /// Requests to send, in rotation.
    pub requests: Vec<RequestShape>,
}

/// One kind of request.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct RequestShape {
    /// HTTP method.
    pub method: String,
    /// Path and query of the request target.
    pub path: String,
    /// Pool that serves it, used if callers send directly to backend servers.
    #[serde(default)]
    pub pool: String,
    /// Size of a complete response body, in bytes.
    pub answer_bytes: usize,
    /// Whether the request must run at most once.
    #[serde(default)]
    pub once: bool,
    /// Whether the route is open, so that no limit of a team applies.
    #[serde(default)]
    pub open: bool,
    /// Whether the request carries an `Idempotency-Key`.
    #[serde(default)]
    pub idempotency_key: bool,
}

/// The destination of requests.
#[derives::record]
pub enum CallTarget {
    /// The instances that the lookup lists.
    Instances,
    /// A random backend server of the pool, as a baseline without the system.
    Servers(collections::BTreeMap<String, Vec<net::SocketAddr>>),
}

/// A fault in a load profile.
#[derives::record]
#[derive(derive_more::Display, derive_more::Error)]
pub enum ProfileFault {
    /// The profile has no phase with this name.
    #[display("the profile has no phase named `{_0}`; add it to `phases`")]
    NoPhase(#[error(not(source))] String),
    /// A surge refers to a team that is not in the profile.
    #[display("phase `{phase}` has a surge of `{team}`, which is not in `teams`; correct the name")]
    NoTeam {
        /// Name of the phase with the surge.
        phase: String,
        /// Name of the missing team.
        team: String,
    },
    /// A team has no request rate or no requests.
    #[display("team `{_0}` needs a rate above 0 and at least one of `requests`")]
    NoRequests(#[error(not(source))] String),
    /// There is no instance to query for lookups.
    #[display("the profile needs at least one of `instances`")]
    NoInstance,
}

impl LoadProfile {
    /// Reduces the profile to the named phases, in the given order.
    ///
    /// # Errors
    ///
    /// Returns an error if the profile lacks one of the phases.
    pub fn select_phases(&mut self, names: &[String]) -> Result<(), ProfileFault> {
        let find = |name: &String| {
            let phase = self.phases.iter().find(|phase| phase.name == *name);
            phase.cloned().ok_or_else(|| ProfileFault::NoPhase(name.clone()))
        };
        self.phases = names.iter().map(find).collect::<Result<_, _>>()?;
        Ok(())
    }

    /// Validates the profile.
    ///
    /// # Errors
    ///
    /// Returns the first fault found.
    pub fn check(&self) -> Result<(), ProfileFault> {
        if self.instances.is_empty() {
            return Err(ProfileFault::NoInstance);
        }
        if let Some(team) =
            self.teams.iter().find(|team| team.requests.is_empty() || team.rate <= 0.0)
        {
            return Err(ProfileFault::NoRequests(team.team.clone()));
        }
        for phase in &self.phases {
            for surge in &phase.surges {
                if !self.teams.iter().any(|team| team.team == surge.team) {
                    let (phase, team) = (phase.name.clone(), surge.team.clone());
                    return Err(ProfileFault::NoTeam { phase, team });
                }
            }
        }
        Ok(())
    }

    /// Returns the total duration of all phases.
    #[must_use]
    pub fn total_duration(&self) -> time::Duration {
        time::Duration::from_secs(self.phases.iter().map(|phase| phase.seconds).sum())
    }
}

impl LoadPhase {
    /// Returns the request rate of a team in this phase, in requests per second.
    #[must_use]
    pub fn rate_of(&self, team: &TeamLoad) -> f64 {
        let surge = self.surges.iter().find(|surge| surge.team == team.team);
        surge.map_or(team.rate, |surge| surge.factor * team.limit_rate)
    }
}
