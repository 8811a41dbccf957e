//! Limits split by demand, without a holder.
//!
//! Each instance tells the others the demand that it sees under each limit and
//! runs a bucket at its part of all demand. No request waits for a message and
//! no store is asked.
//!
//! Invariant: instances that hear each other hold parts that sum to one, but
//! for demand that changed since the last reports. An instance that no longer
//! hears most of the others keeps the parts as they were, so that the sides of
//! a partition together admit no more than before it.

use std::collections;
use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::incarnation;
use marjoramwing_entity::time;
use marjoramwing_tables::team;

use crate::action;
use crate::demand;
use crate::limit;

/// Time between two reports of an instance.
pub const REPORT_PERIOD: duration::Duration = duration::Duration::from_millis(250);
/// Time after which an instance that reports nothing has no part any more.
const REPORT_LIFE: duration::Duration = duration::Duration::from_secs(3);
/// Time over which demand is averaged, so that parts follow it calmly.
const DEMAND_DECAY: duration::Duration = duration::Duration::from_secs(2);
/// Demand that each instance counts with at least, as a part of an even split.
///
/// The first requests of a team at another instance find some tokens there.
const LEAST_PART: f64 = 0.1;
/// Time after the start in which instances that are only listed have a part.
const START_CAUTION: duration::Duration = duration::Duration::from_secs(3);
/// Instances that are assumed before the platform's list is known.
const UNKNOWN_FLEET: usize = 16;
/// Demand below which nothing is reported, in requests per second.
const LEAST_REPORTED: f64 = 0.05;
/// Tokens beyond the burst that all instances together may hold.
const SPARE_TOKENS: f64 = 10.0;
/// Longest time that a refused request is told to wait.
const MAX_RETRY: duration::Duration = duration::Duration::from_millis(500);

/// Demand under one limit, as an instance sees it.
#[derives::measure]
pub struct LimitDemand {
    /// The limit.
    pub id: limit::LimitId,
    /// Requests per second.
    pub per_second: f64,
}

/// The limits of one instance.
#[derive(Debug)]
pub struct DemandSplit {
    limits: collections::BTreeMap<limit::LimitId, SplitLimit>,
    peers: collections::BTreeMap<incarnation::Incarnation, PeerReport>,
    /// Other instances that are known to run.
    others: usize,
    /// Instances that the platform lists, running or not.
    listed: usize,
    started_at: time::Timestamp,
}

#[derive(Debug)]
struct PeerReport {
    heard_at: time::Timestamp,
    demands: collections::BTreeMap<limit::LimitId, f64>,
}

#[derive(Debug)]
struct SplitLimit {
    limit: team::RateLimit,
    demand: demand::DemandMeter,
    /// Part of the limit that this instance may spend.
    part: f64,
    tokens: f64,
    filled_at: time::Timestamp,
}

impl DemandSplit {
    /// Makes the limits of an instance that starts now and knows no other.
    #[must_use]
    pub const fn new(now: time::Timestamp) -> Self {
        Self {
            limits: collections::BTreeMap::new(),
            peers: collections::BTreeMap::new(),
            others: 0,
            listed: UNKNOWN_FLEET,
            started_at: now,
        }
    }

    /// Notes how many instances the platform lists, running or not.
    pub fn set_listed(&mut self, listed: usize) {
        self.listed = listed.max(1);
    }

    /// Sets the limits in force; an edit gives no tokens.
    pub fn set_limits(
        &mut self,
        limits: &collections::BTreeMap<limit::LimitId, team::RateLimit>,
        now: time::Timestamp,
    ) {
        self.limits.retain(|id, _| limits.contains_key(id));
        let instances = self.instances(now);
        for (id, limit) in limits {
            let known = self.limits.entry(*id).or_insert_with(|| SplitLimit {
                limit: *limit,
                demand: demand::DemandMeter::new(DEMAND_DECAY),
                part: 1.0 / instances as f64,
                tokens: 1.0,
                filled_at: now,
            });
            known.fill(instances, now);
            known.limit = *limit;
            known.tokens = known.tokens.min(known.capacity(instances));
        }
    }

    /// Notes how many other instances run, as far as is known.
    pub const fn set_others(&mut self, others: usize) {
        self.others = others;
    }

    /// Takes in the demand that another instance sees.
    pub fn receive(
        &mut self,
        from: incarnation::Incarnation,
        demands: Vec<LimitDemand>,
        now: time::Timestamp,
    ) {
        let demands = demands.into_iter().map(|told| (told.id, told.per_second)).collect();
        self.peers.insert(from, PeerReport { heard_at: now, demands });
    }

    /// Computes the parts anew and returns the demand to report.
    pub fn step(&mut self, now: time::Timestamp) -> Vec<LimitDemand> {
        self.forget_silent(now);
        let instances = self.instances(now);
        let unheard = (instances - 1).saturating_sub(self.peers.len()) as f64;
        let mut report = Vec::new();
        for (id, split) in &mut self.limits {
            split.fill(instances, now);
            let own = split.demand.per_second(now);
            let told = self.peers.values().filter_map(|peer| peer.demands.get(id)).sum::<f64>();
            let least = LEAST_PART * split.limit.rate / instances as f64;
            // Instances that were not heard from may see as much as this one.
            let all = own * (1.0 + unheard) + told + least * instances as f64;
            split.part = (own + least) / all;
            if own >= LEAST_REPORTED {
                report.push(LimitDemand { id: *id, per_second: own });
            }
        }
        report
    }

    /// Admits or refuses one request.
    pub fn admit(&mut self, id: limit::LimitId, now: time::Timestamp) -> action::TicketOutcome {
        let instances = self.instances(now);
        let Some(split) = self.limits.get_mut(&id) else {
            return action::TicketOutcome::Admitted { valid_until: time::Timestamp::NEVER };
        };
        split.demand.add(1, now);
        split.fill(instances, now);
        if split.tokens >= 1.0 {
            split.tokens -= 1.0;
            return action::TicketOutcome::Admitted { valid_until: time::Timestamp::NEVER };
        }
        action::TicketOutcome::Refused { retry_after: split.time_to_token() }
    }

    /// Returns this instance's part of a limit.
    #[must_use]
    pub fn part(&self, id: limit::LimitId) -> Option<f64> {
        self.limits.get(&id).map(|split| split.part)
    }

    /// Returns the instances among which the limits are split.
    ///
    /// An instance that has just started, or hears no other, goes by the list.
    fn instances(&self, now: time::Timestamp) -> usize {
        let known = self.others.max(self.peers.len()) + 1;
        let is_new = now.since(self.started_at) < START_CAUTION;
        if is_new || self.peers.is_empty() { known.max(self.listed) } else { known }
    }

    /// Forgets instances that are silent, unless most are.
    fn forget_silent(&mut self, now: time::Timestamp) {
        let is_heard = |peer: &PeerReport| now.since(peer.heard_at) <= REPORT_LIFE;
        let heard = self.peers.values().filter(|peer| is_heard(peer)).count();
        if heard * 2 >= self.peers.len() {
            self.peers.retain(|_, peer| is_heard(peer));
        }
    }
}

impl SplitLimit {
    fn capacity(&self, instances: usize) -> f64 {
        let spare = SPARE_TOKENS / instances as f64;
        (f64::from(self.limit.burst) * self.part + spare).max(1.0)
    }

    fn fill(&mut self, instances: usize, now: time::Timestamp) {
        let elapsed = now.since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        let gained = elapsed * self.limit.rate * self.part;
        self.tokens = (self.tokens + gained).min(self.capacity(instances));
    }

    fn time_to_token(&self) -> duration::Duration {
        let rate = (self.limit.rate * self.part).max(f64::MIN_POSITIVE);
        let seconds = (1.0 - self.tokens) / rate;
        duration::Duration::from_secs_f64(seconds.min(MAX_RETRY.as_secs_f64()))
    }
}
