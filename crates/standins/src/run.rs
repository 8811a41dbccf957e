//! Runs a load profile and reads what really ran off the backend servers.

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

/// What an operator does half-way through a run.
#[derives::record]
pub enum RunEvent {
    /// Nothing.
    None,
    /// Edits a route.
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

/// Runs a load profile to its end and reports on it.
///
/// # Errors
///
/// Returns an error when a backend server does not tell its runs, or when the
/// platform does not take the operator's edit.
///
/// # Panics
///
/// Panics if a caller's task panicked.
pub async fn run_load(
    profile: profile::LoadProfile,
    target: profile::CallTarget,
    event: RunEvent,
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
    let observing = observer::observe_slots(http.clone(), sync::Arc::clone(&profile), started);
    let operating = event.cause(&http, started + profile.length() / 2);
    let (_, slots, operated) = tokio::join!(callers.join_all(), observing, operating);
    let drain_ms = match (operated?, &event) {
        (Some(drained_at), RunEvent::DrainServer { server, .. }) => {
            let activity = control::read_activity(&http, *server).await?;
            let since = u64::try_from(drained_at.elapsed().as_millis()).unwrap_or(u64::MAX);
            Some(since.saturating_sub(activity.idle_ms))
        }
        _ => None,
    };
    let runs = read_runs(&http, &profile.backends).await?;
    let records = records.lock().expect("no caller panicked");
    let input = report::ReportInput {
        profile: &profile,
        records: &records,
        runs: &runs,
        slots: &slots,
        drain_ms,
    };
    Ok(input.report())
}

async fn read_runs(
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

impl RunEvent {
    /// Causes the event at a time and returns when it had been accepted.
    async fn cause(
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
