//! Reference limiters that say what one global token bucket would have done.

use std::time;

use marjoramwing_derives as derives;

/// A token bucket over a run's own clock.
#[derives::measure]
pub struct ReferenceBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled_at: time::Duration,
}

impl ReferenceBucket {
    /// Makes a full bucket.
    #[must_use]
    pub const fn new(rate: f64, burst: f64) -> Self {
        Self { rate, burst, tokens: burst, filled_at: time::Duration::ZERO }
    }

    /// Takes a token if there is one.
    pub fn take(&mut self, now: time::Duration) -> bool {
        self.fill(now);
        let admitted = self.tokens >= 1.0;
        if admitted {
            self.tokens -= 1.0;
        }
        admitted
    }

    /// Takes a token in any case and returns the tokens owed.
    pub fn take_on_credit(&mut self, now: time::Duration) -> f64 {
        self.fill(now);
        self.tokens -= 1.0;
        (-self.tokens).max(0.0)
    }

    fn fill(&mut self, now: time::Duration) {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        self.filled_at = self.filled_at.max(now);
    }
}
