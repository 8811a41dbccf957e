//! Callers that each send one request at a time (closed loop) until stopped.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;

use crate::attempt;
use crate::behaviour;
use crate::caller;
use crate::example;
use crate::fleet;
use crate::lookup;
use crate::profile;
use crate::report;

/// The running callers of some teams.
#[derive(Debug)]
pub struct TestTraffic {
    profile: sync::Arc<profile::LoadProfile>,
    records: sync::Arc<sync::Mutex<Vec<caller::CallRecord>>>,
    stop: sync::Arc<atomic::AtomicBool>,
    callers: tokio::task::JoinSet<()>,
}

impl TestTraffic {
    /// Starts the given number of callers for each team.
    ///
    /// The callers of a team share a sequence of alternating reads and writes in
    /// rotation; with an even number of callers, each of them sends only one kind.
    #[must_use]
    pub fn start(fleet: &fleet::TestFleet, teams: &[&str], callers_each: usize) -> Self {
        let profile = sync::Arc::new(make_profile(fleet, teams));
        let mut traffic = Self {
            profile: sync::Arc::clone(&profile),
            records: sync::Arc::default(),
            stop: sync::Arc::default(),
            callers: tokio::task::JoinSet::new(),
        };
        for team in 0..teams.len() {
            let lookup = lookup::LookupCache::new(fleet.http.clone(), profile.instances.clone());
            let caller = caller::TeamCaller {
                http: fleet.http.clone(),
                profile: sync::Arc::clone(&profile),
                target: sync::Arc::new(profile::CallTarget::Instances),
                lookup: sync::Arc::new(lookup),
                team,
                started: tokio::time::Instant::now(),
                records: sync::Arc::clone(&traffic.records),
            };
            for first in 0..callers_each {
                let stop = sync::Arc::clone(&traffic.stop);
                traffic.callers.spawn(send_until(stop, caller.clone(), first, callers_each));
            }
        }
        traffic
    }

    /// Returns the number of requests of a team served so far.
    ///
    /// # Panics
    ///
    /// Panics if a caller panicked.
    #[must_use]
    pub fn served(&self, team: &str) -> usize {
        let records = self.records.lock().expect("the mutex of the records is not poisoned");
        let of_team = |record: &&caller::CallRecord| self.profile.teams[record.team].team == team;
        let is_served = |record: &&caller::CallRecord| record.result == attempt::CallResult::Served;
        records.iter().filter(of_team).filter(is_served).count()
    }

    /// Waits until the given number of further requests of each team was served.
    pub async fn wait_served(&self, teams: &[&str], more: usize) {
        for team in teams {
            let before = self.served(team);
            let description = format!("{team} has {more} more requests served");
            fleet::wait_until(&description, async || self.served(team) >= before + more).await;
        }
    }

    /// Waits until at least the given number of requests has ended with the given
    /// result.
    ///
    /// # Panics
    ///
    /// Panics if a caller panicked.
    pub async fn wait_result(&self, result: attempt::CallResult, count: usize) {
        let description = format!("{count} requests end as {result}");
        fleet::wait_until(&description, async || {
            let records = self.records.lock().expect("the mutex of the records is not poisoned");
            records.iter().filter(|record| record.result == result).count() >= count
        })
        .await;
    }

    /// Stops the callers, waits for their last requests and returns the report.
    ///
    /// # Panics
    ///
    /// Panics if a caller panicked.
    pub async fn finish(self, fleet: &fleet::TestFleet) -> report::LoadReport {
        self.stop.store(true, atomic::Ordering::Release);
        self.callers.join_all().await;
        let records = self.records.lock().expect("the mutex of the records is not poisoned");
        let input = report::ReportInput {
            profile: &self.profile,
            records: &records,
            run_counts: &fleet.record.counts(),
            slots: &[],
            drain_ms: None,
        };
        input.report()
    }
}

async fn send_until(
    stop: sync::Arc<atomic::AtomicBool>,
    caller: caller::TeamCaller,
    first: usize,
    step: usize,
) {
    let mut sequence = first;
    while !stop.load(atomic::Ordering::Acquire) {
        let at = tokio::time::Instant::now();
        let scheduled = caller::ScheduledCall { phase: 0, sequence, at, random: sequence };
        let record = caller.send(scheduled).await;
        caller.records.lock().expect("the mutex of the records is not poisoned").push(record);
        sequence += step;
    }
}

/// Returns the load of one team, with alternating reads and writes.
#[must_use]
pub fn team_load(team: &str) -> profile::TeamLoad {
    let shape = |method: &str, path: &str, once| profile::RequestShape {
        method: method.to_owned(),
        path: path.to_owned(),
        pool: String::new(),
        answer_bytes: behaviour::BackendBehaviour::default().answer_bytes,
        once,
        open: false,
        idempotency_key: false,
    };
    let requests = vec![shape("GET", "/reads", false), shape("POST", "/writes", true)];
    profile::TeamLoad {
        team: team.to_owned(),
        key: Some(example::team_key(team)),
        client: net::Ipv4Addr::LOCALHOST.into(),
        // Closed-loop callers do not use the rate. The reference limit is never exceeded, so
        // every refusal over a limit counts as wrongful.
        rate: 1.0,
        limit_rate: f64::MAX,
        limit_burst: u32::MAX,
        requests,
    }
}

fn make_profile(fleet: &fleet::TestFleet, teams: &[&str]) -> profile::LoadProfile {
    let phase = profile::LoadPhase {
        name: "test".to_owned(),
        seconds: 0,
        surges: Vec::new(),
        skew_to: None,
    };
    profile::LoadProfile {
        instances: fleet.instances.iter().map(|instance| instance.callers).collect(),
        backends: Vec::new(),
        teams: teams.iter().map(|team| team_load(team)).collect(),
        phases: vec![phase],
        seed: 1,
    }
}

/// Maps the index of each instance that a lookup lists first for some team to the
/// name of one such team.
///
/// # Panics
///
/// Panics if a lookup lists no instance, or first lists one that is not in the
/// fleet.
pub async fn find_first_instances(
    fleet: &fleet::TestFleet,
) -> collections::BTreeMap<usize, &'static str> {
    let addresses: Vec<_> = fleet.instances.iter().map(|instance| instance.callers).collect();
    let mut firsts = collections::BTreeMap::new();
    for (index, team) in make_profile(fleet, &example::TEAMS).teams.iter().enumerate() {
        let cache = lookup::LookupCache::new(fleet.http.clone(), addresses.clone());
        let found = cache.find(team, 0).await;
        let first = addresses.iter().position(|address| Some(address) == found.first());
        firsts.insert(
            first.expect("the lookup lists an instance of the fleet"),
            example::TEAMS[index],
        );
    }
    firsts
}
