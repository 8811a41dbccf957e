//! The load of a run, as a JSON file describes it.

use std::collections;
use std::net;
use std::time;

use marjoramwing_derives as derives;

/// The load of a whole run.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct LoadProfile {
    /// Caller addresses of some instances.
    pub instances: Vec<net::SocketAddr>,
    /// One backend server of each pool, which tells the runs of its pool.
    pub backends: Vec<net::SocketAddr>,
    /// Load of each team.
    pub teams: Vec<TeamLoad>,
    /// Phases of the run, one after the other.
    pub phases: Vec<LoadPhase>,
    /// Seed of all random choices.
    pub seed: u64,
}

/// One phase of a run.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct LoadPhase {
    /// Name of the phase.
    pub name: String,
    /// Length, in seconds.
    pub seconds: u64,
    /// Teams that send at a multiple of their rate.
    #[serde(default)]
    pub surges: Vec<TeamSurge>,
    /// Instance that all callers use in place of the look-up's first.
    #[serde(default)]
    pub skew_to: Option<net::SocketAddr>,
}

/// A team that sends at a multiple of its rate.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct TeamSurge {
    /// Name of the team.
    pub team: String,
    /// Multiple of the team's limit at which it sends.
    pub factor: f64,
}

/// The load of one team.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct TeamLoad {
    /// Name of the team.
    pub team: String,
    /// Key of the team; none for open routes.
    #[serde(default)]
    pub key: Option<String>,
    /// Address that connections come from and that the look-up is told.
    pub client: net::IpAddr,
    /// Requests per second.
    pub rate: f64,
    /// Limit of the team over all instances, in requests per second.
    pub limit_rate: f64,
    /// Requests at once that the limit allows.
    pub limit_burst: u32,
    /// What is asked for, in turn.
    pub requests: Vec<RequestShape>,
}

/// One kind of request.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct RequestShape {
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Pool that serves it, for runs without instances.
    #[serde(default)]
    pub pool: String,
    /// Bytes that a whole answer has.
    pub answer_bytes: usize,
    /// Whether the request must run at most once.
    #[serde(default)]
    pub once: bool,
    /// Whether the route is open to all, so that no team's limit counts.
    #[serde(default)]
    pub open: bool,
    /// Whether the request carries an `Idempotency-Key`.
    #[serde(default)]
    pub idempotency_key: bool,
}

/// Where callers send their requests.
#[derives::record]
pub enum CallTarget {
    /// To the instances that the look-up names.
    Instances,
    /// To a random backend server of the pool: the baseline without the system.
    Servers(collections::BTreeMap<String, Vec<net::SocketAddr>>),
}

/// What is wrong with a profile.
#[derives::record]
#[derive(derive_more::Display, derive_more::Error)]
pub enum ProfileFault {
    /// The profile has no phase of this name.
    #[display("the profile has no phase named `{_0}`; add it to `phases`")]
    NoPhase(#[error(not(source))] String),
    /// A surge names a team that the profile does not have.
    #[display("phase `{phase}` has a surge of `{team}`, which is not in `teams`; correct the name")]
    NoTeam {
        /// Phase with the surge.
        phase: String,
        /// Team that is missing.
        team: String,
    },
    /// A team sends nothing.
    #[display("team `{_0}` needs a rate above 0 and at least one of `requests`")]
    NoRequests(#[error(not(source))] String),
    /// There is no instance to ask.
    #[display("the profile needs at least one of `instances`")]
    NoInstance,
}

impl LoadProfile {
    /// Keeps only the named phases, in this order.
    ///
    /// # Errors
    ///
    /// Returns an error when a phase is missing.
    pub fn select_phases(&mut self, names: &[String]) -> Result<(), ProfileFault> {
        let find = |name: &String| {
            let phase = self.phases.iter().find(|phase| phase.name == *name);
            phase.cloned().ok_or_else(|| ProfileFault::NoPhase(name.clone()))
        };
        self.phases = names.iter().map(find).collect::<Result<_, _>>()?;
        Ok(())
    }

    /// Checks the profile against itself.
    ///
    /// # Errors
    ///
    /// Returns the first fault.
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

    /// Returns the length of all phases.
    #[must_use]
    pub fn length(&self) -> time::Duration {
        time::Duration::from_secs(self.phases.iter().map(|phase| phase.seconds).sum())
    }
}

impl LoadPhase {
    /// Returns the requests per second that a team sends in this phase.
    #[must_use]
    pub fn rate_of(&self, team: &TeamLoad) -> f64 {
        let surge = self.surges.iter().find(|surge| surge.team == team.team);
        surge.map_or(team.rate, |surge| surge.factor * team.limit_rate)
    }
}
