//! Parameters and counts of a schedule.

use marjoramwing_ledger::mechanism::MechanismSet;
use marjoramwing_tables::team::RateLimit;

/// Parameters of the network and the traffic.
#[derive(Clone, Copy)]
pub(crate) struct ScheduleSpec {
    pub(crate) seed: u64,
    pub(crate) limit: RateLimit,
    /// Arrivals per second, as a fraction of the rate.
    pub(crate) load: f64,
    /// Fraction of the arrivals sent to one instance, which changes every 20 s.
    pub(crate) skew: f64,
    /// Probability that a message is lost, duplicated or delayed, each.
    pub(crate) faults: f64,
    pub(crate) mechanisms: MechanismSet,
}

impl ScheduleSpec {
    pub(crate) fn new(rate: f64, burst: u32, load: f64) -> Self {
        let limit = RateLimit::new(rate, burst).unwrap();
        Self { seed: 1, limit, load, skew: 0.7, faults: 0.0, mechanisms: MechanismSet::default() }
    }
}

/// Counts of one schedule.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Counts {
    pub(crate) requests: u64,
    pub(crate) admitted: u64,
    /// Admitted by one global bucket.
    pub(crate) ideal: u64,
    /// Refused by the ledgers, but not by one global bucket.
    pub(crate) wrongful: u64,
    /// Refused after the maximum time that a request stays pending.
    pub(crate) unanswered: u64,
    /// Admitted by the even split.
    pub(crate) even_admitted: u64,
    /// Refused by the even split, but not by one global bucket.
    pub(crate) even_wrongful: u64,
    pub(crate) messages: u64,
    pub(crate) store_calls: u64,
}
