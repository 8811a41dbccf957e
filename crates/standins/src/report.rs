//! Reports of the measurements of a load run.

use std::collections;
use std::fmt;

use marjoramwing_derives as derives;

use crate::attempt;
use crate::caller;
use crate::evaluation;
use crate::leak;
use crate::observer;
use crate::profile;
use crate::record;

/// Upper bound of the latency histogram, in microseconds; larger values are
/// recorded as this one.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Significant digits of the latency histogram.
const LATENCY_DIGITS: u8 = 3;

/// The measurements of a load run.
#[derives::document]
pub struct LoadReport {
    /// Measurements of each phase.
    pub phases: Vec<PhaseReport>,
    /// Measurements of the entire run.
    pub whole: PhaseReport,
    /// Number of requests that ended without a response, and of served requests that
    /// no backend server ran.
    pub lost: u64,
    /// Number of requests that must run at most once but ran more often.
    pub doubled: u64,
    /// Number of requests that ran although every attempt was reported as not run.
    pub false_not_run: u64,
    /// Counts of requests that leaked a key to a backend server, by location.
    pub leaked_keys: leak::LeakCounts,
    /// Time from the acceptance of a drain by the platform to the last start or end of a
    /// run on the drained server, in milliseconds, 0 if no run started or ended since;
    /// `None` if no server was drained.
    pub drain_ms: Option<u64>,
}

/// The measurements of one phase.
#[derives::document]
pub struct PhaseReport {
    /// Name of the phase.
    pub name: String,
    /// Number of requests by result.
    pub results: collections::BTreeMap<attempt::CallResult, u64>,
    /// Number of attempts with the result `Foreign`, those that were retried included.
    pub foreign: u64,
    /// Latency of served requests, in microseconds.
    pub latency: LatencyReport,
    /// Free slots, as a fraction of all slots.
    pub headroom: observer::HeadroomReport,
    /// Number of refusals over a limit that one global bucket would not have made.
    pub wrongful: u64,
    /// The same number for an even split of each limit over the instances.
    pub wrongful_even_split: u64,
    /// Maximum number of tokens that a team took beyond its rate and burst.
    pub excess: f64,
    /// Team with the smallest served fraction of its requests within the limit; `None`
    /// if there were no such requests.
    pub worst_team: Option<TeamShare>,
    /// Measurements of each team.
    pub teams: Vec<TeamReport>,
}

/// Latency of served requests, in microseconds.
#[derives::document]
#[derive(Copy, Default, Eq)]
pub struct LatencyReport {
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
}

/// The fraction of the requests of a team within its limit that were served.
#[derives::document]
pub struct TeamShare {
    /// Name of the team.
    pub team: String,
    /// Fraction, from 0 to 1.
    pub share: f64,
}

/// The measurements of one team.
#[derives::document]
pub struct TeamReport {
    /// Name of the team.
    pub team: String,
    /// Number of requests sent.
    pub sent: u64,
    /// Number of requests within the limit.
    pub within_limit: u64,
    /// Number of requests within the limit that were served.
    pub served_within: u64,
    /// Number of requests by result.
    pub results: collections::BTreeMap<attempt::CallResult, u64>,
    /// Latency of served requests, in microseconds.
    pub latency: LatencyReport,
}

/// The input of a report.
#[derive(Debug)]
pub struct ReportInput<'a> {
    /// Profile of the load.
    pub profile: &'a profile::LoadProfile,
    /// Outcomes recorded by the callers.
    pub records: &'a [caller::CallRecord],
    /// Runs counted by the backend servers.
    pub run_counts: &'a record::RunCounts,
    /// Samples of the slots.
    pub slots: &'a [observer::SlotSample],
    /// Duration of a drain, in milliseconds, if there was one.
    pub drain_ms: Option<u64>,
}

impl ReportInput<'_> {
    /// Computes the report.
    #[must_use]
    pub fn report(&self) -> LoadReport {
        let evaluations = evaluation::evaluate_all(self.profile, self.records, self.run_counts);
        let phase_names = self.profile.phases.iter().map(|phase| phase.name.clone());
        let phases = phase_names.enumerate().map(|(phase, name)| {
            self.report_phase(name, &evaluations, |record| record.phase == phase)
        });
        let runs_of = |record: &caller::CallRecord| self.run_counts.runs.get(&record.id).copied();
        let runs_of = |record: &caller::CallRecord| runs_of(record).unwrap_or(0);
        let count = |test: &dyn Fn(&caller::CallRecord) -> bool| {
            self.records.iter().filter(|record| test(record)).count() as u64
        };
        LoadReport {
            phases: phases.collect(),
            whole: self.report_phase("whole".to_owned(), &evaluations, |_| true),
            lost: count(&|record| match record.result {
                attempt::CallResult::Served => runs_of(record) == 0,
                attempt::CallResult::Broken | attempt::CallResult::Unreached => true,
                _ => false,
            }),
            doubled: count(&|record| record.once && runs_of(record) > 1),
            false_not_run: count(&|record| record.all_not_run && runs_of(record) > 0),
            leaked_keys: self.run_counts.leaked_keys,
            drain_ms: self.drain_ms,
        }
    }

    fn report_phase(
        &self,
        name: String,
        evaluations: &[evaluation::LimitEvaluation],
        is_included: impl Fn(&caller::CallRecord) -> bool,
    ) -> PhaseReport {
        let evaluated = self.records.iter().zip(evaluations);
        let evaluated: Vec<_> = evaluated.filter(|(record, _)| is_included(record)).collect();
        let teams: Vec<_> = (0..self.profile.teams.len())
            .map(|team| {
                let of_team = evaluated.iter().copied().filter(|(record, _)| record.team == team);
                report_team(&self.profile.teams[team].team, &of_team.collect::<Vec<_>>())
            })
            .collect();
        // `None` for the entire run, which includes the samples of all phases.
        let phase = self.profile.phases.iter().position(|phase| phase.name == name);
        let samples = self.slots.iter().filter(|sample| phase.is_none_or(|p| p == sample.phase));
        let count = |test: &dyn Fn(&evaluation::LimitEvaluation) -> bool| -> u64 {
            evaluated.iter().filter(|(_, evaluation)| test(evaluation)).count() as u64
        };
        PhaseReport {
            results: count_results(evaluated.iter().map(|(record, _)| record.result)),
            foreign: evaluated.iter().map(|(record, _)| record.foreign as u64).sum(),
            latency: measure_latency(evaluated.iter().map(|(record, _)| *record)),
            headroom: observer::HeadroomReport::of(samples),
            wrongful: count(&|evaluation| evaluation.wrongful),
            wrongful_even_split: count(&|evaluation| evaluation.wrongful_even_split),
            excess: evaluated.iter().map(|(_, evaluation)| evaluation.excess).fold(0.0, f64::max),
            worst_team: find_worst_team(&teams),
            teams,
            name,
        }
    }
}

fn report_team(
    name: &str,
    evaluated: &[(&caller::CallRecord, &evaluation::LimitEvaluation)],
) -> TeamReport {
    let within = evaluated.iter().filter(|(_, evaluation)| evaluation.within_limit);
    let is_served = |record: &caller::CallRecord| record.result == attempt::CallResult::Served;
    TeamReport {
        team: name.to_owned(),
        sent: evaluated.len() as u64,
        within_limit: within.clone().count() as u64,
        served_within: within.filter(|(record, _)| is_served(record)).count() as u64,
        results: count_results(evaluated.iter().map(|(record, _)| record.result)),
        latency: measure_latency(evaluated.iter().map(|(record, _)| *record)),
    }
}

fn find_worst_team(teams: &[TeamReport]) -> Option<TeamShare> {
    let sending = teams.iter().filter(|team| team.within_limit > 0);
    let shares = sending.map(|team| TeamShare {
        team: team.team.clone(),
        share: team.served_within as f64 / team.within_limit as f64,
    });
    shares.min_by(|left, right| left.share.total_cmp(&right.share))
}

fn count_results(
    results: impl Iterator<Item = attempt::CallResult>,
) -> collections::BTreeMap<attempt::CallResult, u64> {
    let mut counts = collections::BTreeMap::new();
    for result in results {
        *counts.entry(result).or_default() += 1;
    }
    counts
}

fn measure_latency<'a>(records: impl Iterator<Item = &'a caller::CallRecord>) -> LatencyReport {
    let latency =
        hdrhistogram::Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS);
    let mut latency = latency.expect("the fixed bounds are valid");
    for record in records.filter(|record| record.result == attempt::CallResult::Served) {
        let micros = u64::try_from(record.latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        latency.saturating_record(micros);
    }
    LatencyReport {
        p50_us: latency.value_at_quantile(0.5),
        p99_us: latency.value_at_quantile(0.99),
    }
}

impl PhaseReport {
    /// Returns the number of requests with a result.
    #[must_use]
    pub fn count(&self, result: attempt::CallResult) -> u64 {
        self.results.get(&result).copied().unwrap_or(0)
    }
}

impl LoadReport {
    /// Returns the number of requests with a result in the entire run.
    #[must_use]
    pub fn count(&self, result: attempt::CallResult) -> u64 {
        self.whole.count(result)
    }

    /// Returns the number of requests whose last response was truncated or wrong.
    #[must_use]
    pub fn cut(&self) -> u64 {
        self.count(attempt::CallResult::Cut) + self.count(attempt::CallResult::Foreign)
    }

    /// Returns true if requests were served, none was lost, duplicated, answered with
    /// a truncated or wrong response or falsely reported as not run, and no key was
    /// leaked.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let faults =
            self.lost + self.doubled + self.cut() + self.false_not_run + self.leaked_keys.total();
        self.count(attempt::CallResult::Served) > 0 && faults == 0
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_teams(f, &self.whole)?;
        for phase in self.phases.iter().chain([&self.whole]) {
            write_phase(f, phase)?;
        }
        write!(f, "results:")?;
        for (result, count) in &self.whole.results {
            write!(f, " {result} {count}")?;
        }
        writeln!(f)?;
        writeln!(
            f,
            "lost {}, doubled {}, cut {}, unknown {}, false not-run {}, leaked keys {}",
            self.lost,
            self.doubled,
            self.cut(),
            self.count(attempt::CallResult::Unknown),
            self.false_not_run,
            self.leaked_keys.total(),
        )?;
        match self.drain_ms {
            Some(drain_ms) => writeln!(f, "drain took {drain_ms} ms"),
            None => Ok(()),
        }
    }
}

fn write_teams(f: &mut fmt::Formatter<'_>, phase: &PhaseReport) -> fmt::Result {
    writeln!(
        f,
        "{:<16} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8} {:>8}",
        "team", "sent", "served", "limited", "not-run", "other", "p50 ms", "p99 ms"
    )?;
    for team in &phase.teams {
        let count = |result| team.results.get(&result).copied().unwrap_or(0);
        let served = count(attempt::CallResult::Served);
        let limited = count(attempt::CallResult::Limited);
        let not_run = count(attempt::CallResult::NotRun);
        writeln!(
            f,
            "{:<16} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8.1} {:>8.1}",
            team.team,
            team.sent,
            served,
            limited,
            not_run,
            team.sent - served - limited - not_run,
            millis(team.latency.p50_us),
            millis(team.latency.p99_us),
        )?;
    }
    Ok(())
}

fn write_phase(f: &mut fmt::Formatter<'_>, phase: &PhaseReport) -> fmt::Result {
    write!(
        f,
        "{}: p50 {:.1} ms, p99 {:.1} ms, headroom mean {:.2} least {:.2}, \
         wrongful refusals {} (even split {}), excess {:.1}",
        phase.name,
        millis(phase.latency.p50_us),
        millis(phase.latency.p99_us),
        phase.headroom.mean,
        phase.headroom.least,
        phase.wrongful,
        phase.wrongful_even_split,
        phase.excess,
    )?;
    match &phase.worst_team {
        Some(worst) => writeln!(f, ", worst-served {} {:.4}", worst.team, worst.share),
        None => writeln!(f),
    }
}

fn millis(micros: u64) -> f64 {
    const MICROS_PER_MILLI: f64 = 1_000.0;
    micros as f64 / MICROS_PER_MILLI
}
