//! Limits split by demand, without a holder.
//!
//! Each instance tells the others the demand that it sees under each limit and
//! what it admitted. From that it keeps a bucket of its part of the limit and a
//! copy of the bucket of all instances together. It admits from the copy while
//! that holds more than the limit's tolerance needs, and from its part
//! otherwise. No request waits for a message and no store is asked.
//!
//! Invariant: instances that hear each other hold parts that sum to one, but
//! for demand that changed since the last reports, and between two reports they
//! take no more from the common bucket than it held, but for one request each.
//! A silent instance keeps its part for long, and one that no longer hears most of
//! the others does not raise its own, so that the sides of a partition together
//! admit no more than before it.

use std::collections;
use std::sync::Arc;
use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::incarnation;
use marjoramwing_entity::time;
use marjoramwing_tables::team;

use crate::action;
use crate::demand;
use crate::limit;
use crate::part;

/// Time between two reports of an instance.
pub const REPORT_PERIOD: duration::Duration = duration::Duration::from_millis(250);
/// Reports after which one tells of all limits again.
const FULL_REPORT_STEPS: u32 = 8;
/// Time after which an instance that left and reports nothing has no part any more.
const REPORT_LIFE: duration::Duration = duration::Duration::from_secs(3);
/// Time after which one that went silent has none; it may only be cut off, and
/// spends its part meanwhile.
const SILENT_LIFE: duration::Duration = duration::Duration::from_secs(30);
/// Time after which what an instance admits is not known any more.
const HEARD_LIFE: duration::Duration = duration::Duration::from_millis(600);
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

/// What an instance reports of one limit.
#[derives::measure]
pub struct LimitDemand {
    /// The limit.
    pub id: limit::LimitId,
    /// Requests per second, refused ones included.
    pub per_second: f64,
    /// Requests that this run of the instance admitted so far.
    pub admitted: u64,
}

/// An instance as membership knows it.
#[derives::record]
pub struct SplitMember {
    /// Run of its process.
    pub incarnation: incarnation::Incarnation,
    /// Unique name, the same for each run.
    pub name: Arc<str>,
    /// Whether it finishes its requests and takes no new ones.
    pub leaves: bool,
}

/// How far a limit may be passed within a window.
#[derives::measure]
pub struct LimitTolerance {
    /// Length of the window.
    pub window: duration::Duration,
    /// Part of what the limit allows within the window.
    pub overage: f64,
    /// Requests beside that part.
    pub slack: f64,
}

/// The limits of one instance.
#[derive(Debug)]
pub struct DemandSplit {
    tolerance: LimitTolerance,
    limits: collections::BTreeMap<limit::LimitId, part::LimitPart>,
    peers: collections::BTreeMap<incarnation::Incarnation, PeerReport>,
    /// Other instances that are known to run.
    others: usize,
    /// Instances that the platform lists, running or not.
    listed: usize,
    /// Instances that reported of late, as of the last step.
    heard: usize,
    started_at: time::Timestamp,
    steps: u32,
}

#[derive(Debug)]
struct PeerReport {
    heard_at: time::Timestamp,
    /// Name of the instance, once membership told it.
    name: Option<Arc<str>>,
    leaves: bool,
    /// Whether it reported since the last step.
    has_news: bool,
    /// Whether what it admits is not known any more, as of the last step.
    is_silent: bool,
    limits: collections::BTreeMap<limit::LimitId, PeerLimit>,
}

#[derive(Debug)]
struct PeerLimit {
    demand: demand::DemandMeter,
    /// Part of the limit that the instance had when it last reported.
    part: f64,
    admitted: u64,
}

impl PeerReport {
    const fn new(now: time::Timestamp) -> Self {
        let limits = collections::BTreeMap::new();
        Self { heard_at: now, name: None, leaves: false, has_news: true, is_silent: false, limits }
    }

    fn has_part(&self, now: time::Timestamp) -> bool {
        let life = if self.leaves { REPORT_LIFE } else { SILENT_LIFE };
        now.since(self.heard_at) <= life
    }
}

impl PeerLimit {
    const NONE: Self =
        Self { demand: demand::DemandMeter::new(part::DEMAND_DECAY), part: 0.0, admitted: 0 };
}

impl DemandSplit {
    /// Makes the limits of an instance that starts now and knows no other.
    #[must_use]
    pub const fn new(tolerance: LimitTolerance, now: time::Timestamp) -> Self {
        Self {
            tolerance,
            limits: collections::BTreeMap::new(),
            peers: collections::BTreeMap::new(),
            others: 0,
            listed: UNKNOWN_FLEET,
            heard: 0,
            started_at: now,
            steps: 0,
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
        let (fleet, tolerance) = (self.fleet(now), self.tolerance);
        for (id, limit) in limits {
            let make = || part::LimitPart::new(*limit, tolerance, fleet, now);
            let known = self.limits.entry(*id).or_insert_with(make);
            known.set_limit(*limit, fleet, now);
        }
    }

    /// Notes which other instances run, as far as is known.
    pub fn set_members(&mut self, members: &[SplitMember]) {
        self.others = members.len();
        for member in members {
            if let Some(peer) = self.peers.get_mut(&member.incarnation) {
                peer.name = Some(Arc::clone(&member.name));
                peer.leaves = member.leaves;
            }
        }
        // The run before another of the same instance has ended.
        self.peers.retain(|run, peer| {
            let same_name = |member: &&SplitMember| Some(&member.name) == peer.name.as_ref();
            let mut runs = members.iter().filter(same_name).peekable();
            runs.peek().is_none() || runs.any(|member| member.incarnation == *run)
        });
    }

    /// Takes in what another instance reports; limits that it leaves out are as before.
    pub fn receive(
        &mut self,
        from: incarnation::Incarnation,
        demands: Vec<LimitDemand>,
        now: time::Timestamp,
    ) {
        let fleet = self.fleet(now);
        let peer = self.peers.entry(from).or_insert_with(|| PeerReport::new(now));
        (peer.heard_at, peer.has_news) = (now, true);
        for told in demands {
            let demand = demand::DemandMeter::reading(part::DEMAND_DECAY, told.per_second, now);
            let limit = peer.limits.entry(told.id).or_insert(PeerLimit::NONE);
            // What a peer admitted before it was known may have been just now.
            let since = told.admitted.saturating_sub(limit.admitted);
            (limit.demand, limit.admitted) = (demand, told.admitted);
            if let Some(part) = self.limits.get_mut(&told.id) {
                part.note_admitted(since, fleet, now);
            }
        }
    }

    /// Computes the parts anew and returns what to report.
    ///
    /// Only limits that were asked for since the last report are in it, but for
    /// every eighth report, which helps those that missed one.
    pub fn step(&mut self, now: time::Timestamp) -> Vec<LimitDemand> {
        self.forget_silent(now);
        for peer in self.peers.values_mut() {
            peer.is_silent = now.since(peer.heard_at) > HEARD_LIFE;
        }
        self.heard = self.peers.values().filter(|peer| !peer.is_silent).count();
        let fleet = self.fleet(now);
        let is_full = self.steps.is_multiple_of(FULL_REPORT_STEPS);
        self.steps = self.steps.wrapping_add(1);
        let mut report = Vec::new();
        for (id, part) in &mut self.limits {
            let own = part.demand(now);
            let own_part = part_by_demand(*id, part.limit(), own, &mut self.peers, fleet);
            let was_asked = part.divide(own_part, fleet, now);
            if was_asked || (is_full && own >= LEAST_REPORTED) {
                let admitted = part.admitted();
                report.push(LimitDemand { id: *id, per_second: own, admitted });
            }
        }
        self.peers.values_mut().for_each(|peer| peer.has_news = false);
        report
    }

    /// Admits or refuses one request.
    pub fn admit(&mut self, id: limit::LimitId, now: time::Timestamp) -> action::TicketOutcome {
        let fleet = self.fleet(now);
        let Some(part) = self.limits.get_mut(&id) else {
            return action::TicketOutcome::Admitted { valid_until: time::Timestamp::NEVER };
        };
        match part.admit(fleet, now) {
            Ok(()) => action::TicketOutcome::Admitted { valid_until: time::Timestamp::NEVER },
            Err(retry_after) => action::TicketOutcome::Refused { retry_after },
        }
    }

    /// Returns this instance's part of a limit.
    #[must_use]
    pub fn part(&self, id: limit::LimitId) -> Option<f64> {
        self.limits.get(&id).map(part::LimitPart::part)
    }

    /// Returns the instances among which the limits are split.
    ///
    /// An instance that has just started, or hears no other, goes by the list.
    fn fleet(&self, now: time::Timestamp) -> part::FleetShape {
        let known = self.others.max(self.peers.len()) + 1;
        let is_new = now.since(self.started_at) < START_CAUTION;
        let is_listed = is_new || self.peers.is_empty();
        let instances = if is_listed { known.max(self.listed) } else { known };
        part::FleetShape { instances, heard: (self.heard + 1).min(instances) }
    }

    /// Forgets instances that are silent, unless most are.
    fn forget_silent(&mut self, now: time::Timestamp) {
        let heard = self.peers.values().filter(|peer| peer.has_part(now)).count();
        if heard * 2 >= self.peers.len() {
            self.peers.retain(|_, peer| peer.has_part(now));
        }
    }
}

/// Returns the part of a limit by which an instance may spend, and notes those of
/// the instances that it hears.
///
/// A silent instance may only be cut off, so the part that it had is left to it.
fn part_by_demand(
    id: limit::LimitId,
    limit: team::RateLimit,
    own: f64,
    peers: &mut collections::BTreeMap<incarnation::Incarnation, PeerReport>,
    fleet: part::FleetShape,
) -> f64 {
    let (mut told, mut left_to_silent, mut silent) = (0.0, 0.0, 0);
    for peer in peers.values() {
        let limit = peer.limits.get(&id);
        if peer.is_silent {
            silent += 1;
            left_to_silent += limit.map_or(0.0, |limit| limit.part);
        } else {
            told += limit.map_or(0.0, |limit| limit.demand.per_second(peer.heard_at));
        }
    }
    let unheard = (fleet.instances - 1).saturating_sub(peers.len()) as f64;
    let least = LEAST_PART * limit.rate / fleet.instances as f64;
    // Instances that were never heard from may see as much as this one.
    let all = own * (1.0 + unheard) + told + least * (fleet.instances - silent) as f64;
    let part_of = |demand: f64| (demand + least) / all * (1.0 - left_to_silent).max(0.0);
    for peer in peers.values_mut().filter(|peer| peer.has_news) {
        if let Some(limit) = peer.limits.get_mut(&id) {
            limit.part = part_of(limit.demand.per_second(peer.heard_at));
        }
    }
    part_of(own)
}
