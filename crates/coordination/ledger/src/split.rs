//! Limits that are split by demand, without a holder.
//!
//! Each instance reports to the others its demand under each limit and how many requests it
//! admitted. From the reports it maintains a local bucket for its fraction of the limit and
//! an estimate of the global bucket of all instances. It admits from the global bucket
//! while that holds more than the reserve that the limit's tolerance requires, and from the
//! local bucket otherwise. No request waits for a message, and the store is not involved.
//!
//! Invariant: the fractions of instances that receive each other's reports sum to one,
//! except for changes of demand since the last reports. Between two reports, these
//! instances take no more from the global bucket than it held, except for one request each.
//! A silent instance, whose reports no longer arrive, keeps its fraction for
//! `SILENT_EXPIRY`. An instance that no longer receives reports from most others does not
//! raise its own, so that the sides of a partition together admit no more than before it.

use std::collections;
use std::sync::Arc;
use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::incarnation;
use marjoramwing_entity::meter;
use marjoramwing_entity::time;
use marjoramwing_tables::team;

use crate::action;
use crate::limit;
use crate::local;

/// Period of an instance's reports.
pub const REPORT_PERIOD: duration::Duration = duration::Duration::from_millis(250);
/// Interval, in reports, at which a full report is sent. It also includes limits without
/// requests since the last report.
const FULL_REPORT_INTERVAL: u32 = 8;
/// Time after its last report at which an instance that left loses its fraction.
const LEFT_EXPIRY: duration::Duration = duration::Duration::from_secs(3);
/// Time after its last report at which a silent instance loses its fraction. It is longer
/// than `LEFT_EXPIRY`: the instance may be partitioned and still spend its fraction.
const SILENT_EXPIRY: duration::Duration = duration::Duration::from_secs(30);
/// Age of the last report after which an instance's admissions count as unknown.
const SILENT_AFTER: duration::Duration = duration::Duration::from_millis(600);
/// Minimum demand assumed for each instance, as a fraction of an even split.
///
/// It leaves tokens at each instance for the first requests of a team there.
const MIN_DEMAND_FRACTION: f64 = 0.1;
/// Time after the start during which listed instances count even if no report of them has arrived.
const STARTUP_PERIOD: duration::Duration = duration::Duration::from_secs(3);
/// Number of instances assumed before the platform's list is known.
const DEFAULT_FLEET_SIZE: usize = 16;
/// Demand below which a full report omits a limit, in requests per second.
const MIN_REPORTED_DEMAND: f64 = 0.05;

/// An instance's report on one limit.
#[derives::measure]
pub struct LimitDemand {
    /// Limit that the report is about.
    pub id: limit::LimitId,
    /// Requests per second, refused ones included.
    pub per_second: f64,
    /// Total number of requests admitted by this incarnation.
    pub admitted: u64,
}

/// An instance known from membership.
#[derives::record]
pub struct SplitMember {
    /// Incarnation of the instance.
    pub incarnation: incarnation::Incarnation,
    /// Unique name, stable across restarts.
    pub name: Arc<str>,
    /// Whether the instance is draining: it finishes open requests and accepts no new ones.
    pub is_leaving: bool,
}

/// How far a limit may be exceeded within a window.
#[derives::measure]
pub struct LimitTolerance {
    /// Length of the window.
    pub window: duration::Duration,
    /// Fraction of what the limit allows within the window.
    pub overage: f64,
    /// Number of requests allowed in addition to that fraction.
    pub slack: f64,
}

/// The limits of one instance, split by demand.
#[derive(Debug)]
pub struct DemandSplit {
    tolerance: LimitTolerance,
    limits: collections::BTreeMap<limit::LimitId, local::LocalLimit>,
    /// Other instances that have reported and may still have a fraction.
    peers: collections::BTreeMap<incarnation::Incarnation, PeerReport>,
    /// Number of other instances known from membership.
    other_count: usize,
    /// Largest number of instances that the platform has listed, running or not; `None` before
    /// the first list.
    listed_count: Option<usize>,
    /// Number of other instances with a recent report, as of the last step.
    reporting_count: usize,
    started_at: time::Timestamp,
    /// Number of calls of `step`, which decides when a full report is due.
    steps: u32,
}

/// The last reports of another instance.
#[derive(Debug)]
struct PeerReport {
    reported_at: time::Timestamp,
    /// Name of the instance, once membership has provided it.
    name: Option<Arc<str>>,
    is_leaving: bool,
    /// Whether a report arrived since the last step.
    has_new_report: bool,
    /// Whether its admissions count as unknown, as of the last step.
    is_silent: bool,
    limits: collections::BTreeMap<limit::LimitId, PeerLimit>,
}

/// What another instance last reported on one limit.
#[derive(Debug)]
struct PeerLimit {
    demand: meter::RateMeter,
    /// Fraction of the limit that the instance had when it last reported.
    fraction: f64,
    /// Total number of requests that the instance has admitted, as last reported.
    admitted: u64,
}

impl PeerReport {
    const fn new(now: time::Timestamp) -> Self {
        let limits = collections::BTreeMap::new();
        Self {
            reported_at: now,
            name: None,
            is_leaving: false,
            has_new_report: true,
            is_silent: false,
            limits,
        }
    }

    fn has_fraction(&self, now: time::Timestamp) -> bool {
        let expiry = if self.is_leaving { LEFT_EXPIRY } else { SILENT_EXPIRY };
        now.since(self.reported_at) <= expiry
    }
}

impl PeerLimit {
    const NONE: Self =
        Self { demand: meter::RateMeter::new(local::DEMAND_DECAY), fraction: 0.0, admitted: 0 };
}

impl DemandSplit {
    /// Creates the limits of an instance that starts now and knows no others.
    #[must_use]
    pub const fn new(tolerance: LimitTolerance, now: time::Timestamp) -> Self {
        Self {
            tolerance,
            limits: collections::BTreeMap::new(),
            peers: collections::BTreeMap::new(),
            other_count: 0,
            listed_count: None,
            reporting_count: 0,
            started_at: now,
            steps: 0,
        }
    }

    /// Sets the number of instances that the platform lists, running or not.
    ///
    /// A smaller number changes nothing: entries are never removed, but a restored store lacks
    /// those that are younger than its copy.
    pub fn set_listed_count(&mut self, listed: usize) {
        self.listed_count = self.listed_count.max(Some(listed.max(1)));
    }

    /// Replaces the set of limits; an edit adds no tokens.
    pub fn set_limits(
        &mut self,
        limits: &collections::BTreeMap<limit::LimitId, team::RateLimit>,
        now: time::Timestamp,
    ) {
        self.limits.retain(|id, _| limits.contains_key(id));
        let (fleet, tolerance) = (self.fleet_size(now), self.tolerance);
        for (id, limit) in limits {
            let make = || local::LocalLimit::new(*limit, tolerance, fleet, now);
            let known = self.limits.entry(*id).or_insert_with(make);
            known.set_limit(*limit, fleet, now);
        }
    }

    /// Updates the set of other instances that are running, as far as known.
    pub fn set_members(&mut self, members: &[SplitMember]) {
        self.other_count = members.len();
        for member in members {
            if let Some(peer) = self.peers.get_mut(&member.incarnation) {
                peer.name = Some(Arc::clone(&member.name));
                peer.is_leaving = member.is_leaving;
            }
        }
        // Drops earlier incarnations of instances that have restarted.
        self.peers.retain(|incarnation, peer| {
            let same_name = |member: &&SplitMember| Some(&member.name) == peer.name.as_ref();
            let mut same_named = members.iter().filter(same_name).peekable();
            same_named.peek().is_none()
                || same_named.any(|member| member.incarnation == *incarnation)
        });
    }

    /// Handles the report of another instance; limits that it omits are unchanged.
    pub fn receive(
        &mut self,
        from: incarnation::Incarnation,
        demands: Vec<LimitDemand>,
        now: time::Timestamp,
    ) {
        let fleet = self.fleet_size(now);
        let peer = self.peers.entry(from).or_insert_with(|| PeerReport::new(now));
        (peer.reported_at, peer.has_new_report) = (now, true);
        for reported in demands {
            let demand = meter::RateMeter::with_rate(local::DEMAND_DECAY, reported.per_second, now);
            let limit = peer.limits.entry(reported.id).or_insert(PeerLimit::NONE);
            // For a newly known peer this counts its whole total, since all of it may be recent.
            let new_admitted = reported.admitted.saturating_sub(limit.admitted);
            (limit.demand, limit.admitted) = (demand, reported.admitted);
            if let Some(limit) = self.limits.get_mut(&reported.id) {
                limit.deduct_admitted(new_admitted, fleet, now);
            }
        }
    }

    /// Recomputes the fractions and returns the report to send.
    ///
    /// It includes only limits with requests since the last report. Every eighth report
    /// includes all limits with demand, for instances that missed a report.
    pub fn step(&mut self, now: time::Timestamp) -> Vec<LimitDemand> {
        self.drop_expired(now);
        for peer in self.peers.values_mut() {
            peer.is_silent = now.since(peer.reported_at) > SILENT_AFTER;
        }
        self.reporting_count = self.peers.values().filter(|peer| !peer.is_silent).count();
        let fleet = self.fleet_size(now);
        let is_full = self.steps.is_multiple_of(FULL_REPORT_INTERVAL);
        self.steps = self.steps.wrapping_add(1);
        let mut report = Vec::new();
        for (id, limit) in &mut self.limits {
            let own = limit.demand(now);
            let share = share_by_demand(*id, limit.limit(), own, &mut self.peers, fleet);
            let has_new_requests =
                limit.update_fraction(share.fraction, share.fleet_demand, fleet, now);
            if has_new_requests || (is_full && own >= MIN_REPORTED_DEMAND) {
                let admitted = limit.admitted();
                report.push(LimitDemand { id: *id, per_second: own, admitted });
            }
        }
        self.peers.values_mut().for_each(|peer| peer.has_new_report = false);
        report
    }

    /// Admits or refuses one request.
    pub fn admit(&mut self, id: limit::LimitId, now: time::Timestamp) -> action::TicketOutcome {
        let fleet = self.fleet_size(now);
        let Some(limit) = self.limits.get_mut(&id) else {
            return action::TicketOutcome::Admitted { valid_until: time::Timestamp::NEVER };
        };
        match limit.admit(fleet, now) {
            Ok(()) => action::TicketOutcome::Admitted { valid_until: time::Timestamp::NEVER },
            Err(retry_after) => action::TicketOutcome::Refused { retry_after },
        }
    }

    /// Returns this instance's fraction of a limit.
    #[must_use]
    pub fn fraction(&self, id: limit::LimitId) -> Option<f64> {
        self.limits.get(&id).map(local::LocalLimit::fraction)
    }

    /// Returns the number of instances among which the limits are split.
    ///
    /// An instance that has just started, or knows no peer, also counts the platform's list.
    fn fleet_size(&self, now: time::Timestamp) -> local::FleetSize {
        let known = self.other_count.max(self.peers.len()) + 1;
        let is_new = now.since(self.started_at) < STARTUP_PERIOD;
        let uses_list = is_new || self.peers.is_empty();
        let instances = if uses_list {
            known.max(self.listed_count.unwrap_or(DEFAULT_FLEET_SIZE))
        } else {
            known
        };
        local::FleetSize { instances, reporting: (self.reporting_count + 1).min(instances) }
    }

    /// Drops the instances that have lost their fraction, unless they are the majority: then
    /// this instance may be the partitioned one.
    fn drop_expired(&mut self, now: time::Timestamp) {
        let retained = self.peers.values().filter(|peer| peer.has_fraction(now)).count();
        if retained * 2 >= self.peers.len() {
            self.peers.retain(|_, peer| peer.has_fraction(now));
        }
    }
}

/// This instance's fraction of a limit, and the demand by which it was computed.
struct DemandShare {
    fraction: f64,
    /// Requests per second at all instances.
    fleet_demand: f64,
}

/// Returns this instance's fraction of a limit, and records the fractions of the instances
/// whose reports arrive.
///
/// A silent instance may only be partitioned, so its last fraction is left to it.
fn share_by_demand(
    id: limit::LimitId,
    limit: team::RateLimit,
    own: f64,
    peers: &mut collections::BTreeMap<incarnation::Incarnation, PeerReport>,
    fleet: local::FleetSize,
) -> DemandShare {
    let (mut reported_demand, mut silent_fraction, mut silent_count) = (0.0, 0.0, 0);
    for peer in peers.values() {
        let limit = peer.limits.get(&id);
        if peer.is_silent {
            silent_count += 1;
            silent_fraction += limit.map_or(0.0, |limit| limit.fraction);
        } else {
            reported_demand += limit.map_or(0.0, |limit| limit.demand.per_second(peer.reported_at));
        }
    }
    let unknown_count = (fleet.instances - 1).saturating_sub(peers.len()) as f64;
    let min_demand = MIN_DEMAND_FRACTION * limit.rate / fleet.instances as f64;
    // Instances that never reported may have the same demand as this one.
    let total = own * (1.0 + unknown_count)
        + reported_demand
        + min_demand * (fleet.instances - silent_count) as f64;
    let fraction_of =
        |demand: f64| (demand + min_demand) / total * (1.0 - silent_fraction).max(0.0);
    for peer in peers.values_mut().filter(|peer| peer.has_new_report) {
        if let Some(limit) = peer.limits.get_mut(&id) {
            limit.fraction = fraction_of(limit.demand.per_second(peer.reported_at));
        }
    }
    // A silent instance may have as many requests as its fraction.
    let fleet_demand = own * (1.0 + unknown_count) + reported_demand + silent_fraction * limit.rate;
    DemandShare { fraction: fraction_of(own), fleet_demand }
}
