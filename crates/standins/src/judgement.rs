//! Compares what became of each request with one global token bucket per team.

use std::collections;
use std::net;

use marjoramwing_derives as derives;

use crate::attempt;
use crate::caller;
use crate::limiter;
use crate::profile;
use crate::record;

/// What reference limiters say of one request.
#[derives::measure]
pub struct CallJudgement {
    /// One global bucket would have admitted it.
    pub within_limit: bool,
    /// It was refused over a limit although one global bucket had admitted it.
    pub wrongful: bool,
    /// An even split over the instances would have refused it wrongfully.
    pub wrongful_even_split: bool,
    /// Tokens that the team owed after it ran.
    pub excess: f64,
}

impl CallJudgement {
    const NONE: Self =
        Self { within_limit: false, wrongful: false, wrongful_even_split: false, excess: 0.0 };
}

/// Buckets of one team.
struct TeamReference {
    global: limiter::ReferenceBucket,
    ran: limiter::ReferenceBucket,
    split: collections::HashMap<net::SocketAddr, limiter::ReferenceBucket>,
}

/// Judges all requests in the order in which they were sent.
#[must_use]
pub fn judge_all(
    profile: &profile::LoadProfile,
    records: &[caller::CallRecord],
    runs: &record::RunCounts,
) -> Vec<CallJudgement> {
    let parts = profile.instances.len() as f64;
    let mut references: Vec<_> = profile.teams.iter().map(TeamReference::new).collect();
    let mut order: Vec<_> = (0..records.len()).collect();
    order.sort_by_key(|index| records[*index].sent_at);
    let mut judgements = vec![CallJudgement::NONE; records.len()];
    for index in order {
        let record = &records[index];
        let team = &profile.teams[record.team];
        let ran = runs.runs.contains_key(&record.id);
        judgements[index] = references[record.team].judge(team, parts, record, ran);
    }
    judgements
}

impl TeamReference {
    fn new(team: &profile::TeamLoad) -> Self {
        let bucket = limiter::ReferenceBucket::new(team.limit_rate, f64::from(team.limit_burst));
        Self { global: bucket, ran: bucket, split: collections::HashMap::new() }
    }

    fn judge(
        &mut self,
        team: &profile::TeamLoad,
        parts: f64,
        record: &caller::CallRecord,
        ran: bool,
    ) -> CallJudgement {
        if record.open {
            return CallJudgement { within_limit: true, ..CallJudgement::NONE };
        }
        let within_limit = self.global.take(record.sent_at);
        let split_admits = record.first.is_none_or(|address| {
            let burst = f64::from(team.limit_burst) / parts;
            let bucket = limiter::ReferenceBucket::new(team.limit_rate / parts, burst);
            self.split.entry(address).or_insert(bucket).take(record.sent_at)
        });
        CallJudgement {
            within_limit,
            wrongful: within_limit && record.result == attempt::CallResult::Limited,
            wrongful_even_split: within_limit && !split_admits,
            excess: if ran { self.ran.take_on_credit(record.sent_at) } else { 0.0 },
        }
    }
}
