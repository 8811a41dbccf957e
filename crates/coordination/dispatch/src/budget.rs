//! Limits retries to a ratio of a service's live traffic.
//!
//! Invariant: over any period, the number of retries is at most the ratio times the
//! number of requests in it, plus the burst.

use marjoramwing_derives as derives;

/// Token bucket of the retries that a service may still make.
#[derives::measure]
pub struct RetryBudget {
    ratio: f64,
    burst: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a budget that allows `ratio` retries per request, and `burst` retries at once.
    #[must_use]
    pub const fn new(ratio: f64, burst: f64) -> Self {
        Self { ratio, burst, tokens: burst }
    }

    /// Sets how many retries an idle service may make at once; adds no token, and removes those
    /// above the new burst.
    pub const fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Records a request's first attempt, which adds `ratio` tokens.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes the token for one retry; returns false if none is available.
    pub fn take_retry(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        self.tokens -= if allowed { 1.0 } else { 0.0 };
        allowed
    }
}
