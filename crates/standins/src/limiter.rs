//! A token bucket that serves as the reference for limits.

use std::time;

use marjoramwing_derives as derives;

/// A token bucket whose time is relative to the start of a load run.
#[derives::measure]
pub struct ReferenceBucket {
    /// Tokens added per second.
    rate: f64,
    /// Maximum number of tokens.
    burst: f64,
    /// Available tokens; negative after `force_take` from an empty bucket.
    tokens: f64,
    refilled_at: time::Duration,
}

impl ReferenceBucket {
    /// Creates a full bucket.
    #[must_use]
    pub const fn new(rate: f64, burst: f64) -> Self {
        Self { rate, burst, tokens: burst, refilled_at: time::Duration::ZERO }
    }

    /// Takes a token if one is available, and returns true if it did.
    pub fn try_take(&mut self, now: time::Duration) -> bool {
        self.refill(now);
        let admitted = self.tokens >= 1.0;
        if admitted {
            self.tokens -= 1.0;
        }
        admitted
    }

    /// Takes a token even if none is available, and returns the resulting deficit.
    pub fn force_take(&mut self, now: time::Duration) -> f64 {
        self.refill(now);
        self.tokens -= 1.0;
        (-self.tokens).max(0.0)
    }

    fn refill(&mut self, now: time::Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}
