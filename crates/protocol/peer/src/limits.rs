//! Reports of the limits that backend servers name, and their conversions.

use std::time;

use marjoramwing_dispatch::statement;
use marjoramwing_tables::name;

use crate::report;

/// Limits of the servers of one pool.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServerLimits {
    /// Name of the pool.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// Limits that are new, have changed or still hold.
    #[prost(message, repeated, tag = "2")]
    pub limits: Vec<ServerLimit>,
}

/// Limit of one server.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServerLimit {
    /// Identifier of the server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Start of the server's run in Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub started_ms: u64,
    /// Requests per second, in thousandths; 0 if the limit has ended.
    #[prost(uint64, tag = "3")]
    pub rate_milli: u64,
    /// Time since the server first named a limit, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub named_age_ms: u64,
    /// Time since the answer by which that is known, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub answer_age_ms: u64,
}

impl ServerLimits {
    /// Creates the report about the servers of a pool.
    #[must_use]
    pub fn new(pool: &name::PoolName, reports: &[statement::LimitReport]) -> Self {
        let limits = reports.iter().map(ServerLimit::from).collect();
        Self { pool: pool.as_str().to_owned(), limits }
    }
}

impl From<&statement::LimitReport> for ServerLimit {
    fn from(source: &statement::LimitReport) -> Self {
        Self {
            server: source.run.id.to_string(),
            started_ms: source.run.started_ms,
            rate_milli: source.limit.map_or(0, statement::RequestRate::milli),
            named_age_ms: report::to_millis(source.named_age),
            answer_age_ms: report::to_millis(source.answer_age),
        }
    }
}

impl From<ServerLimit> for statement::LimitReport {
    fn from(raw: ServerLimit) -> Self {
        let limit = match raw.rate_milli {
            0 => None,
            milli => Some(statement::RequestRate::from_milli(milli)),
        };
        Self {
            run: statement::ServerRun { id: raw.server.into(), started_ms: raw.started_ms },
            limit,
            named_age: time::Duration::from_millis(raw.named_age_ms),
            answer_age: time::Duration::from_millis(raw.answer_age_ms),
        }
    }
}
