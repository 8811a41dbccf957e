//! Callers that send the load of a profile.
//!
//! The callers of each team find instances by lookup, cache the result for its
//! time to live, and send requests at exponentially distributed intervals without
//! waiting for earlier requests (open loop). Latency is measured from the
//! scheduled time of sending.

use std::net;
use std::sync;
use std::time;

use rand::RngExt;
use rand::SeedableRng;

use crate::attempt;
use crate::control;
use crate::lookup;
use crate::profile;

/// Maximum number of retries of one request.
const MAX_RETRIES: usize = 2;

/// The outcome of one request, as recorded by its caller.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Index of the team in the profile.
    pub team: usize,
    /// Index of the phase in the profile.
    pub phase: usize,
    /// Identifier of the request, under which the backend servers count its runs.
    pub id: String,
    /// Whether the request must run at most once.
    pub once: bool,
    /// Whether the route is open, so that no limit of a team applies.
    pub open: bool,
    /// Scheduled time of sending, relative to the start of the load run.
    pub sent_at: time::Duration,
    /// Time from the scheduled time of sending to the end of the last attempt.
    pub latency: time::Duration,
    /// Result of the last attempt.
    pub result: attempt::CallResult,
    /// Whether the request is known not to have run in any attempt.
    pub all_not_run: bool,
    /// Number of attempts with the result `Foreign`.
    pub foreign: usize,
    /// Number of retries; attempts that established no connection are not counted.
    pub retries: usize,
    /// Address of the first attempt.
    pub first_address: Option<net::SocketAddr>,
}

/// The callers of one team; clones share the records.
#[derive(Debug, Clone)]
pub(crate) struct TeamCaller {
    pub(crate) http: control::HttpClient,
    pub(crate) profile: sync::Arc<profile::LoadProfile>,
    pub(crate) target: sync::Arc<profile::CallTarget>,
    pub(crate) lookup: sync::Arc<lookup::LookupCache>,
    pub(crate) team: usize,
    pub(crate) started: tokio::time::Instant,
    pub(crate) records: sync::Arc<sync::Mutex<Vec<CallRecord>>>,
}

/// A scheduled request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ScheduledCall {
    pub(crate) phase: usize,
    pub(crate) sequence: usize,
    pub(crate) at: tokio::time::Instant,
    pub(crate) random: usize,
}

impl TeamCaller {
    /// Sends the load of all phases and waits until every request has ended.
    pub(crate) async fn run(self) {
        let seed = self.profile.seed.wrapping_add(self.team as u64);
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let mut calls = tokio::task::JoinSet::new();
        let mut phase_start = self.started;
        let mut sequence = 0;
        for (phase, load) in self.profile.phases.iter().enumerate() {
            let phase_end = phase_start + time::Duration::from_secs(load.seconds);
            let rate = load.rate_of(&self.profile.teams[self.team]);
            let mut at = phase_start;
            loop {
                let uniform: f64 = rng.random();
                at += time::Duration::from_secs_f64(-(1.0 - uniform).ln() / rate);
                if at >= phase_end {
                    break;
                }
                tokio::time::sleep_until(at).await;
                let random = rng.random_range(0..usize::MAX);
                calls.spawn(self.clone().call(ScheduledCall { phase, sequence, at, random }));
                sequence += 1;
            }
            phase_start = phase_end;
        }
        calls.join_all().await;
    }

    async fn call(self, scheduled: ScheduledCall) {
        let record = self.send(scheduled).await;
        self.records.lock().expect("the mutex of the records is not poisoned").push(record);
    }

    /// Sends one request, and retries it at the next addresses while that is safe.
    pub(crate) async fn send(&self, scheduled: ScheduledCall) -> CallRecord {
        let team = &self.profile.teams[self.team];
        let shape = &team.requests[scheduled.sequence % team.requests.len()];
        let id = format!("{}-{}-{}", team.team, self.profile.seed, scheduled.sequence);
        let request = attempt::CallRequest { id: &id, key: team.key.as_deref(), shape };
        let addresses = self.find_addresses(&scheduled, shape).await;
        let mut results = Vec::new();
        let mut attempts = 0;
        for address in addresses.iter().copied() {
            let result = request.attempt(&self.http, address).await;
            results.push(result);
            let reached = result != attempt::CallResult::Unreached;
            attempts += usize::from(reached);
            if !request.may_retry(result) || attempts > MAX_RETRIES {
                break;
            }
        }
        CallRecord {
            team: self.team,
            phase: scheduled.phase,
            once: shape.once,
            open: shape.open,
            sent_at: scheduled.at - self.started,
            latency: scheduled.at.elapsed(),
            result: results.last().copied().unwrap_or(attempt::CallResult::Unreached),
            all_not_run: results.iter().all(|result| result.is_not_run()),
            foreign: results
                .iter()
                .filter(|result| **result == attempt::CallResult::Foreign)
                .count(),
            retries: attempts.saturating_sub(1),
            first_address: addresses.first().copied(),
            id,
        }
    }

    async fn find_addresses(
        &self,
        scheduled: &ScheduledCall,
        shape: &profile::RequestShape,
    ) -> Vec<net::SocketAddr> {
        let team = &self.profile.teams[self.team];
        match &*self.target {
            profile::CallTarget::Instances => {
                let mut found = self.lookup.find(team, scheduled.random).await;
                if let Some(skew_address) = self.profile.phases[scheduled.phase].skew_to {
                    found.retain(|address| *address != skew_address);
                    found.insert(0, skew_address);
                }
                found
            }
            profile::CallTarget::Servers(pools) => {
                let servers = pools.get(&shape.pool).map_or(&[][..], Vec::as_slice);
                let server = servers.get(scheduled.random % servers.len().max(1));
                server.copied().into_iter().collect()
            }
        }
    }
}
