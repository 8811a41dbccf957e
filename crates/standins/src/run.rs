//! Sends the load of a profile and evaluates it against the runs counted by the
//! backend servers.

use std::net;
use std::sync;
use std::time;

use marjoramwing_derives as derives;

use crate::caller;
use crate::control;
use crate::lookup;
use crate::observer;
use crate::profile;
use crate::record;
use crate::report;

/// An operator action performed half-way through a load run.
#[derives::record]
pub enum OperatorAction {
    /// No action.
    None,
    /// Edits the deadline of a route.
    EditRoute {
        /// Address of the platform.
        platform: net::SocketAddr,
        /// Name of the route.
        route: String,
    },
    /// Drains a backend server.
    DrainServer {
        /// Address of the platform.
        platform: net::SocketAddr,
        /// Address of the server.
        server: net::SocketAddr,
    },
}

/// Sends the load of a profile and returns the report.
///
/// # Errors
///
/// Returns an error if a backend server does not return its counts or its activity,
/// or if the operator action fails.
///
/// # Panics
///
/// Panics if a task of a caller panicked.
pub async fn run_load(
    profile: profile::LoadProfile,
    target: profile::CallTarget,
    action: OperatorAction,
) -> Result<report::LoadReport, control::ControlError> {
    let http = control::make_client();
    let profile = sync::Arc::new(profile);
    let target = sync::Arc::new(target);
    let records = sync::Arc::new(sync::Mutex::new(Vec::new()));
    let started = tokio::time::Instant::now();
    let mut callers = tokio::task::JoinSet::new();
    for (team, load) in profile.teams.iter().enumerate() {
        let http = control::make_client_from(Some(load.client));
        let lookup = lookup::LookupCache::new(http.clone(), profile.instances.clone());
        let caller = caller::TeamCaller {
            http,
            profile: sync::Arc::clone(&profile),
            target: sync::Arc::clone(&target),
            lookup: sync::Arc::new(lookup),
            team,
            started,
            records: sync::Arc::clone(&records),
        };
        callers.spawn(caller.run());
    }
    let sampling = observer::sample_slots(http.clone(), sync::Arc::clone(&profile), started);
    let acting = action.perform(&http, started + profile.total_duration() / 2);
    let (_, slots, accepted) = tokio::join!(callers.join_all(), sampling, acting);
    let drain_ms = match (accepted?, &action) {
        (Some(accepted_at), OperatorAction::DrainServer { server, .. }) => {
            let activity = control::read_activity(&http, *server).await?;
            let elapsed_ms = u64::try_from(accepted_at.elapsed().as_millis()).unwrap_or(u64::MAX);
            Some(elapsed_ms.saturating_sub(activity.idle_ms))
        }
        _ => None,
    };
    let run_counts = read_run_counts(&http, &profile.backends).await?;
    let records = records.lock().expect("the mutex of the records is not poisoned");
    let input = report::ReportInput {
        profile: &profile,
        records: &records,
        run_counts: &run_counts,
        slots: &slots,
        drain_ms,
    };
    Ok(input.report())
}

async fn read_run_counts(
    http: &control::HttpClient,
    backends: &[net::SocketAddr],
) -> Result<record::RunCounts, control::ControlError> {
    let mut all = record::RunCounts::default();
    for address in backends {
        let counts: record::RunCounts = control::fetch(http, *address, "/control/runs").await?;
        all.add(counts);
    }
    Ok(all)
}

impl OperatorAction {
    /// Performs the action at the given time and returns the time at which the platform
    /// accepted it, or `None` for no action.
    async fn perform(
        &self,
        http: &control::HttpClient,
        at: tokio::time::Instant,
    ) -> Result<Option<time::Instant>, control::ControlError> {
        match self {
            Self::None => return Ok(None),
            Self::EditRoute { platform, route } => {
                tokio::time::sleep_until(at).await;
                control::edit_route(http, *platform, route).await?;
            }
            Self::DrainServer { platform, server } => {
                tokio::time::sleep_until(at).await;
                control::drain_server(http, *platform, *server).await?;
            }
        }
        Ok(Some(time::Instant::now()))
    }
}
