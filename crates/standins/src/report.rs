//! What a run of callers measured.

use std::collections;
use std::fmt;

use marjoramwing_derives as derives;

use crate::attempt;
use crate::caller;
use crate::judgement;
use crate::leak;
use crate::observer;
use crate::profile;
use crate::record;

/// Highest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Significant digits of a latency.
const LATENCY_DIGITS: u8 = 3;

/// The measures of a whole run.
#[derives::document]
pub struct LoadReport {
    /// Measures of each phase.
    pub phases: Vec<PhaseReport>,
    /// Measures of the whole run.
    pub whole: PhaseReport,
    /// Requests whose outcome no answer told, and served ones that never ran.
    pub lost: u64,
    /// Requests to be run at most once that ran more often.
    pub doubled: u64,
    /// Requests that ran although every refusal said they did not.
    pub false_not_run: u64,
    /// Requests that showed a key to a backend server.
    pub leaked_keys: leak::LeakCounts,
    /// Time from the draining of a server to its last run's end, in milliseconds.
    pub drain_ms: Option<u64>,
}

/// The measures of one phase.
#[derives::document]
pub struct PhaseReport {
    /// Name of the phase.
    pub name: String,
    /// Requests by result.
    pub results: collections::BTreeMap<attempt::CallResult, u64>,
    /// Latency of served requests, in microseconds.
    pub latency: LatencyReport,
    /// Free slots over time, as a fraction of all.
    pub headroom: observer::HeadroomReport,
    /// Refusals over a limit that one global bucket would not have made.
    pub wrongful: u64,
    /// The same for an even split of each limit over the instances.
    pub wrongful_even_split: u64,
    /// Most tokens that a team took beyond its rate and burst.
    pub excess: f64,
    /// Team with the smallest share of its requests within the limit served.
    pub worst_team: Option<TeamShare>,
    /// Measures of each team.
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

/// A team's share of its requests within the limit that were served.
#[derives::document]
pub struct TeamShare {
    /// Name of the team.
    pub team: String,
    /// Share, from 0 to 1.
    pub share: f64,
}

/// The measures of one team.
#[derives::document]
pub struct TeamReport {
    /// Name of the team.
    pub team: String,
    /// Requests sent.
    pub sent: u64,
    /// Requests within the limit.
    pub within_limit: u64,
    /// Requests within the limit that were served.
    pub served_within: u64,
    /// Requests by result.
    pub results: collections::BTreeMap<attempt::CallResult, u64>,
    /// Latency of served requests, in microseconds.
    pub latency: LatencyReport,
}

/// What a report is made from.
#[derive(Debug)]
pub struct ReportInput<'a> {
    /// Load that was sent.
    pub profile: &'a profile::LoadProfile,
    /// What callers know.
    pub records: &'a [caller::CallRecord],
    /// What backend servers ran.
    pub runs: &'a record::RunCounts,
    /// Free slots over time.
    pub slots: &'a [observer::SlotSample],
    /// Time that a drain took.
    pub drain_ms: Option<u64>,
}

impl ReportInput<'_> {
    /// Makes the report.
    #[must_use]
    pub fn report(&self) -> LoadReport {
        let judgements = judgement::judge_all(self.profile, self.records, self.runs);
        let phase_names = self.profile.phases.iter().map(|phase| phase.name.clone());
        let phases = phase_names.enumerate().map(|(phase, name)| {
            self.report_phase(name, &judgements, |record| record.phase == phase)
        });
        let runs_of = |record: &caller::CallRecord| self.runs.runs.get(&record.id).copied();
        let runs_of = |record: &caller::CallRecord| runs_of(record).unwrap_or(0);
        let count = |test: &dyn Fn(&caller::CallRecord) -> bool| {
            self.records.iter().filter(|record| test(record)).count() as u64
        };
        LoadReport {
            phases: phases.collect(),
            whole: self.report_phase("whole".to_owned(), &judgements, |_| true),
            lost: count(&|record| match record.result {
                attempt::CallResult::Served => runs_of(record) == 0,
                attempt::CallResult::Broken | attempt::CallResult::Unreached => true,
                _ => false,
            }),
            doubled: count(&|record| record.once && runs_of(record) > 1),
            false_not_run: count(&|record| record.all_not_run && runs_of(record) > 0),
            leaked_keys: self.runs.leaked_keys,
            drain_ms: self.drain_ms,
        }
    }

    fn report_phase(
        &self,
        name: String,
        judgements: &[judgement::CallJudgement],
        belongs: impl Fn(&caller::CallRecord) -> bool,
    ) -> PhaseReport {
        let judged = self.records.iter().zip(judgements);
        let judged: Vec<_> = judged.filter(|(record, _)| belongs(record)).collect();
        let teams: Vec<_> = (0..self.profile.teams.len())
            .map(|team| {
                let of_team = judged.iter().copied().filter(|(record, _)| record.team == team);
                report_team(&self.profile.teams[team].team, &of_team.collect::<Vec<_>>())
            })
            .collect();
        let phase = self.profile.phases.iter().position(|phase| phase.name == name);
        let samples = self.slots.iter().filter(|sample| phase.is_none_or(|p| p == sample.phase));
        let wrongful = |test: &dyn Fn(&judgement::CallJudgement) -> bool| -> u64 {
            judged.iter().filter(|(_, judgement)| test(judgement)).count() as u64
        };
        PhaseReport {
            results: count_results(judged.iter().map(|(record, _)| record.result)),
            latency: measure_latency(judged.iter().map(|(record, _)| *record)),
            headroom: observer::HeadroomReport::of(samples),
            wrongful: wrongful(&|judgement| judgement.wrongful),
            wrongful_even_split: wrongful(&|judgement| judgement.wrongful_even_split),
            excess: judged.iter().map(|(_, judgement)| judgement.excess).fold(0.0, f64::max),
            worst_team: find_worst(&teams),
            teams,
            name,
        }
    }
}

fn report_team(
    name: &str,
    judged: &[(&caller::CallRecord, &judgement::CallJudgement)],
) -> TeamReport {
    let within = judged.iter().filter(|(_, judgement)| judgement.within_limit);
    let is_served = |record: &caller::CallRecord| record.result == attempt::CallResult::Served;
    TeamReport {
        team: name.to_owned(),
        sent: judged.len() as u64,
        within_limit: within.clone().count() as u64,
        served_within: within.filter(|(record, _)| is_served(record)).count() as u64,
        results: count_results(judged.iter().map(|(record, _)| record.result)),
        latency: measure_latency(judged.iter().map(|(record, _)| *record)),
    }
}

fn find_worst(teams: &[TeamReport]) -> Option<TeamShare> {
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
    /// Returns the requests with a result.
    #[must_use]
    pub fn count(&self, result: attempt::CallResult) -> u64 {
        self.results.get(&result).copied().unwrap_or(0)
    }
}

impl LoadReport {
    /// Returns the requests with a result over the whole run.
    #[must_use]
    pub fn count(&self, result: attempt::CallResult) -> u64 {
        self.whole.count(result)
    }

    /// Tells whether something was served and nothing lost, doubled, cut or leaked.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let cut = self.count(attempt::CallResult::Cut);
        let faults = self.lost + self.doubled + cut + self.false_not_run + self.leaked_keys.total();
        self.count(attempt::CallResult::Served) > 0 && faults == 0
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_teams(f, &self.whole)?;
        for phase in self.phases.iter().chain([&self.whole]) {
            write_phase(f, phase)?;
        }
        writeln!(
            f,
            "lost {}, doubled {}, cut {}, unknown {}, false not-run {}, leaked keys {}",
            self.lost,
            self.doubled,
            self.count(attempt::CallResult::Cut),
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
