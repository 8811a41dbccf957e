//! Retries as a share of a service's live traffic.
//!
//! Invariant: over any span, retries are at most the share of the requests in
//! it plus the reserve.

use marjoramwing_derives as derives;

/// Retries that a service may still make.
#[derives::measure]
pub struct RetryBudget {
    share: f64,
    reserve: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Makes a budget that allows `share` retries for each request, and `reserve` at once.
    #[must_use]
    pub const fn new(share: f64, reserve: f64) -> Self {
        Self { share, reserve, tokens: reserve }
    }

    /// Changes what a quiet service may make at once; gives no token.
    pub const fn set_reserve(&mut self, reserve: f64) {
        self.reserve = reserve;
        self.tokens = self.tokens.min(reserve);
    }

    /// Records a request's first attempt.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.reserve);
    }

    /// Takes the token of one retry, if there is one.
    pub fn take_retry(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        self.tokens -= if allowed { 1.0 } else { 0.0 };
        allowed
    }
}
