//! Callers with a load profile.
//!
//! Each team's callers ask for an instance by look-up, keep the answer for its
//! time to live, and send requests at random intervals whatever becomes of the
//! earlier ones (open loop). Latency counts from the planned time of sending.

use std::net;
use std::sync;
use std::time;

use rand::RngExt;
use rand::SeedableRng;

use crate::attempt;
use crate::control;
use crate::lookup;
use crate::profile;

/// Repeats of one request that a caller makes at most.
const MAX_REPEATS: usize = 2;

/// What a caller knows of one request.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Index of the team in the profile.
    pub team: usize,
    /// Index of the phase in the profile.
    pub phase: usize,
    /// Identifier that the backend servers counted.
    pub id: String,
    /// Whether the request must run at most once.
    pub once: bool,
    /// Whether the route is open to all.
    pub open: bool,
    /// Time from the start of the run to the planned time of sending.
    pub sent_at: time::Duration,
    /// Time from the planned time of sending to the end.
    pub latency: time::Duration,
    /// How the last attempt ended.
    pub result: attempt::CallResult,
    /// Whether every attempt was said not to have run.
    pub all_not_run: bool,
    /// Attempts after the first.
    pub repeats: usize,
    /// Where the first attempt went.
    pub first: Option<net::SocketAddr>,
}

/// The callers of one team.
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

/// One request as it was planned.
#[derive(Debug, Clone, Copy)]
struct PlannedCall {
    phase: usize,
    number: usize,
    at: tokio::time::Instant,
    choice: usize,
}

impl TeamCaller {
    /// Sends the load of all phases and waits for every answer.
    pub(crate) async fn run(self) {
        let seed = self.profile.seed.wrapping_add(self.team as u64);
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let mut calls = tokio::task::JoinSet::new();
        let mut begins = self.started;
        let mut number = 0;
        for (phase, load) in self.profile.phases.iter().enumerate() {
            let ends = begins + time::Duration::from_secs(load.seconds);
            let rate = load.rate_of(&self.profile.teams[self.team]);
            let mut at = begins;
            loop {
                let uniform: f64 = rng.random();
                at += time::Duration::from_secs_f64(-(1.0 - uniform).ln() / rate);
                if at >= ends {
                    break;
                }
                tokio::time::sleep_until(at).await;
                let choice = rng.random_range(0..usize::MAX);
                calls.spawn(self.clone().call(PlannedCall { phase, number, at, choice }));
                number += 1;
            }
            begins = ends;
        }
        calls.join_all().await;
    }

    async fn call(self, planned: PlannedCall) {
        let team = &self.profile.teams[self.team];
        let shape = &team.requests[planned.number % team.requests.len()];
        let id = format!("{}-{}-{}", team.team, self.profile.seed, planned.number);
        let request = attempt::CallRequest { id: &id, key: team.key.as_deref(), shape };
        let addresses = self.find_addresses(&planned, shape).await;
        let mut results = Vec::new();
        let mut repeats = 0;
        for address in addresses.iter().copied() {
            let result = request.attempt(&self.http, address).await;
            results.push(result);
            let reached = result != attempt::CallResult::Unreached;
            repeats += usize::from(reached);
            if !request.may_repeat(result) || repeats > MAX_REPEATS {
                break;
            }
        }
        let record = CallRecord {
            team: self.team,
            phase: planned.phase,
            once: shape.once,
            open: shape.open,
            sent_at: planned.at - self.started,
            latency: planned.at.elapsed(),
            result: results.last().copied().unwrap_or(attempt::CallResult::Unreached),
            all_not_run: results.iter().all(|result| result.is_not_run()),
            repeats: repeats.saturating_sub(1),
            first: addresses.first().copied(),
            id,
        };
        self.records.lock().expect("no caller panicked").push(record);
    }

    async fn find_addresses(
        &self,
        planned: &PlannedCall,
        shape: &profile::RequestShape,
    ) -> Vec<net::SocketAddr> {
        let team = &self.profile.teams[self.team];
        match &*self.target {
            profile::CallTarget::Instances => {
                let mut found = self.lookup.find(team, planned.choice).await;
                if let Some(skewed) = self.profile.phases[planned.phase].skew_to {
                    found.retain(|address| *address != skewed);
                    found.insert(0, skewed);
                }
                found
            }
            profile::CallTarget::Servers(pools) => {
                let servers = pools.get(&shape.pool).map_or(&[][..], Vec::as_slice);
                let chosen = servers.get(planned.choice % servers.len().max(1));
                chosen.copied().into_iter().collect()
            }
        }
    }
}
