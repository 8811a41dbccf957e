//! Messages about demand under limits, and their conversions.

use marjoramwing_ledger::limit;
use marjoramwing_ledger::split;

/// Demand that one instance sees.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Demand {
    /// Demand under the limits that it was seen under since the last report.
    #[prost(message, repeated, tag = "1")]
    pub limits: Vec<LimitDemand>,
}

/// Demand under one limit.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LimitDemand {
    /// Number of the limit.
    #[prost(fixed64, tag = "1")]
    pub limit: u64,
    /// Requests per second.
    #[prost(float, tag = "2")]
    pub per_second: f32,
    /// Requests that this run of the sender admitted so far.
    #[prost(uint64, tag = "3")]
    pub admitted: u64,
}

impl From<&[split::LimitDemand]> for Demand {
    fn from(demands: &[split::LimitDemand]) -> Self {
        let limits = demands.iter().map(|told| LimitDemand {
            limit: told.id.as_u64(),
            per_second: told.per_second as f32,
            admitted: told.admitted,
        });
        Self { limits: limits.collect() }
    }
}

impl From<Demand> for Vec<split::LimitDemand> {
    fn from(raw: Demand) -> Self {
        // A demand that is no number would spoil every sum.
        let usable = raw.limits.into_iter().filter(|told| told.per_second.is_finite());
        let demands = usable.map(|told| split::LimitDemand {
            id: limit::LimitId::from_u64(told.limit),
            per_second: f64::from(told.per_second.max(0.0)),
            admitted: told.admitted,
        });
        demands.collect()
    }
}
