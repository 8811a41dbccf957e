//! What a run of callers measured.

use std::collections;
use std::fmt;
use std::time;

use marjoramwing_derives as derives;

/// Highest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Significant digits of a latency.
const LATENCY_DIGITS: u8 = 3;

/// How one request ended, as its caller saw it.
#[derives::value]
pub enum CallResult {
    /// The whole answer arrived.
    Served,
    /// The answer broke off or was another request's.
    Cut,
    /// A refusal said that the request did not run.
    NotRun,
    /// A refusal said that the outcome is unknown.
    Unknown,
    /// The connection failed before any answer.
    Failed,
}

/// Results of one team.
#[derive(Debug)]
pub struct TeamReport {
    /// Latency of served requests, in microseconds.
    pub latency: hdrhistogram::Histogram<u64>,
    /// Requests by result.
    pub results: collections::BTreeMap<CallResult, u64>,
    /// Refusals over a limit.
    pub over_limit: u64,
}

impl TeamReport {
    /// Makes an empty report.
    ///
    /// # Panics
    ///
    /// Panics if the histogram's fixed bounds are wrong.
    #[must_use]
    pub fn new() -> Self {
        let latency = hdrhistogram::Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS);
        Self {
            latency: latency.expect("the fixed bounds are valid"),
            results: collections::BTreeMap::new(),
            over_limit: 0,
        }
    }

    /// Adds one request.
    pub fn add(&mut self, result: CallResult, latency: time::Duration, over_limit: bool) {
        *self.results.entry(result).or_default() += 1;
        self.over_limit += u64::from(over_limit);
        if result == CallResult::Served {
            let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
            self.latency.saturating_record(micros);
        }
    }

    /// Returns the requests with a result.
    #[must_use]
    pub fn count(&self, result: CallResult) -> u64 {
        self.results.get(&result).copied().unwrap_or(0)
    }
}

impl Default for TeamReport {
    fn default() -> Self {
        Self::new()
    }
}

/// Results of a whole run.
#[derive(Debug, Default)]
pub struct LoadReport {
    /// Results by team.
    pub teams: collections::BTreeMap<String, TeamReport>,
    /// Requests answered as served that no backend server ran.
    pub lost: u64,
    /// Non-idempotent requests that ran more than once.
    pub doubled: u64,
    /// Requests that showed a key to a backend server.
    pub leaked_keys: u64,
}

impl LoadReport {
    /// Returns the requests with a result over all teams.
    #[must_use]
    pub fn total(&self, result: CallResult) -> u64 {
        self.teams.values().map(|team| team.count(result)).sum()
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<16} {:>8} {:>8} {:>8} {:>7} {:>7} {:>9} {:>9}",
            "team", "served", "limited", "not-run", "unknown", "failed", "p50 ms", "p99 ms"
        )?;
        for (name, team) in &self.teams {
            writeln!(
                f,
                "{:<16} {:>8} {:>8} {:>8} {:>7} {:>7} {:>9.1} {:>9.1}",
                name,
                team.count(CallResult::Served),
                team.over_limit,
                team.count(CallResult::NotRun) - team.over_limit,
                team.count(CallResult::Unknown),
                team.count(CallResult::Failed),
                millis(team.latency.value_at_quantile(0.5)),
                millis(team.latency.value_at_quantile(0.99)),
            )?;
        }
        Ok(())
    }
}

fn millis(micros: u64) -> f64 {
    const MICROS_PER_MILLI: f64 = 1_000.0;
    micros as f64 / MICROS_PER_MILLI
}
