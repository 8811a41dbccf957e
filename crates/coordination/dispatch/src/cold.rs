//! Rate limit for requests to a cold server.
//!
//! A server that registered itself is cold for the time that its registration states,
//! counted from when this instance learns of the registration.
//!
//! Invariant: within any second this instance sends a cold server at most the number
//! of requests that it was allotted.

use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::time;

/// Period over which the requests allowed per second are spaced evenly; longer than one
/// second because requests may arrive closer together than they were sent.
const SPAN: duration::Duration = duration::Duration::from_millis(1_100);

/// Limits the request rate to a server while it is cold.
#[derives::value]
pub struct ColdLimiter {
    cold_until: time::Timestamp,
    /// Earliest time of the next request while the server is cold.
    next_at: time::Timestamp,
    /// Requests allowed in one [`SPAN`]; 0 allows none.
    requests_per_span: u32,
}

impl ColdLimiter {
    /// The limiter of a server that is warm.
    pub const WARM: Self = Self {
        cold_until: time::Timestamp::ZERO,
        next_at: time::Timestamp::ZERO,
        requests_per_span: 1,
    };

    /// Sets the time until which the server is cold.
    pub const fn set_cold_until(&mut self, cold_until: time::Timestamp) {
        self.cold_until = cold_until;
    }

    /// Sets the number of requests allowed per second; 0 allows none.
    pub const fn set_rate(&mut self, per_second: u32) {
        self.requests_per_span = per_second;
    }

    /// Returns true if a request may be sent now.
    #[must_use]
    pub fn allows(&self, now: time::Timestamp) -> bool {
        now >= self.cold_until || (self.requests_per_span > 0 && now >= self.next_at)
    }

    /// Returns the earliest time at which a request may be sent if none may be sent now.
    #[must_use]
    pub fn next_at(&self) -> time::Timestamp {
        if self.requests_per_span == 0 {
            self.cold_until
        } else {
            self.next_at.min(self.cold_until)
        }
    }

    /// Records a request that is sent now.
    pub fn record(&mut self, now: time::Timestamp) {
        if now < self.cold_until {
            self.next_at = now + SPAN / self.requests_per_span.max(1);
        }
    }
}

/// Requests per second that all instances together may send to one cold server.
#[derives::value]
pub struct ColdAllowance {
    per_second: usize,
}

impl ColdAllowance {
    /// Creates an allowance of half the bound, which is `rate`, the rate that the server
    /// sustains, times the factor `overage` plus `slack` requests per second.
    ///
    /// The other half covers a second in which the instances are replaced: those that start
    /// do not know what their predecessors have sent.
    #[must_use]
    pub fn new(rate: f64, overage: f64, slack: f64) -> Self {
        let per_second = ((rate * overage + slack) / 2.0).floor().max(1.0);
        Self { per_second: per_second as usize }
    }

    /// Returns one instance's share, by its rank among the instances of the fleet.
    ///
    /// If the fleet is larger than the allowance, only the first instances get a
    /// share.
    #[must_use]
    pub fn share(self, rank: usize, fleet_size: usize) -> u32 {
        let sharers = fleet_size.clamp(1, self.per_second);
        if rank >= sharers {
            return 0;
        }
        u32::try_from(self.per_second / sharers).unwrap_or(u32::MAX)
    }
}
