//! Adjusts the shares of clients that regions serve for each other.
//!
//! Invariants of every step that grows a share, provided that the reports are
//! correct: a shift stays below its cap, a region serves no more clients of
//! other regions than its headroom and its spare capacity allow, and traffic
//! that was moved but not yet measured counts as moved. If reports are missing
//! or wrong, or callers use outdated lookup answers, the receiving region
//! refuses traffic above the caps; see docs/design/steering.md.

use std::time;

use marjoramwing_derives as derives;
use marjoramwing_entity::primary;
use marjoramwing_entity::secondary;
use marjoramwing_entity::time as entity_time;
use marjoramwing_tables::region;
use marjoramwing_tables::snapshot;

use crate::plan;

/// Fraction of a cap or headroom that plans use; the rest absorbs measurement lag.
const CAP_MARGIN: f64 = 0.9;
/// Fraction of a region's capacity above which clients are moved away.
const HIGH_WATER: f64 = 0.85;
/// Fraction of a region's capacity below which clients are moved back.
const LOW_WATER: f64 = 0.70;
/// Maximum fraction of a region's clients that one step moves.
const STEP_FRACTION: f64 = 0.05;
/// Maximum fraction of a region's clients that one step moves if the region has no serving
/// members; such steps do not wait until the last one has been measured.
const EMERGENCY_STEP_FRACTION: f64 = 0.25;
/// Minimum fraction by which a share grows; smaller increases are skipped.
const MIN_STEP_FRACTION: f64 = 0.001;
/// Age above which a report counts as stale.
const MAX_REPORT_AGE: time::Duration = time::Duration::from_secs(10);

/// Traffic measurement of one region.
#[derives::measure]
pub struct RegionReport {
    /// Requests per second of the region's own clients, in whichever region they are served.
    pub offered: f64,
    /// Requests per second that the region can serve.
    pub capacity: f64,
    /// Age of the measurement when the report arrived.
    pub age: time::Duration,
}

/// Input of the planner.
#[derive(Debug)]
pub enum PlannerEvent<'a> {
    /// New configuration tables apply.
    TablesApplied(&'a snapshot::TableSnapshot),
    /// A region's traffic measurement arrived.
    Reported {
        /// Region that was measured.
        region: region::RegionKey,
        /// Measurement of the region.
        report: RegionReport,
    },
    /// The number of serving members of a region was determined.
    Serving {
        /// Region of the members.
        region: region::RegionKey,
        /// Number of members that accept new requests.
        members: usize,
    },
    /// Each region's plan may take its next step.
    Tick,
}

/// Why a region's plan last changed or was held.
#[derives::value]
#[derive(Default, derive_more::Display, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanReason {
    /// No change is needed: the region serves its own clients, or its load is between the
    /// low-water and the high-water mark.
    #[default]
    #[display("the region serves its own clients")]
    Steady,
    /// No member of the region accepts requests.
    #[display("no instance of the region takes requests")]
    NoMember,
    /// The region is above its high-water mark.
    #[display("the region is above its high-water mark")]
    Overloaded,
    /// Clients are moved back to the region.
    #[display("clients move back to their home region")]
    MovingBack,
    /// The last step has not been measured yet.
    #[display("held until the last step is measured")]
    AwaitingMeasurement,
    /// Other regions serve some of the clients, and the region's report is missing or too old.
    #[display("held since reports are missing or too old")]
    StaleReports,
    /// No other region may serve more clients: each has reached a cap or its headroom, has no
    /// known spare capacity or has no serving members.
    #[display("held since every cap or headroom is reached")]
    CapsReached,
}

#[derive(Debug, Clone, Copy, Default)]
struct RegionState {
    /// 0 until the first [`PlannerEvent::Serving`].
    serving_members: usize,
    report: Option<TimedReport>,
    /// Time of the last change by a step; `None` before the first.
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

    /// Returns true if the measurement was made after a point in time.
    fn covers(&self, point: entity_time::Timestamp) -> bool {
        self.received.since(point) > self.report.age
    }
}

/// Selects a mechanism to disable, so that tests can show its effect.
#[derives::value]
#[derive(Default)]
pub enum PlannerMechanism {
    /// All mechanisms are enabled.
    #[default]
    All,
    /// Caps, headrooms and spare capacities are not enforced.
    WithoutCaps,
    /// Steps do not wait until the last one has been measured.
    WithoutSettling,
    /// Outdated reports are used as if they were fresh.
    WithoutStaleCheck,
}

/// Plans which shares of their clients regions serve for each other.
#[derive(Debug, Default)]
pub struct ShiftPlanner {
    mechanism: PlannerMechanism,
    regions: primary::PrimaryMap<region::RegionKey, region::Region>,
    shifts: Vec<region::ShiftCap>,
    settling_time: time::Duration,
    states: secondary::SecondaryMap<region::RegionKey, RegionState>,
    plan: plan::ShiftPlan,
}

impl ShiftPlanner {
    /// Creates a planner with one mechanism disabled, for tests.
    #[must_use]
    pub fn with_mechanism(mechanism: PlannerMechanism) -> Self {
        Self { mechanism, ..Self::default() }
    }

    /// Returns the current plan.
    #[must_use]
    pub fn plan(&self) -> &plan::ShiftPlan {
        &self.plan
    }

    /// Returns why a region's plan last changed or was held.
    #[must_use]
    pub fn reason(&self, region: region::RegionKey) -> PlanReason {
        self.states[region].reason
    }

    /// Handles an event; tables, serving members and ticks may change the plan.
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
        // Region keys are positions in the list of regions, so another list invalidates them.
        if !same_regions {
            let initial_plan = plan::RegionPlan { shifts: Vec::new(), home_serves: true };
            self.plan.regions = tables.regions.values().map(|_| initial_plan.clone()).collect();
            self.states.clear();
        }
        self.regions = tables.regions.clone();
        self.shifts.clone_from(&tables.shifts);
        // Callers may use a lookup answer for its whole TTL, so a step is fully visible only
        // in measurements made after that.
        self.settling_time = tables.lookup_ttl;
    }

    fn set_home_serves(&mut self, region: region::RegionKey, serves: bool) {
        if let Some(plan) = self.plan.regions.get_mut(region) {
            plan.home_serves = serves;
        }
    }

    fn step(&mut self, home: region::RegionKey, now: entity_time::Timestamp) {
        let reason = match self.decide_step(home, now) {
            StepDecision::Hold(reason) => reason,
            StepDecision::Grow { goal, max_step, reason } => {
                self.grow(home, goal, max_step, reason, now)
            }
            StepDecision::Shrink { goal } => self.shrink(home, goal, now),
        };
        self.states[home].reason = reason;
    }

    /// Decides how the share of a region's clients that other regions serve changes.
    fn decide_step(&self, home: region::RegionKey, now: entity_time::Timestamp) -> StepDecision {
        let state = &self.states[home];
        let shifted = self.plan.regions[home].shifted().as_fraction();
        if state.serving_members == 0 {
            let (max_step, reason) = (EMERGENCY_STEP_FRACTION, PlanReason::NoMember);
            return StepDecision::Grow { goal: 1.0, max_step, reason };
        }
        let Some(timed) = self.fresh_report(home, now) else {
            let steady = shifted == 0.0;
            return StepDecision::Hold(if steady {
                PlanReason::Steady
            } else {
                PlanReason::StaleReports
            });
        };
        let is_settled = state.last_step.is_none_or(|step| timed.covers(step + self.settling_time));
        if !is_settled && self.mechanism != PlannerMechanism::WithoutSettling {
            return StepDecision::Hold(PlanReason::AwaitingMeasurement);
        }
        let report = timed.report;
        let kept_rate = report.offered * (1.0 - shifted);
        if kept_rate > HIGH_WATER * report.capacity {
            let goal = 1.0 - HIGH_WATER * report.capacity / report.offered;
            let (max_step, reason) = (STEP_FRACTION, PlanReason::Overloaded);
            return StepDecision::Grow { goal, max_step, reason };
        }
        if shifted > 0.0 && kept_rate < LOW_WATER * report.capacity {
            let goal = 1.0 - LOW_WATER * report.capacity / report.offered.max(f64::MIN_POSITIVE);
            return StepDecision::Shrink { goal: goal.max(0.0) };
        }
        StepDecision::Hold(PlanReason::Steady)
    }

    fn fresh_report(
        &self,
        region: region::RegionKey,
        now: entity_time::Timestamp,
    ) -> Option<TimedReport> {
        let timed = self.states[region].report?;
        let usable = timed.is_fresh(now) || self.mechanism == PlannerMechanism::WithoutStaleCheck;
        usable.then_some(timed)
    }

    /// Grows the shares that other regions serve towards the total share `goal`.
    fn grow(
        &mut self,
        home: region::RegionKey,
        goal: f64,
        max_step: f64,
        reason: PlanReason,
        now: entity_time::Timestamp,
    ) -> PlanReason {
        let shifted = self.plan.regions[home].shifted().as_fraction();
        let mut remaining = (goal - shifted).min(max_step);
        if remaining < MIN_STEP_FRACTION {
            return reason;
        }
        let wanted = remaining;
        for target in self.targets(home, now) {
            let share = self.plan.regions[home].shifted_to(target).as_fraction();
            let growth = self.available_share(home, target, now).min(remaining);
            if growth >= MIN_STEP_FRACTION {
                let grown = plan::ClientShare::from_fraction(share + growth);
                self.plan.regions[home].set_share(target, grown);
                remaining -= growth;
            }
        }
        if remaining == wanted {
            return PlanReason::CapsReached;
        }
        self.states[home].last_step = Some(now);
        reason
    }

    /// Shrinks the shares that other regions serve towards the total share `goal`.
    fn shrink(
        &mut self,
        home: region::RegionKey,
        goal: f64,
        now: entity_time::Timestamp,
    ) -> PlanReason {
        let plan = &mut self.plan.regions[home];
        let mut excess = (plan.shifted().as_fraction() - goal).min(STEP_FRACTION);
        // The ranges of the shifts before a shrinking one stay as they are.
        for shift in plan.shifts.iter_mut().rev() {
            let share = shift.share.as_fraction();
            let returned = share.min(excess);
            shift.share = plan::ClientShare::from_fraction(share - returned);
            excess -= returned;
        }
        self.states[home].last_step = Some(now);
        PlanReason::MovingBack
    }

    /// Returns the regions that can serve a region's clients, by available share in
    /// descending order.
    fn targets(
        &self,
        home: region::RegionKey,
        now: entity_time::Timestamp,
    ) -> Vec<region::RegionKey> {
        let others = self.regions.keys().filter(|target| *target != home);
        let mut targets: Vec<_> =
            others.filter(|target| self.states[*target].serving_members > 0).collect();
        targets.sort_by(|left, right| {
            let shares = [*left, *right].map(|target| self.available_share(home, target, now));
            shares[1].total_cmp(&shares[0])
        });
        targets
    }

    /// Returns by how much the share of `home`'s clients that `target` serves may grow.
    ///
    /// A cap or headroom that is not configured is no limit.
    fn available_share(
        &self,
        home: region::RegionKey,
        target: region::RegionKey,
        now: entity_time::Timestamp,
    ) -> f64 {
        if self.mechanism == PlannerMechanism::WithoutCaps {
            return 1.0;
        }
        // Without any report the rate is unknown, and only the receiving region can enforce
        // the caps.
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
        let available = under_cap.min(under_headroom).min(spare) / offered;
        available.clamp(0.0, 1.0)
    }

    /// Returns the additional requests per second that a region can serve.
    fn spare_capacity(
        &self,
        home: region::RegionKey,
        target: region::RegionKey,
        now: entity_time::Timestamp,
    ) -> f64 {
        match self.fresh_report(target, now) {
            Some(timed) => {
                let kept_share = 1.0 - self.plan.regions[target].shifted().as_fraction();
                let own_rate = timed.report.offered * kept_share;
                HIGH_WATER * timed.report.capacity - own_rate - self.foreign_rate(target)
            }
            // Clients of a region without serving members have no other choice; the configured
            // caps and headrooms still apply to them.
            None if self.states[home].serving_members == 0 => f64::INFINITY,
            None => 0.0,
        }
    }

    /// Returns the planned requests per second from other regions' clients.
    fn foreign_rate(&self, target: region::RegionKey) -> f64 {
        let plans = self.plan.regions.iter();
        let rates = plans.map(|(home, plan)| {
            plan.shifted_to(target).as_fraction() * self.last_offered(home).unwrap_or(0.0)
        });
        rates.sum()
    }

    /// Returns the offered rate of a region's last report, even a stale one.
    fn last_offered(&self, region: region::RegionKey) -> Option<f64> {
        self.states[region].report.map(|timed| timed.report.offered)
    }
}

/// Change that a step makes to the share that other regions serve.
#[derive(Debug)]
enum StepDecision {
    Hold(PlanReason),
    /// `goal` is the total share of the region's clients that other regions should serve.
    Grow {
        goal: f64,
        max_step: f64,
        reason: PlanReason,
    },
    /// `goal` is as in `Grow`.
    Shrink {
        goal: f64,
    },
}
