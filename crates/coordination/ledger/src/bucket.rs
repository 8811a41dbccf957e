//! A token bucket for a share of a limit.
//!
//! Invariant: the tokens held plus the tokens granted and possibly not yet spent are at
//! most the bucket's share of the burst. Together with the bound on the sum of shares, this
//! bounds every window: a granted token in transit counts against the burst until it can no
//! longer be spent.

use std::collections;
use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::incarnation;
use marjoramwing_entity::time;
use marjoramwing_tables::team;

use crate::share;

/// Billionths in one token; amounts are integers so that sums are exact.
const NANOS: u64 = 1_000_000_000;
const MICROS_PER_SECOND: u128 = 1_000_000;

/// An amount of tokens, in billionths of a token.
#[derives::value]
#[derive(Default)]
pub struct TokenNanos(pub u64);

/// A token bucket that refills at a share of a limit's rate, up to the same share of its burst.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: u64,
    burst: u64,
    units: share::ShareUnits,
    tokens: u64,
    /// Part of the refill that is less than a billionth of a token, carried to the next one.
    remainder: u128,
    filled_at: time::Timestamp,
    /// Tokens granted and possibly not yet spent, oldest first.
    granted: collections::VecDeque<GrantedTokens>,
    granted_sum: u64,
}

/// The requester of granted tokens, and the token request that they were granted to.
#[derives::value]
pub struct GrantRecipient {
    /// Incarnation of the requester.
    pub requester: incarnation::Incarnation,
    /// Number of the token request.
    pub number: u64,
}

#[derive(Debug, Clone, Copy)]
struct GrantedTokens {
    tokens: u64,
    to: GrantRecipient,
    until: time::Timestamp,
}

impl TokenBucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn full(limit: team::RateLimit, units: share::ShareUnits, now: time::Timestamp) -> Self {
        let mut bucket = Self::empty(limit, units, now);
        bucket.tokens = bucket.capacity();
        bucket
    }

    /// Creates an empty bucket.
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

    /// Returns the bucket's share of the limit.
    #[must_use]
    pub const fn units(&self) -> share::ShareUnits {
        self.units
    }

    /// Changes rate and burst without adding tokens.
    pub fn set_limit(&mut self, limit: team::RateLimit, now: time::Timestamp) {
        self.fill(now);
        self.rate = nanos_per_second(limit.rate);
        self.burst = u64::from(limit.burst) * NANOS;
        self.clamp();
    }

    /// Takes `amount` whole tokens if available; returns false and takes none otherwise.
    pub fn take(&mut self, amount: u32, now: time::Timestamp) -> bool {
        self.fill(now);
        let wanted = u64::from(amount) * NANOS;
        if self.tokens < wanted {
            return false;
        }
        self.tokens -= wanted;
        true
    }

    /// Takes up to `amount` whole tokens for another instance, which spends them by `until`.
    ///
    /// An instance has one open token request per limit at a time: a new one implies that the
    /// tokens granted to the earlier ones are spent or discarded.
    pub fn grant(
        &mut self,
        amount: u32,
        to: GrantRecipient,
        until: time::Timestamp,
        now: time::Timestamp,
    ) -> u32 {
        self.release_grants(to, now);
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

    /// Drops the record of granted tokens.
    ///
    /// Only for tests that show that the bound depends on it.
    pub fn clear_grants(&mut self) {
        self.granted.clear();
        self.granted_sum = 0;
    }

    /// Removes a share from the bucket, along with a proportional part of the tokens.
    pub fn remove_share(&mut self, units: share::ShareUnits, now: time::Timestamp) -> TokenNanos {
        self.fill(now);
        debug_assert!(units <= self.units, "removed share exceeds the bucket's share");
        let removed = proportional_part(self.tokens, units, self.units);
        let removed = removed.min(units.scale(self.burst));
        self.tokens -= removed;
        self.units = self.units.saturating_sub(units);
        self.clamp();
        TokenNanos(removed)
    }

    /// Adds a share and its tokens, capped at that share of the burst.
    pub fn add_share(
        &mut self,
        units: share::ShareUnits,
        tokens: TokenNanos,
        now: time::Timestamp,
    ) {
        self.fill(now);
        self.units = self.units + units;
        self.tokens += tokens.0.min(units.scale(self.burst));
        self.clamp();
    }

    /// Returns the largest share that can be removed while the rest still covers the
    /// granted tokens.
    #[must_use]
    pub fn max_removable(&self) -> share::ShareUnits {
        if self.burst == 0 {
            return share::ShareUnits::NONE;
        }
        let covered = (u128::from(self.granted_sum) << share::ShareUnits::BITS)
            .div_ceil(u128::from(self.burst));
        let covered = share::ShareUnits::new(u32::try_from(covered).unwrap_or(u32::MAX));
        self.units.saturating_sub(covered)
    }

    /// Returns the time until the bucket holds `amount` tokens.
    #[must_use]
    pub fn time_until(&self, amount: u32) -> duration::Duration {
        let missing = (u64::from(amount) * NANOS).saturating_sub(self.tokens);
        let rate = self.units.scale(self.rate).max(1);
        let micros = u128::from(missing) * MICROS_PER_SECOND / u128::from(rate) + 1;
        duration::Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Returns the bucket's capacity in whole tokens.
    #[must_use]
    pub fn capacity_tokens(&self) -> u64 {
        self.capacity() / NANOS
    }

    fn capacity(&self) -> u64 {
        self.units.scale(self.burst)
    }

    /// Stops counting the tokens granted to a requester's earlier token requests, those with
    /// a number below `to`'s, against the burst.
    pub fn release_grants(&mut self, to: GrantRecipient, now: time::Timestamp) {
        self.fill(now);
        let granted_sum = &mut self.granted_sum;
        self.granted.retain(|granted| {
            let is_spent = granted.to.requester == to.requester && granted.to.number < to.number;
            *granted_sum -= if is_spent { granted.tokens } else { 0 };
            !is_spent
        });
    }

    fn fill(&mut self, now: time::Timestamp) {
        while let Some(oldest) = self.granted.front().copied() {
            if oldest.until >= now {
                break;
            }
            // The capacity of a granted token becomes available at its expiry, not earlier.
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
        let scale = MICROS_PER_SECOND << share::ShareUnits::BITS;
        let per_micro = u128::from(self.rate) * u128::from(self.units.as_u32());
        let gained = per_micro * u128::from(elapsed) + self.remainder;
        self.remainder = gained % scale;
        let gained = u64::try_from(gained / scale).unwrap_or(u64::MAX);
        self.tokens = self.tokens.saturating_add(gained);
        self.clamp();
    }

    fn clamp(&mut self) {
        let available = self.capacity().saturating_sub(self.granted_sum);
        if self.tokens >= available {
            self.tokens = available;
            self.remainder = 0;
        }
    }
}

fn proportional_part(tokens: u64, units: share::ShareUnits, total: share::ShareUnits) -> u64 {
    if total == share::ShareUnits::NONE {
        return 0;
    }
    let removed = u128::from(tokens) * u128::from(units.as_u32()) / u128::from(total.as_u32());
    u64::try_from(removed).unwrap_or(u64::MAX)
}

fn nanos_per_second(rate: f64) -> u64 {
    (rate * NANOS as f64) as u64
}
