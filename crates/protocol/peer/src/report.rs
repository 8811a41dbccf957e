//! Traffic reports between regions and their conversions.

use std::time;

use marjoramwing_derives as derives;
use marjoramwing_steering::report;

/// Message about the traffic of the regions.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Report {
    /// Content of the report; senders always set it.
    #[prost(oneof = "Body", tags = "1, 2, 3")]
    pub body: Option<Body>,
}

/// Content of a report.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Counts of one instance, for the aggregator of its region.
    #[prost(message, tag = "1")]
    Counted(Counted),
    /// Sum of one region, for the aggregators of the other regions.
    #[prost(message, tag = "2")]
    Summed(RegionSum),
    /// Traffic of all home regions, for the members of the sender's region.
    #[prost(message, tag = "3")]
    Broadcast(Broadcast),
}

/// Request rates that one instance serves.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Counted {
    /// Request rates by home region of the clients.
    #[prost(message, repeated, tag = "1")]
    pub loads: Vec<RegionLoad>,
}

/// Traffic of the clients of every region.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Broadcast {
    /// Traffic by home region.
    #[prost(message, repeated, tag = "1")]
    pub traffic: Vec<HomeTraffic>,
}

/// Traffic of one region's clients, in whichever region they are served.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HomeTraffic {
    /// Home region of the clients.
    #[prost(string, tag = "1")]
    pub home: String,
    /// Requests per second over all regions.
    #[prost(float, tag = "2")]
    pub offered: f32,
    /// Age of the home region's own sum, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// Request rate of the clients of one region.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RegionLoad {
    /// Home region of the clients.
    #[prost(string, tag = "1")]
    pub home: String,
    /// Requests per second.
    #[prost(float, tag = "2")]
    pub rate: f32,
}

/// Request rates that all instances of one region serve together.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RegionSum {
    /// Region of the instances.
    #[prost(string, tag = "1")]
    pub region: String,
    /// Request rates by home region of the clients.
    #[prost(message, repeated, tag = "2")]
    pub loads: Vec<RegionLoad>,
    /// Age of the sum, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// Why a report was rejected.
#[derives::record]
#[derive(derive_more::Display, derive_more::Error)]
pub enum ReportError {
    /// The report has no body.
    #[display("report has no body; run the same version on all instances")]
    MissingBody,
    /// A rate is negative, infinite or NaN.
    #[display("report contains a negative or non-finite rate; check the instance that sent it")]
    Rate,
}

impl From<report::ReportMessage> for Report {
    fn from(message: report::ReportMessage) -> Self {
        let body = match message {
            report::ReportMessage::Counted(loads) => {
                Body::Counted(Counted { loads: loads.into_iter().map(RegionLoad::from).collect() })
            }
            report::ReportMessage::Summed(sum) => Body::Summed(sum.into()),
            report::ReportMessage::Broadcast(traffic) => Body::Broadcast(Broadcast {
                traffic: traffic.into_iter().map(HomeTraffic::from).collect(),
            }),
        };
        Self { body: Some(body) }
    }
}

impl From<report::RegionLoad> for RegionLoad {
    fn from(load: report::RegionLoad) -> Self {
        Self { home: load.home.to_string(), rate: load.rate as f32 }
    }
}

impl From<report::RegionSum> for RegionSum {
    fn from(sum: report::RegionSum) -> Self {
        Self {
            region: sum.region.to_string(),
            loads: sum.loads.into_iter().map(RegionLoad::from).collect(),
            age_ms: to_millis(sum.age),
        }
    }
}

impl From<report::HomeTraffic> for HomeTraffic {
    fn from(traffic: report::HomeTraffic) -> Self {
        Self {
            home: traffic.home.to_string(),
            offered: traffic.offered as f32,
            age_ms: to_millis(traffic.age),
        }
    }
}

/// Converts to milliseconds, rounded down.
pub(crate) fn to_millis(age: time::Duration) -> u64 {
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}

impl TryFrom<Report> for report::ReportMessage {
    type Error = ReportError;

    fn try_from(raw: Report) -> Result<Self, ReportError> {
        match raw.body.ok_or(ReportError::MissingBody)? {
            Body::Counted(counted) => check_loads(counted.loads).map(Self::Counted),
            Body::Summed(sum) => sum.try_into().map(Self::Summed),
            Body::Broadcast(broadcast) => {
                let traffic = broadcast.traffic.into_iter().map(report::HomeTraffic::try_from);
                traffic.collect::<Result<_, _>>().map(Self::Broadcast)
            }
        }
    }
}

impl TryFrom<RegionSum> for report::RegionSum {
    type Error = ReportError;

    fn try_from(raw: RegionSum) -> Result<Self, ReportError> {
        Ok(Self {
            region: raw.region.into(),
            loads: check_loads(raw.loads)?,
            age: time::Duration::from_millis(raw.age_ms),
        })
    }
}

impl TryFrom<HomeTraffic> for report::HomeTraffic {
    type Error = ReportError;

    fn try_from(raw: HomeTraffic) -> Result<Self, ReportError> {
        Ok(Self {
            home: raw.home.into(),
            offered: check_rate(raw.offered)?,
            age: time::Duration::from_millis(raw.age_ms),
        })
    }
}

fn check_loads(raw: Vec<RegionLoad>) -> Result<Vec<report::RegionLoad>, ReportError> {
    let checked = raw.into_iter().map(|load| {
        Ok(report::RegionLoad { home: load.home.into(), rate: check_rate(load.rate)? })
    });
    checked.collect()
}

fn check_rate(rate: f32) -> Result<f64, ReportError> {
    let is_valid = rate.is_finite() && rate >= 0.0;
    is_valid.then(|| f64::from(rate)).ok_or(ReportError::Rate)
}
