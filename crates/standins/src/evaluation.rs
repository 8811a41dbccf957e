//! Evaluates the outcome of each request against one global token bucket per team.

use std::collections;
use std::net;

use marjoramwing_derives as derives;

use crate::attempt;
use crate::caller;
use crate::limiter;
use crate::profile;
use crate::record;

/// The evaluation of one request against the reference limiters.
#[derives::measure]
pub struct LimitEvaluation {
    /// Whether one global bucket would have admitted it; true on an open route.
    pub within_limit: bool,
    /// Whether it was refused over a limit although one global bucket admits it.
    pub wrongful: bool,
    /// Whether an even split of the limit over the instances would have refused it
    /// although one global bucket admits it.
    pub wrongful_even_split: bool,
    /// Tokens that the team had taken beyond its rate and burst after the request ran;
    /// 0 if it did not run.
    pub excess: f64,
}

impl LimitEvaluation {
    const NONE: Self =
        Self { within_limit: false, wrongful: false, wrongful_even_split: false, excess: 0.0 };
}

/// Reference buckets of one team: for all its requests, for those that ran, and, with
/// an even split of the limit, for those whose first attempt goes to each address.
struct TeamBuckets {
    global: limiter::ReferenceBucket,
    ran: limiter::ReferenceBucket,
    split: collections::HashMap<net::SocketAddr, limiter::ReferenceBucket>,
}

/// Evaluates all requests in the order of their sending times.
#[must_use]
pub fn evaluate_all(
    profile: &profile::LoadProfile,
    records: &[caller::CallRecord],
    run_counts: &record::RunCounts,
) -> Vec<LimitEvaluation> {
    let instance_count = profile.instances.len() as f64;
    let mut buckets: Vec<_> = profile.teams.iter().map(TeamBuckets::new).collect();
    let mut order: Vec<_> = (0..records.len()).collect();
    order.sort_by_key(|index| records[*index].sent_at);
    let mut evaluations = vec![LimitEvaluation::NONE; records.len()];
    for index in order {
        let record = &records[index];
        let team = &profile.teams[record.team];
        let ran = run_counts.runs.contains_key(&record.id);
        evaluations[index] = buckets[record.team].evaluate(team, instance_count, record, ran);
    }
    evaluations
}

impl TeamBuckets {
    fn new(team: &profile::TeamLoad) -> Self {
        let bucket = limiter::ReferenceBucket::new(team.limit_rate, f64::from(team.limit_burst));
        Self { global: bucket, ran: bucket, split: collections::HashMap::new() }
    }

    fn evaluate(
        &mut self,
        team: &profile::TeamLoad,
        instance_count: f64,
        record: &caller::CallRecord,
        ran: bool,
    ) -> LimitEvaluation {
        if record.open {
            return LimitEvaluation { within_limit: true, ..LimitEvaluation::NONE };
        }
        let within_limit = self.global.try_take(record.sent_at);
        let split_admits = record.first_address.is_none_or(|address| {
            let burst = f64::from(team.limit_burst) / instance_count;
            let bucket = limiter::ReferenceBucket::new(team.limit_rate / instance_count, burst);
            self.split.entry(address).or_insert(bucket).try_take(record.sent_at)
        });
        LimitEvaluation {
            within_limit,
            wrongful: within_limit && record.result == attempt::CallResult::Limited,
            wrongful_even_split: within_limit && !split_admits,
            excess: if ran { self.ran.force_take(record.sent_at) } else { 0.0 },
        }
    }
}
