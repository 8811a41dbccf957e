//! Callers with a load profile.
//!
//! Each team's callers ask for an instance by look-up, keep the answer for its
//! time to live, and send requests at random intervals.

use std::collections;
use std::net;
use std::sync;
use std::time;

use http_body_util::BodyExt;
use marjoramwing_derives as derives;
use rand::RngExt;
use rand::SeedableRng;

use crate::backend;
use crate::control;
use crate::report;

/// Longest wait for one answer.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Bytes of a request's body.
const REQUEST_BYTES: usize = 256;

/// The load of a whole run.
#[derives::document]
#[serde(deny_unknown_fields)]
pub struct LoadProfile {
    /// Caller addresses of some instances.
    pub instances: Vec<net::SocketAddr>,
    /// Control addresses of the backend servers that count runs.
    pub backends: Vec<net::SocketAddr>,
    /// Load of each team.
    pub teams: Vec<TeamLoad>,
    /// Length of the run, in seconds.
    pub seconds: u64,
    /// Seed of all random choices.
    pub seed: u64,
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
    /// Address that the look-up is told.
    pub client: net::IpAddr,
    /// Requests per second.
    pub rate: f64,
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
    /// Bytes that a whole answer has.
    pub answer_bytes: usize,
    /// Whether the request must run at most once.
    #[serde(default)]
    pub once: bool,
}

#[derive(Debug, serde::Deserialize)]
struct LookupAnswer {
    instances: Vec<LookupInstance>,
    ttl_ms: u64,
}

#[derive(Debug, serde::Deserialize)]
struct LookupInstance {
    address: net::SocketAddr,
}

#[derive(Debug)]
struct CachedLookup {
    addresses: Vec<net::SocketAddr>,
    expires: tokio::time::Instant,
}

/// What the callers of a run know of their requests.
#[derive(Debug, Default)]
struct RunLog {
    report: report::LoadReport,
    served: collections::HashSet<String>,
    once: collections::HashSet<String>,
}

/// Runs a load profile and reads the runs off the backend servers.
///
/// # Panics
///
/// Panics if a caller's task panicked.
pub async fn run_load(profile: LoadProfile) -> report::LoadReport {
    let log = sync::Arc::new(sync::Mutex::new(RunLog::default()));
    let http = control::make_client();
    let deadline = tokio::time::Instant::now() + time::Duration::from_secs(profile.seconds);
    let mut tasks = tokio::task::JoinSet::new();
    for (index, team) in profile.teams.iter().enumerate() {
        let caller = TeamCaller {
            http: http.clone(),
            log: sync::Arc::clone(&log),
            load: sync::Arc::new(team.clone()),
            instances: profile.instances.clone(),
            lookup: sync::Arc::default(),
        };
        tasks.spawn(caller.run(deadline, profile.seed.wrapping_add(index as u64)));
    }
    tasks.join_all().await;
    let runs = read_runs(&http, &profile.backends).await;
    let log = sync::Arc::into_inner(log).expect("all callers have ended");
    finish_report(log.into_inner().expect("no caller panicked"), &runs)
}

#[derive(Debug, Clone)]
struct TeamCaller {
    http: control::HttpClient,
    log: sync::Arc<sync::Mutex<RunLog>>,
    load: sync::Arc<TeamLoad>,
    instances: Vec<net::SocketAddr>,
    lookup: sync::Arc<sync::Mutex<Option<CachedLookup>>>,
}

impl TeamCaller {
    async fn run(self, deadline: tokio::time::Instant, seed: u64) {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let mut tasks = tokio::task::JoinSet::new();
        let mut next = tokio::time::Instant::now();
        for number in 0_u64.. {
            let uniform: f64 = rng.random();
            next += time::Duration::from_secs_f64(-(1.0 - uniform).ln() / self.load.rate);
            if next >= deadline {
                break;
            }
            tokio::time::sleep_until(next).await;
            let id = format!("{}-{seed}-{number}", self.load.team);
            let shape_index = usize::try_from(number).unwrap_or(0) % self.load.requests.len();
            let choice: usize = rng.random_range(0..usize::MAX);
            tasks.spawn(self.clone().call(id, shape_index, choice));
        }
        tasks.join_all().await;
    }

    async fn call(self, id: String, shape_index: usize, choice: usize) {
        let shape = &self.load.requests[shape_index];
        let started = tokio::time::Instant::now();
        let ended = tokio::time::timeout(CALL_TIMEOUT, self.exchange(&id, shape, choice)).await;
        let ended = ended.unwrap_or(CallEnd::failed());
        let mut log = self.log.lock().expect("no caller panicked");
        if shape.once {
            log.once.insert(id.clone());
        }
        if ended.result == report::CallResult::Served {
            log.served.insert(id);
        }
        let team = log.report.teams.entry(self.load.team.clone()).or_default();
        team.add(ended.result, started.elapsed(), ended.over_limit);
    }

    async fn exchange(&self, id: &str, shape: &RequestShape, choice: usize) -> CallEnd {
        let Some(address) = self.find_instance(choice).await else {
            return CallEnd::failed();
        };
        let body = if shape.method == "GET" {
            axum::body::Body::empty()
        } else {
            axum::body::Body::from(vec![b'x'; REQUEST_BYTES])
        };
        let mut request = http::Request::builder()
            .method(shape.method.as_str())
            .uri(format!("http://{address}{}", shape.path))
            .header(backend::REQUEST_ID, id);
        if let Some(key) = &self.load.key {
            request = request.header(http::header::AUTHORIZATION, format!("Bearer {key}"));
        }
        let request = request.body(body).expect("the profile makes valid requests");
        let Ok(response) = self.http.request(request).await else {
            return CallEnd::failed();
        };
        judge_answer(response, id, shape).await
    }

    async fn find_instance(&self, choice: usize) -> Option<net::SocketAddr> {
        if let Some(address) = self.cached_instance() {
            return Some(address);
        }
        for offset in 0..self.instances.len() {
            let asked =
                self.instances[(choice % self.instances.len() + offset) % self.instances.len()];
            if let Some(answer) = self.ask(asked).await {
                let expires =
                    tokio::time::Instant::now() + time::Duration::from_millis(answer.ttl_ms);
                let addresses: Vec<_> =
                    answer.instances.into_iter().map(|instance| instance.address).collect();
                let first = addresses.first().copied();
                *self.lookup.lock().expect("no caller panicked") =
                    Some(CachedLookup { addresses, expires });
                return first;
            }
        }
        None
    }

    fn cached_instance(&self) -> Option<net::SocketAddr> {
        let lookup = self.lookup.lock().expect("no caller panicked");
        let cached = lookup.as_ref()?;
        let fresh = tokio::time::Instant::now() < cached.expires;
        fresh.then(|| cached.addresses.first().copied())?
    }

    async fn ask(&self, instance: net::SocketAddr) -> Option<LookupAnswer> {
        let uri = format!(
            "http://{instance}/.well-known/marjoramwing/lookup?client={}",
            self.load.client
        );
        let mut request = http::Request::builder().uri(uri);
        if let Some(key) = &self.load.key {
            request = request.header(http::header::AUTHORIZATION, format!("Bearer {key}"));
        }
        let request = request.body(axum::body::Body::empty()).ok()?;
        let response = self.http.request(request).await.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        serde_json::from_slice(&body).ok()
    }
}

#[derive(Debug)]
struct CallEnd {
    result: report::CallResult,
    over_limit: bool,
}

impl CallEnd {
    const fn failed() -> Self {
        Self { result: report::CallResult::Failed, over_limit: false }
    }
}

async fn judge_answer(
    response: http::Response<hyper::body::Incoming>,
    id: &str,
    shape: &RequestShape,
) -> CallEnd {
    let over_limit = response.status() == http::StatusCode::TOO_MANY_REQUESTS;
    let outcome = response.headers().get("marjoramwing-outcome").cloned();
    let is_ok = response.status() == http::StatusCode::OK;
    let body = response.into_body().collect().await;
    let result = match (outcome, body) {
        (_, Err(_)) => report::CallResult::Cut,
        (Some(outcome), Ok(_)) if outcome == "not-run" => report::CallResult::NotRun,
        (Some(_), Ok(_)) => report::CallResult::Unknown,
        (None, Ok(body)) if is_ok => {
            let expected = backend::expected_body(id, shape.answer_bytes);
            if body.to_bytes() == expected {
                report::CallResult::Served
            } else {
                report::CallResult::Cut
            }
        }
        (None, Ok(_)) => report::CallResult::Failed,
    };
    CallEnd { result, over_limit }
}

async fn read_runs(http: &control::HttpClient, backends: &[net::SocketAddr]) -> backend::RunCounts {
    let mut all = backend::RunCounts::default();
    for address in backends {
        let uri = format!("http://{address}/control/runs");
        let Ok(uri) = uri.parse() else { continue };
        let Ok(response) = http.get(uri).await else {
            continue;
        };
        let Ok(body) = response.into_body().collect().await else {
            continue;
        };
        let counts = serde_json::from_slice::<backend::RunCounts>(&body.to_bytes());
        let Ok(counts) = counts else { continue };
        all.leaked_keys += counts.leaked_keys;
        for (id, runs) in counts.runs {
            *all.runs.entry(id).or_default() += runs;
        }
    }
    all
}

fn finish_report(log: RunLog, runs: &backend::RunCounts) -> report::LoadReport {
    let runs_of = |id: &String| runs.runs.get(id).copied().unwrap_or(0);
    let mut report = log.report;
    report.lost = log.served.iter().filter(|id| runs_of(id) == 0).count() as u64;
    report.doubled = log.once.iter().filter(|id| runs_of(id) > 1).count() as u64;
    report.leaked_keys = runs.leaked_keys;
    report
}
