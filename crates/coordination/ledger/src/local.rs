//! One instance's fraction of a limit, and its estimate of the global bucket.
//!
//! Invariant: what all instances together admit within a window stays within the limit's
//! tolerance. The global bucket holds at most the burst; a reserve is kept in it for what
//! instances admit from their local buckets, and for the one request by which each may
//! exceed its allowance.

use std::mem;
use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::meter;
use marjoramwing_entity::time;
use marjoramwing_tables::team;

use crate::split;

/// Time constant of the demand average; a long one keeps the fractions from oscillating.
pub(crate) const DEMAND_DECAY: duration::Duration = duration::Duration::from_secs(2);
/// Tokens beyond the burst that the local buckets of all instances may hold in total.
const SPARE_TOKENS: f64 = 10.0;
/// Maximum retry time of a refusal.
const MAX_RETRY: duration::Duration = duration::Duration::from_millis(500);
/// Fraction of a limit's tolerance that is used; the rest absorbs delayed reports.
const USED_TOLERANCE: f64 = 0.7;
/// Fraction of the surplus in the global bucket that may be taken until the next step,
/// since what other instances took during the last step is not reported yet.
const ALLOWANCE_FRACTION: f64 = 0.5;
/// Time for which an instance does not know what the others admit: a report period and the
/// delay of the report, in seconds.
const UNREPORTED_SECONDS: f64 = 0.3;
/// Factor by which a team's requests may increase before reports tell of it.
const SURGE_FACTOR: f64 = 8.0;
/// Fraction of the burst that the local buckets hold while the global bucket is in use.
const LOCAL_BURST_FRACTION: f64 = 0.3;

/// Number of instances, in total and reporting.
#[derives::value]
pub(crate) struct FleetSize {
    /// Number of instances among which a limit is split.
    pub(crate) instances: usize,
    /// Number of instances whose reports arrive, this instance included.
    pub(crate) reporting: usize,
}

impl FleetSize {
    fn reporting_fraction(self) -> f64 {
        self.reporting as f64 / self.instances as f64
    }
}

/// The state of one limit at this instance.
#[derive(Debug)]
pub(crate) struct LocalLimit {
    limit: team::RateLimit,
    tolerance: split::LimitTolerance,
    demand: meter::RateMeter,
    /// Requests per second at all instances, as last reported.
    fleet_demand: f64,
    /// Fraction of the limit that this instance may spend.
    fraction: f64,
    /// Fraction by the latest reports; an increase takes effect one step later, when the
    /// other instances have had time to report too.
    next_fraction: f64,
    /// Tokens in the local bucket.
    local_tokens: f64,
    /// Estimate of the tokens in the global bucket of all instances.
    global_tokens: f64,
    /// Tokens that this instance may take from the global bucket until the next step.
    allowance: f64,
    refilled_at: time::Timestamp,
    admitted: u64,
    has_new_requests: bool,
}

impl LocalLimit {
    /// Creates a limit with a single local token and an empty global bucket.
    pub(crate) fn new(
        limit: team::RateLimit,
        tolerance: split::LimitTolerance,
        fleet: FleetSize,
        now: time::Timestamp,
    ) -> Self {
        Self {
            limit,
            tolerance,
            demand: meter::RateMeter::new(DEMAND_DECAY),
            fleet_demand: f64::INFINITY,
            fraction: 1.0 / fleet.instances as f64,
            next_fraction: 1.0 / fleet.instances as f64,
            local_tokens: 1.0,
            global_tokens: 0.0,
            allowance: 0.0,
            refilled_at: now,
            admitted: 0,
            has_new_requests: false,
        }
    }

    /// Replaces the limit; tokens above the new capacity are dropped.
    pub(crate) fn set_limit(
        &mut self,
        limit: team::RateLimit,
        fleet: FleetSize,
        now: time::Timestamp,
    ) {
        self.refill(fleet, now);
        self.limit = limit;
        self.local_tokens = self.local_tokens.min(self.local_capacity(fleet));
        self.global_tokens = self.global_tokens.min(self.global_capacity(fleet));
        self.allowance = 0.0;
    }

    /// Returns the current rate and burst.
    pub(crate) const fn limit(&self) -> team::RateLimit {
        self.limit
    }

    /// Returns the requests per second at this instance, refused ones included.
    pub(crate) fn demand(&self, now: time::Timestamp) -> f64 {
        self.demand.per_second(now)
    }

    /// Returns the total number of admitted requests.
    pub(crate) const fn admitted(&self) -> u64 {
        self.admitted
    }

    /// Returns this instance's fraction of the limit.
    pub(crate) const fn fraction(&self) -> f64 {
        self.fraction
    }

    /// Deducts from the global bucket what another instance admitted.
    pub(crate) fn deduct_admitted(
        &mut self,
        admitted: u64,
        fleet: FleetSize,
        now: time::Timestamp,
    ) {
        self.refill(fleet, now);
        // A larger debt would last longer than the excess that it accounts for.
        let min = -f64::from(self.limit.burst);
        self.global_tokens = (self.global_tokens - admitted as f64).max(min);
    }

    /// Sets the fraction and the allowance until the next step; returns true if any request
    /// arrived since the last step.
    ///
    /// `fleet_demand` is the number of requests per second at all instances.
    pub(crate) fn update_fraction(
        &mut self,
        fraction: f64,
        fleet_demand: f64,
        fleet: FleetSize,
        now: time::Timestamp,
    ) -> bool {
        self.refill(fleet, now);
        self.fleet_demand = fleet_demand;
        self.fraction = fraction.min(self.next_fraction);
        self.next_fraction = fraction;
        let surplus = self.global_tokens - self.reserve(fleet);
        // Requests are indivisible, so even a small fraction allows a whole one.
        let min = match surplus {
            surplus if surplus < 1.0 => 0.0,
            surplus if surplus < f64::from(self.limit.burst) / 2.0 => 1.0,
            _ => 2.0,
        };
        self.allowance = (surplus * self.fraction * ALLOWANCE_FRACTION).max(min);
        mem::take(&mut self.has_new_requests)
    }

    /// Admits a request, or returns the time after which to retry.
    pub(crate) fn admit(
        &mut self,
        fleet: FleetSize,
        now: time::Timestamp,
    ) -> Result<(), duration::Duration> {
        self.has_new_requests = true;
        self.demand.add(1, now);
        self.refill(fleet, now);
        if self.allowance >= 1.0 {
            self.allowance -= 1.0;
            // Also uses up a local token, which could otherwise be spent on top of the allowance.
            self.local_tokens = (self.local_tokens - 1.0).max(0.0);
        } else if self.local_tokens >= 1.0 && !self.is_overdrawn(fleet) {
            self.local_tokens -= 1.0;
        } else {
            return Err(self.time_to_token(fleet));
        }
        self.global_tokens -= 1.0;
        self.admitted += 1;
        Ok(())
    }

    /// Returns true if the instances have together admitted so much that local buckets must
    /// wait as well.
    ///
    /// They do so only if there are so many instances that one token at each is more than the
    /// local buckets may hold. Without the reports of most instances the estimate says too little.
    fn is_overdrawn(&self, fleet: FleetSize) -> bool {
        let local_tokens = LOCAL_BURST_FRACTION * f64::from(self.limit.burst) + SPARE_TOKENS;
        fleet.instances as f64 > local_tokens
            && fleet.reporting * 2 > fleet.instances
            && self.global_tokens < -self.max_debt()
    }

    /// Returns the tokens by which the global bucket may be overdrawn.
    fn max_debt(&self) -> f64 {
        (1.0 - USED_TOLERANCE) * self.tolerated()
    }

    /// Returns the number of requests by which a window may exceed the limit.
    fn tolerated(&self) -> f64 {
        let window = self.tolerance.window.as_secs_f64();
        let allowed = self.limit.rate * window + f64::from(self.limit.burst);
        allowed * self.tolerance.overage + self.tolerance.slack
    }

    /// Returns the tokens kept in the global bucket for admissions that exceed the allowances.
    fn reserve(&self, fleet: FleetSize) -> f64 {
        let burst = f64::from(self.limit.burst);
        // Each instance may admit one excess request, if one arrives there before reports tell
        // of the others, or what its local bucket holds.
        let unreported = self.fleet_demand * UNREPORTED_SECONDS * SURGE_FACTOR;
        let excess = unreported.min(fleet.instances as f64);
        let excess = excess.max(LOCAL_BURST_FRACTION * burst + SPARE_TOKENS);
        (excess - USED_TOLERANCE * self.tolerated()).clamp(0.0, burst)
    }

    fn local_capacity(&self, fleet: FleetSize) -> f64 {
        let burst = f64::from(self.limit.burst);
        let uses_global = self.reserve(fleet) < burst;
        let local_burst = if uses_global { burst * LOCAL_BURST_FRACTION } else { burst };
        let spare = SPARE_TOKENS / fleet.instances as f64;
        (local_burst * self.fraction + spare).max(1.0)
    }

    fn global_capacity(&self, fleet: FleetSize) -> f64 {
        f64::from(self.limit.burst) * fleet.reporting_fraction()
    }

    fn refill(&mut self, fleet: FleetSize, now: time::Timestamp) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let gained = elapsed * self.limit.rate;
        self.local_tokens =
            (self.local_tokens + gained * self.fraction).min(self.local_capacity(fleet));
        // Admissions of silent instances are unknown, so their fraction of the refill is
        // left to them.
        let global_tokens = self.global_tokens + gained * fleet.reporting_fraction();
        self.global_tokens = global_tokens.min(self.global_capacity(fleet));
    }

    fn time_to_token(&self, fleet: FleetSize) -> duration::Duration {
        let local_rate = (self.limit.rate * self.fraction).max(f64::MIN_POSITIVE);
        let until_local = (1.0 - self.local_tokens) / local_rate;
        let until_global = match self.is_overdrawn(fleet) {
            true => (-self.max_debt() - self.global_tokens) / self.limit.rate,
            false => 0.0,
        };
        let seconds = until_local.max(until_global);
        duration::Duration::from_secs_f64(seconds.clamp(0.0, MAX_RETRY.as_secs_f64()))
    }
}
