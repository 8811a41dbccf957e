//! Reports of demand, by which rate limits are split between instances, and their conversions.

use marjoramwing_ledger::limit;
use marjoramwing_ledger::split;

/// Report of the demand that one instance measured.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Demand {
    /// Demand under each limit; a limit that is omitted keeps its last reported demand.
    #[prost(message, repeated, tag = "1")]
    pub limits: Vec<LimitDemand>,
}

/// Demand under one limit.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LimitDemand {
    /// Identifier of the limit.
    #[prost(fixed64, tag = "1")]
    pub limit: u64,
    /// Requests per second, refused ones included.
    #[prost(float, tag = "2")]
    pub per_second: f32,
    /// Total number of requests that the sender's incarnation has admitted.
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
        // A NaN or infinite demand would corrupt every sum it is added to; a negative one counts
        // as zero.
        let usable = raw.limits.into_iter().filter(|demand| demand.per_second.is_finite());
        let demands = usable.map(|demand| split::LimitDemand {
            id: limit::LimitId::from_u64(demand.limit),
            per_second: f64::from(demand.per_second.max(0.0)),
            admitted: demand.admitted,
        });
        demands.collect()
    }
}
