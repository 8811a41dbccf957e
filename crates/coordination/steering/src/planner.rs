//! Moves clients between regions under caps.
//!
//! Invariants of every plan, as far as the reports are right: a shift stays
//! under its cap, a region takes no more foreign traffic than its headroom
//! and its spare capacity, and what was moved but not yet measured counts as
//! moved. Where reports are wrong or callers use old answers, the arriving
//! side refuses what is over the caps; see docs/design/steering.md.

use std::time;

use marjoramwing_derives as derives;
use marjoramwing_entity::primary;
use marjoramwing_entity::secondary;
use marjoramwing_entity::time as entity_time;
use marjoramwing_tables::region;
use marjoramwing_tables::snapshot;

use crate::plan;

/// Part of a cap or headroom that plans use; the rest absorbs lag.
const CAP_MARGIN: f64 = 0.9;
/// Part of a region's capacity above which clients are moved away.
const HIGH_WATER: f64 = 0.85;
/// Part of a region's capacity below which clients are moved back.
const LOW_WATER: f64 = 0.70;
/// Largest share of a region's clients that one step moves.
const STEP_FRACTION: f64 = 0.05;
/// Largest share that one step moves out of a region without instances.
const EMERGENCY_STEP_FRACTION: f64 = 0.25;
/// Smallest share that is worth a change of the plan.
const MIN_STEP_FRACTION: f64 = 0.001;
/// Age above which a report is not used.
const MAX_REPORT_AGE: time::Duration = time::Duration::from_secs(10);

/// What a region measured of its traffic.
#[derives::measure]
pub struct RegionReport {
    /// Requests per second of the region's own clients, wherever served.
    pub offered: f64,
    /// Requests per second that the region can serve.
    pub capacity: f64,
    /// Time since the measurement when the report arrived.
    pub age: time::Duration,
}

/// What the planner is told.
#[derive(Debug)]
pub enum PlannerEvent<'a> {
    /// New tables are in force.
    TablesApplied(&'a snapshot::TableSnapshot),
    /// A region measured its traffic.
    Reported {
        /// Region that measured.
        region: region::RegionKey,
        /// What it measured.
        report: RegionReport,
    },
    /// The number of members that take requests in a region.
    Serving {
        /// Region of the members.
        region: region::RegionKey,
        /// Members that take new requests.
        members: usize,
    },
    /// It is time for a step.
    Tick,
}

/// Why a region's plan last changed or was held.
#[derives::value]
#[derive(Default, derive_more::Display, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanReason {
    /// The region serves its own clients.
    #[default]
    #[display("the region serves its own clients")]
    Steady,
    /// No member of the region takes requests.
    #[display("no instance of the region takes requests")]
    NoMember,
    /// The region is above its high-water mark.
    #[display("the region is above its high-water mark")]
    Overloaded,
    /// Clients move back.
    #[display("clients move back to their home region")]
    MovingBack,
    /// The last step has not been measured yet.
    #[display("held until the last step is measured")]
    AwaitingMeasurement,
    /// Reports are missing or too old.
    #[display("held since reports are missing or too old")]
    StaleReports,
    /// Every cap or headroom is reached.
    #[display("held since every cap or headroom is reached")]
    CapsReached,
}

#[derive(Debug, Clone, Copy, Default)]
struct RegionState {
    serving_members: usize,
    report: Option<TimedReport>,
    last_step: Option<entity_time::Timestamp>,
    reason: PlanReason,
}

#[derive(Debug, Clone, Copy)]
struct TimedReport {
    report: RegionReport,
    received: entity_time::Timestamp,
}

impl TimedReport {
    fn is_fresh(&self, now: entity_time::Timestamp) -> bool {
        self.report.age + now.since(self.received) <= MAX_REPORT_AGE
    }

    /// Tells whether the measurement was made after a point in time.
    fn covers(&self, point: entity_time::Timestamp) -> bool {
        self.received.since(point) > self.report.age
    }
}

/// A switch that tests use to show what a mechanism is for.
#[derives::value]
#[derive(Default)]
pub enum PlannerMechanism {
    /// All mechanisms work.
    #[default]
    All,
    /// Caps and headrooms are not kept.
    WithoutCaps,
    /// Steps are not held until the last one is measured.
    WithoutSettling,
    /// Old reports are used as if they were fresh.
    WithoutFreeze,
}

/// Plans the shares that regions serve for each other.
#[derive(Debug, Default)]
pub struct ShiftPlanner {
    mechanism: PlannerMechanism,
    regions: primary::PrimaryMap<region::RegionKey, region::Region>,
    shifts: Vec<region::ShiftCap>,
    settling: time::Duration,
    states: secondary::SecondaryMap<region::RegionKey, RegionState>,
    plan: plan::ShiftPlan,
}

impl ShiftPlanner {
    /// Makes a planner in which a mechanism is switched off, for tests.
    #[must_use]
    pub fn with_mechanism(mechanism: PlannerMechanism) -> Self {
        Self { mechanism, ..Self::default() }
    }

    /// Returns the plan in force.
    #[must_use]
    pub fn plan(&self) -> &plan::ShiftPlan {
        &self.plan
    }

    /// Returns why a region's plan last changed or was held.
    #[must_use]
    pub fn reason(&self, region: region::RegionKey) -> PlanReason {
        self.states[region].reason
    }

    /// Takes in an event; a tick may change the plan.
    pub fn handle(&mut self, event: &PlannerEvent<'_>, now: entity_time::Timestamp) {
        match event {
            PlannerEvent::TablesApplied(tables) => self.apply_tables(tables),
            PlannerEvent::Reported { region, report } => {
                self.states[*region].report = Some(TimedReport { report: *report, received: now });
            }
            PlannerEvent::Serving { region, members } => {
                self.states[*region].serving_members = *members;
                self.set_home_serves(*region, *members > 0);
            }
            PlannerEvent::Tick => {
                for region in self.regions.keys() {
                    self.step(region, now);
                }
            }
        }
    }

    fn apply_tables(&mut self, tables: &snapshot::TableSnapshot) {
        let same_regions = self.regions.len() == tables.regions.len()
            && self.regions.values().zip(tables.regions.values()).all(|(a, b)| a.name == b.name);
        if !same_regions {
            let serves = plan::RegionPlan { shifts: Vec::new(), home_serves: true };
            self.plan.regions = tables.regions.values().map(|_| serves.clone()).collect();
            self.states.clear();
        }
        self.regions = tables.regions.clone();
        self.shifts.clone_from(&tables.shifts);
        // An answer is used for its time to live, then shows in the next measurement.
        self.settling = tables.lookup_ttl;
    }

    fn set_home_serves(&mut self, region: region::RegionKey, serves: bool) {
        if let Some(plan) = self.plan.regions.get_mut(region) {
            plan.home_serves = serves;
        }
    }

    fn step(&mut self, home: region::RegionKey, now: entity_time::Timestamp) {
        let reason = match self.aim(home, now) {
            PlanAim::Hold(reason) => reason,
            PlanAim::Grow { to, step, reason } => self.grow(home, to, step, reason, now),
            PlanAim::Shrink { to } => self.shrink(home, to, now),
        };
        self.states[home].reason = reason;
    }

    /// Decides which share of a region's clients is to be served elsewhere.
    fn aim(&self, home: region::RegionKey, now: entity_time::Timestamp) -> PlanAim {
        let state = &self.states[home];
        let shifted = self.plan.regions[home].shifted().as_fraction();
        if state.serving_members == 0 {
            let (step, reason) = (EMERGENCY_STEP_FRACTION, PlanReason::NoMember);
            return PlanAim::Grow { to: 1.0, step, reason };
        }
        let Some(timed) = self.fresh_report(home, now) else {
            let steady = shifted == 0.0;
            return PlanAim::Hold(if steady {
                PlanReason::Steady
            } else {
                PlanReason::StaleReports
            });
        };
        let is_settled = state.last_step.is_none_or(|step| timed.covers(step + self.settling));
        if !is_settled && self.mechanism != PlannerMechanism::WithoutSettling {
            return PlanAim::Hold(PlanReason::AwaitingMeasurement);
        }
        let report = timed.report;
        let kept = report.offered * (1.0 - shifted);
        if kept > HIGH_WATER * report.capacity {
            let to = 1.0 - HIGH_WATER * report.capacity / report.offered;
            let (step, reason) = (STEP_FRACTION, PlanReason::Overloaded);
            return PlanAim::Grow { to, step, reason };
        }
        if shifted > 0.0 && kept < LOW_WATER * report.capacity {
            let to = 1.0 - LOW_WATER * report.capacity / report.offered.max(f64::MIN_POSITIVE);
            return PlanAim::Shrink { to: to.max(0.0) };
        }
        PlanAim::Hold(PlanReason::Steady)
    }

    fn fresh_report(
        &self,
        region: region::RegionKey,
        now: entity_time::Timestamp,
    ) -> Option<TimedReport> {
        let timed = self.states[region].report?;
        let usable = timed.is_fresh(now) || self.mechanism == PlannerMechanism::WithoutFreeze;
        usable.then_some(timed)
    }

    fn grow(
        &mut self,
        home: region::RegionKey,
        to: f64,
        step: f64,
        reason: PlanReason,
        now: entity_time::Timestamp,
    ) -> PlanReason {
        let shifted = self.plan.regions[home].shifted().as_fraction();
        let mut missing = (to - shifted).min(step);
        if missing < MIN_STEP_FRACTION {
            return reason;
        }
        let wanted = missing;
        for target in self.targets(home, now) {
            let share = self.plan.regions[home].shifted_to(target).as_fraction();
            let room = self.room(home, target, now).min(missing);
            if room >= MIN_STEP_FRACTION {
                let grown = plan::ClientShare::from_fraction(share + room);
                self.plan.regions[home].set_share(target, grown);
                missing -= room;
            }
        }
        if missing == wanted {
            return PlanReason::CapsReached;
        }
        self.states[home].last_step = Some(now);
        reason
    }

    fn shrink(
        &mut self,
        home: region::RegionKey,
        to: f64,
        now: entity_time::Timestamp,
    ) -> PlanReason {
        let plan = &mut self.plan.regions[home];
        let mut excess = (plan.shifted().as_fraction() - to).min(STEP_FRACTION);
        for shift in plan.shifts.iter_mut().rev() {
            let share = shift.share.as_fraction();
            let returned = share.min(excess);
            shift.share = plan::ClientShare::from_fraction(share - returned);
            excess -= returned;
        }
        self.states[home].last_step = Some(now);
        PlanReason::MovingBack
    }

    /// Returns the regions that could serve a region's clients, the roomiest first.
    fn targets(
        &self,
        home: region::RegionKey,
        now: entity_time::Timestamp,
    ) -> Vec<region::RegionKey> {
        let others = self.regions.keys().filter(|target| *target != home);
        let mut targets: Vec<_> =
            others.filter(|target| self.states[*target].serving_members > 0).collect();
        targets.sort_by(|left, right| {
            let rooms = [*left, *right].map(|target| self.room(home, target, now));
            rooms[1].total_cmp(&rooms[0])
        });
        targets
    }

    /// Returns by how much the share of `home` that `target` serves may grow.
    fn room(
        &self,
        home: region::RegionKey,
        target: region::RegionKey,
        now: entity_time::Timestamp,
    ) -> f64 {
        if self.mechanism == PlannerMechanism::WithoutCaps {
            return 1.0;
        }
        // Without any report only the arriving side can keep the caps.
        let Some(offered) = self.last_offered(home) else { return 1.0 };
        let offered = offered.max(f64::MIN_POSITIVE);
        let share = self.plan.regions[home].shifted_to(target).as_fraction();
        let cap = self.shifts.iter().find(|cap| cap.from == home && cap.to == target);
        let under_cap =
            cap.map_or(f64::INFINITY, |cap| cap.limit.rate * CAP_MARGIN - share * offered);
        let headroom = self.regions[target].headroom;
        let under_headroom = headroom
            .map_or(f64::INFINITY, |limit| limit.rate * CAP_MARGIN - self.foreign_rate(target));
        let spare = self.spare_capacity(home, target, now);
        let room = under_cap.min(under_headroom).min(spare) / offered;
        room.clamp(0.0, 1.0)
    }

    /// Returns the requests per second that a region can still take.
    fn spare_capacity(
        &self,
        home: region::RegionKey,
        target: region::RegionKey,
        now: entity_time::Timestamp,
    ) -> f64 {
        match self.fresh_report(target, now) {
            Some(timed) => {
                let kept = 1.0 - self.plan.regions[target].shifted().as_fraction();
                let own = timed.report.offered * kept;
                HIGH_WATER * timed.report.capacity - own - self.foreign_rate(target)
            }
            // The static caps still hold when clients have nowhere else to go.
            None if self.states[home].serving_members == 0 => f64::INFINITY,
            None => 0.0,
        }
    }

    /// Returns the planned requests per second of other regions' clients.
    fn foreign_rate(&self, target: region::RegionKey) -> f64 {
        let plans = self.plan.regions.iter();
        let rates = plans.map(|(home, plan)| {
            plan.shifted_to(target).as_fraction() * self.last_offered(home).unwrap_or(0.0)
        });
        rates.sum()
    }

    fn last_offered(&self, region: region::RegionKey) -> Option<f64> {
        self.states[region].report.map(|timed| timed.report.offered)
    }
}

/// What a step is to do.
#[derive(Debug)]
enum PlanAim {
    Hold(PlanReason),
    Grow { to: f64, step: f64, reason: PlanReason },
    Shrink { to: f64 },
}
