//! The token bucket of one share of a limit.
//!
//! Invariant: tokens held plus tokens granted and possibly not yet spent are at
//! most the share's part of the burst. Together with the bound on shares this
//! gives the bound on every window: a granted token that is on its way counts
//! against the burst until it can no longer be spent.

use std::collections;
use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::incarnation;
use marjoramwing_entity::time;
use marjoramwing_tables::team;

use crate::share;

/// Billionths of a token, so that sums are exact.
const NANOS: u64 = 1_000_000_000;
const MICROS_PER_SECOND: u128 = 1_000_000;

/// Tokens in billionths.
#[derives::value]
#[derive(Default)]
pub struct TokenNanos(pub u64);

/// A token bucket that runs at a share of a limit's rate and burst.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: u64,
    burst: u64,
    units: share::ShareUnits,
    tokens: u64,
    remainder: u128,
    filled_at: time::Timestamp,
    granted: collections::VecDeque<GrantedTokens>,
    granted_sum: u64,
}

/// Who was granted tokens, by which ask.
#[derives::value]
pub struct GrantRecipient {
    /// Run of the asker's process.
    pub asker: incarnation::Incarnation,
    /// Number of the ask.
    pub number: u64,
}

#[derive(Debug, Clone, Copy)]
struct GrantedTokens {
    tokens: u64,
    to: GrantRecipient,
    until: time::Timestamp,
}

impl TokenBucket {
    /// Makes a full bucket.
    #[must_use]
    pub fn full(limit: team::RateLimit, units: share::ShareUnits, now: time::Timestamp) -> Self {
        let mut bucket = Self::empty(limit, units, now);
        bucket.tokens = bucket.capacity();
        bucket
    }

    /// Makes an empty bucket.
    #[must_use]
    pub fn empty(limit: team::RateLimit, units: share::ShareUnits, now: time::Timestamp) -> Self {
        Self {
            rate: nanos_per_second(limit.rate),
            burst: u64::from(limit.burst) * NANOS,
            units,
            tokens: 0,
            remainder: 0,
            filled_at: now,
            granted: collections::VecDeque::new(),
            granted_sum: 0,
        }
    }

    /// Returns the share that the bucket runs at.
    #[must_use]
    pub const fn units(&self) -> share::ShareUnits {
        self.units
    }

    /// Changes rate and burst; no token is gained by it.
    pub fn set_limit(&mut self, limit: team::RateLimit, now: time::Timestamp) {
        self.fill(now);
        self.rate = nanos_per_second(limit.rate);
        self.burst = u64::from(limit.burst) * NANOS;
        self.clamp();
    }

    /// Takes whole tokens, if there are as many.
    pub fn take(&mut self, amount: u32, now: time::Timestamp) -> bool {
        self.fill(now);
        let wanted = u64::from(amount) * NANOS;
        if self.tokens < wanted {
            return false;
        }
        self.tokens -= wanted;
        true
    }

    /// Takes up to `amount` whole tokens that another instance spends by `until`.
    ///
    /// An instance has one ask open at a time: the next one tells that the
    /// tokens which it was granted before are spent or given up.
    pub fn grant(
        &mut self,
        amount: u32,
        to: GrantRecipient,
        until: time::Timestamp,
        now: time::Timestamp,
    ) -> u32 {
        self.release(to, now);
        let whole = u32::try_from(self.tokens / NANOS).unwrap_or(u32::MAX);
        let granted = whole.min(amount);
        if granted > 0 {
            let tokens = u64::from(granted) * NANOS;
            self.tokens -= tokens;
            self.granted.push_back(GrantedTokens { tokens, to, until });
            self.granted_sum += tokens;
        }
        granted
    }

    /// Forgets which granted tokens are on their way.
    ///
    /// For tests that show that the bound needs them.
    pub fn forget_granted(&mut self) {
        self.granted.clear();
        self.granted_sum = 0;
    }

    /// Moves a share and its part of the tokens out of the bucket.
    pub fn split(&mut self, units: share::ShareUnits, now: time::Timestamp) -> TokenNanos {
        self.fill(now);
        debug_assert!(units <= self.units, "a bucket gives at most its share");
        let moved = part(self.tokens, units, self.units);
        let moved = moved.min(units.part_of(self.burst));
        self.tokens -= moved;
        self.units = self.units.without(units);
        self.clamp();
        TokenNanos(moved)
    }

    /// Adds a share and tokens, which are at most the share's part of the burst.
    pub fn join(&mut self, units: share::ShareUnits, tokens: TokenNanos, now: time::Timestamp) {
        self.fill(now);
        self.units = self.units + units;
        self.tokens += tokens.0.min(units.part_of(self.burst));
        self.clamp();
    }

    /// Returns the largest share that can leave while granted tokens stay covered.
    #[must_use]
    pub fn movable(&self) -> share::ShareUnits {
        if self.burst == 0 {
            return share::ShareUnits::NONE;
        }
        let covered = (u128::from(self.granted_sum) << share::ShareUnits::DIGITS)
            .div_ceil(u128::from(self.burst));
        let covered = share::ShareUnits::new(u32::try_from(covered).unwrap_or(u32::MAX));
        self.units.without(covered)
    }

    /// Returns the time until the bucket holds `amount` tokens.
    #[must_use]
    pub fn time_until(&self, amount: u32) -> duration::Duration {
        let lacking = (u64::from(amount) * NANOS).saturating_sub(self.tokens);
        let rate = self.units.part_of(self.rate).max(1);
        let micros = u128::from(lacking) * MICROS_PER_SECOND / u128::from(rate) + 1;
        duration::Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Returns the tokens that the bucket holds when full.
    #[must_use]
    pub fn capacity_tokens(&self) -> u64 {
        self.capacity() / NANOS
    }

    fn capacity(&self) -> u64 {
        self.units.part_of(self.burst)
    }

    /// Opens the room of the tokens that were granted to earlier asks of a recipient.
    pub fn release(&mut self, to: GrantRecipient, now: time::Timestamp) {
        self.fill(now);
        let granted_sum = &mut self.granted_sum;
        self.granted.retain(|granted| {
            let is_over = granted.to.asker == to.asker && granted.to.number < to.number;
            *granted_sum -= if is_over { granted.tokens } else { 0 };
            !is_over
        });
    }

    fn fill(&mut self, now: time::Timestamp) {
        while let Some(oldest) = self.granted.front().copied() {
            if oldest.until >= now {
                break;
            }
            // The room of a granted token opens at that time, not before it.
            self.fill_to(oldest.until);
            self.granted.pop_front();
            self.granted_sum -= oldest.tokens;
        }
        self.fill_to(now);
    }

    fn fill_to(&mut self, now: time::Timestamp) {
        let elapsed = now.as_micros().saturating_sub(self.filled_at.as_micros());
        if elapsed == 0 {
            return;
        }
        self.filled_at = now;
        let scale = MICROS_PER_SECOND << share::ShareUnits::DIGITS;
        let per_micro = u128::from(self.rate) * u128::from(self.units.as_u32());
        let gained = per_micro * u128::from(elapsed) + self.remainder;
        self.remainder = gained % scale;
        let gained = u64::try_from(gained / scale).unwrap_or(u64::MAX);
        self.tokens = self.tokens.saturating_add(gained);
        self.clamp();
    }

    fn clamp(&mut self) {
        let room = self.capacity().saturating_sub(self.granted_sum);
        if self.tokens >= room {
            self.tokens = room;
            self.remainder = 0;
        }
    }
}

fn part(tokens: u64, units: share::ShareUnits, all: share::ShareUnits) -> u64 {
    if all == share::ShareUnits::NONE {
        return 0;
    }
    let moved = u128::from(tokens) * u128::from(units.as_u32()) / u128::from(all.as_u32());
    u64::try_from(moved).unwrap_or(u64::MAX)
}

fn nanos_per_second(rate: f64) -> u64 {
    (rate * NANOS as f64) as u64
}
