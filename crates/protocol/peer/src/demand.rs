//! Demand messages of the rate limits and their conversions.

use marjoramwing_ledger::limit;
use marjoramwing_ledger::split;

/// Demand that one instance measured for its limits.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Demand {
    /// Limits with demand since the last report.
    #[prost(message, repeated, tag = "1")]
    pub limits: Vec<LimitDemand>,
}

/// Demand that counts against one limit.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LimitDemand {
    /// Identifier of the limit.
    #[prost(fixed64, tag = "1")]
    pub limit: u64,
    /// Requests per second.
    #[prost(float, tag = "2")]
    pub per_second: f32,
    /// Requests that the sender has admitted since its process started.
    #[prost(uint64, tag = "3")]
    pub admitted: u64,
}

impl From<&[split::LimitDemand]> for Demand {
    fn from(demands: &[split::LimitDemand]) -> Self {
        let limits = demands.iter().map(|demand| LimitDemand {
            limit: demand.id.as_u64(),
            per_second: demand.per_second as f32,
            admitted: demand.admitted,
        });
        Self { limits: limits.collect() }
    }
}

impl From<Demand> for Vec<split::LimitDemand> {
    fn from(raw: Demand) -> Self {
        // A NaN or infinite demand would corrupt every sum it is added to.
        let usable = raw.limits.into_iter().filter(|demand| demand.per_second.is_finite());
        let demands = usable.map(|demand| split::LimitDemand {
            id: limit::LimitId::from_u64(demand.limit),
            per_second: f64::from(demand.per_second.max(0.0)),
            admitted: demand.admitted,
        });
        demands.collect()
    }
}
