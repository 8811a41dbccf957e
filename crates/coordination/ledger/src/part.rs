//! One instance's part of a limit, and its copy of the common bucket.
//!
//! Invariant: what all instances together admit within a window stays within
//! the limit's tolerance. The common bucket holds at most the burst; a reserve
//! is kept in it for what instances admit from their own parts, and for the one
//! request by which each may pass its allowance.

use std::mem;
use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::time;
use marjoramwing_tables::team;

use crate::demand;
use crate::split;

/// Time over which demand is averaged, so that parts follow it calmly.
pub(crate) const DEMAND_DECAY: duration::Duration = duration::Duration::from_secs(2);
/// Tokens beyond the burst that all instances together may hold.
const SPARE_TOKENS: f64 = 10.0;
/// Longest time that a refused request is told to wait.
const MAX_RETRY: duration::Duration = duration::Duration::from_millis(500);
/// Part of a limit's tolerance that is counted on; the rest covers late reports.
const TOLERANCE_PART: f64 = 0.7;
/// Part of the common tokens that may be taken until the next step, since what
/// others took in the last one is not heard of yet.
const ALLOWED_PART: f64 = 0.5;
/// Part of the burst that the own parts hold while the common bucket is in use.
const OWN_BURST_PART: f64 = 0.3;

/// How many instances there are.
#[derives::value]
pub(crate) struct FleetShape {
    /// Instances among which a limit is split.
    pub(crate) instances: usize,
    /// Those of them whose reports arrive, this one included.
    pub(crate) heard: usize,
}

impl FleetShape {
    fn heard_part(self) -> f64 {
        self.heard as f64 / self.instances as f64
    }
}

/// One limit as an instance spends it.
#[derive(Debug)]
pub(crate) struct LimitPart {
    limit: team::RateLimit,
    tolerance: split::LimitTolerance,
    demand: demand::DemandMeter,
    /// Part of the limit that this instance may spend.
    part: f64,
    /// Part by the last reports, which counts once others had time to report too.
    next_part: f64,
    /// Tokens of that part.
    tokens: f64,
    /// Tokens of all instances together, as far as is known.
    common: f64,
    /// What this instance may take from the common tokens until the next step.
    allowance: f64,
    filled_at: time::Timestamp,
    admitted: u64,
    was_asked: bool,
}

impl LimitPart {
    /// Makes a limit of which next to nothing may be spent yet.
    pub(crate) fn new(
        limit: team::RateLimit,
        tolerance: split::LimitTolerance,
        fleet: FleetShape,
        now: time::Timestamp,
    ) -> Self {
        Self {
            limit,
            tolerance,
            demand: demand::DemandMeter::new(DEMAND_DECAY),
            part: 1.0 / fleet.instances as f64,
            next_part: 1.0 / fleet.instances as f64,
            tokens: 1.0,
            common: 0.0,
            allowance: 0.0,
            filled_at: now,
            admitted: 0,
            was_asked: false,
        }
    }

    /// Puts another limit in force.
    pub(crate) fn set_limit(
        &mut self,
        limit: team::RateLimit,
        fleet: FleetShape,
        now: time::Timestamp,
    ) {
        self.fill(fleet, now);
        self.limit = limit;
        self.tokens = self.tokens.min(self.capacity(fleet));
        self.common = self.common.min(self.common_capacity(fleet));
        self.allowance = 0.0;
    }

    /// Returns the limit in force.
    pub(crate) const fn limit(&self) -> team::RateLimit {
        self.limit
    }

    /// Returns the requests per second that ask here.
    pub(crate) fn demand(&self, now: time::Timestamp) -> f64 {
        self.demand.per_second(now)
    }

    /// Returns the requests admitted so far.
    pub(crate) const fn admitted(&self) -> u64 {
        self.admitted
    }

    /// Returns this instance's part.
    pub(crate) const fn part(&self) -> f64 {
        self.part
    }

    /// Takes what other instances admitted from the common tokens.
    pub(crate) fn note_admitted(&mut self, admitted: u64, fleet: FleetShape, now: time::Timestamp) {
        self.fill(fleet, now);
        // A debt beyond the burst would outlast what it stands for.
        let least = -f64::from(self.limit.burst);
        self.common = (self.common - admitted as f64).max(least);
    }

    /// Sets the part and what may be taken until the next step; tells whether any
    /// request asked since the last.
    pub(crate) fn divide(&mut self, part: f64, fleet: FleetShape, now: time::Timestamp) -> bool {
        self.fill(fleet, now);
        self.part = part.min(self.next_part);
        self.next_part = part;
        let surplus = self.common - self.reserve(fleet);
        // A request is whole, however small the part.
        let least = match surplus {
            surplus if surplus < 1.0 => 0.0,
            surplus if surplus < f64::from(self.limit.burst) / 2.0 => 1.0,
            _ => 2.0,
        };
        self.allowance = (surplus * self.part * ALLOWED_PART).max(least);
        mem::take(&mut self.was_asked)
    }

    /// Admits a request, or tells when it may come again.
    pub(crate) fn admit(
        &mut self,
        fleet: FleetShape,
        now: time::Timestamp,
    ) -> Result<(), duration::Duration> {
        self.was_asked = true;
        self.demand.add(1, now);
        self.fill(fleet, now);
        if self.allowance >= 1.0 {
            self.allowance -= 1.0;
            // A token kept beside the allowance would be spent on top of it.
            self.tokens = (self.tokens - 1.0).max(0.0);
        } else if self.tokens >= 1.0 {
            self.tokens -= 1.0;
        } else {
            return Err(self.time_to_token());
        }
        self.common -= 1.0;
        self.admitted += 1;
        Ok(())
    }

    /// Returns the common tokens that are kept for what passes the allowances.
    fn reserve(&self, fleet: FleetShape) -> f64 {
        let (rate, burst) = (self.limit.rate, f64::from(self.limit.burst));
        let allowed = rate * self.tolerance.window.as_secs_f64() + burst;
        let tolerated = allowed * self.tolerance.overage + self.tolerance.slack;
        // Each instance may admit one request that is too many, or what it holds.
        let beyond = (fleet.instances as f64).max(OWN_BURST_PART * burst + SPARE_TOKENS);
        (beyond - TOLERANCE_PART * tolerated).clamp(0.0, burst)
    }

    fn capacity(&self, fleet: FleetShape) -> f64 {
        let burst = f64::from(self.limit.burst);
        let uses_common = self.reserve(fleet) < burst;
        let own_burst = if uses_common { burst * OWN_BURST_PART } else { burst };
        let spare = SPARE_TOKENS / fleet.instances as f64;
        (own_burst * self.part + spare).max(1.0)
    }

    fn common_capacity(&self, fleet: FleetShape) -> f64 {
        f64::from(self.limit.burst) * fleet.heard_part()
    }

    fn fill(&mut self, fleet: FleetShape, now: time::Timestamp) {
        let elapsed = now.since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        let gained = elapsed * self.limit.rate;
        self.tokens = (self.tokens + gained * self.part).min(self.capacity(fleet));
        // What silent instances admit is not known, so their part is left to them.
        let common = self.common + gained * fleet.heard_part();
        self.common = common.min(self.common_capacity(fleet));
    }

    fn time_to_token(&self) -> duration::Duration {
        let rate = (self.limit.rate * self.part).max(f64::MIN_POSITIVE);
        let seconds = (1.0 - self.tokens) / rate;
        duration::Duration::from_secs_f64(seconds.min(MAX_RETRY.as_secs_f64()))
    }
}
