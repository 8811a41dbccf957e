//! A token bucket driven by the caller's clock.

use marjoramwing_derives as derives;
use marjoramwing_entity::time;
use marjoramwing_tables::team;

/// A token bucket of one share of a limit.
#[derives::measure]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled_at: time::Timestamp,
}

impl TokenBucket {
    /// Makes a full bucket for a fraction of a limit.
    #[must_use]
    pub fn new(limit: team::RateLimit, fraction: f64, now: time::Timestamp) -> Self {
        let burst = f64::from(limit.burst) * fraction;
        Self { rate: limit.rate * fraction, burst, tokens: burst, filled_at: now }
    }

    /// Takes one token, if there is one.
    pub fn take(&mut self, now: time::Timestamp) -> bool {
        self.fill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn fill(&mut self, now: time::Timestamp) {
        let elapsed = now.since(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        self.filled_at = self.filled_at.max(now);
    }
}
