//! Messages about traffic between regions, and their conversions.

use std::time;

use marjoramwing_derives as derives;
use marjoramwing_steering::report;

/// One message about traffic.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Report {
    /// Counts, sums or traffic.
    #[prost(oneof = "Body", tags = "1, 2, 3")]
    pub body: Option<Body>,
}

/// Counts, sums or traffic.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Counts of one instance.
    #[prost(message, tag = "1")]
    Counted(Counted),
    /// What one region serves.
    #[prost(message, tag = "2")]
    Summed(Sum),
    /// Traffic of all home regions.
    #[prost(message, tag = "3")]
    Told(Told),
}

/// Counts of one instance.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Counted {
    /// What it serves.
    #[prost(message, repeated, tag = "1")]
    pub loads: Vec<Load>,
}

/// Traffic of all home regions.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Told {
    /// The traffic.
    #[prost(message, repeated, tag = "1")]
    pub homes: Vec<Home>,
}

/// Traffic of one region's clients, wherever served.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Home {
    /// Home region of the clients.
    #[prost(string, tag = "1")]
    pub home: String,
    /// Requests per second.
    #[prost(float, tag = "2")]
    pub offered: f32,
    /// Milliseconds since the home region measured.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// Requests per second of the clients of one region.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Load {
    /// Home region of the clients.
    #[prost(string, tag = "1")]
    pub home: String,
    /// Requests per second.
    #[prost(float, tag = "2")]
    pub rate: f32,
}

/// What all instances of one region serve.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Sum {
    /// Region of the instances.
    #[prost(string, tag = "1")]
    pub region: String,
    /// What they serve.
    #[prost(message, repeated, tag = "2")]
    pub loads: Vec<Load>,
    /// Milliseconds since the oldest count in the sum was made.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// Why a message about traffic was dropped.
#[derives::record]
#[derive(derive_more::Display, derive_more::Error)]
pub enum ReportError {
    /// The message is empty.
    #[display("report is empty; run one version of the program on all instances")]
    Empty,
    /// A rate is negative or no number.
    #[display("report has a rate that is negative or no number; look at its sender")]
    Rate,
}

impl From<report::ReportMessage> for Report {
    fn from(message: report::ReportMessage) -> Self {
        let body = match message {
            report::ReportMessage::Counted(loads) => {
                Body::Counted(Counted { loads: loads.into_iter().map(Load::from).collect() })
            }
            report::ReportMessage::Summed(sum) => Body::Summed(sum.into()),
            report::ReportMessage::Broadcast(homes) => {
                Body::Told(Told { homes: homes.into_iter().map(Home::from).collect() })
            }
        };
        Self { body: Some(body) }
    }
}

impl From<report::RegionLoad> for Load {
    fn from(load: report::RegionLoad) -> Self {
        Self { home: load.home.to_string(), rate: load.rate as f32 }
    }
}

impl From<report::RegionSum> for Sum {
    fn from(sum: report::RegionSum) -> Self {
        Self {
            region: sum.region.to_string(),
            loads: sum.loads.into_iter().map(Load::from).collect(),
            age_ms: millis(sum.age),
        }
    }
}

impl From<report::HomeTraffic> for Home {
    fn from(traffic: report::HomeTraffic) -> Self {
        Self {
            home: traffic.home.to_string(),
            offered: traffic.offered as f32,
            age_ms: millis(traffic.age),
        }
    }
}

fn millis(age: time::Duration) -> u64 {
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}

impl TryFrom<Report> for report::ReportMessage {
    type Error = ReportError;

    fn try_from(raw: Report) -> Result<Self, ReportError> {
        match raw.body.ok_or(ReportError::Empty)? {
            Body::Counted(counted) => check_loads(counted.loads).map(Self::Counted),
            Body::Summed(sum) => sum.try_into().map(Self::Summed),
            Body::Told(told) => {
                let homes = told.homes.into_iter().map(report::HomeTraffic::try_from);
                homes.collect::<Result<_, _>>().map(Self::Broadcast)
            }
        }
    }
}

impl TryFrom<Sum> for report::RegionSum {
    type Error = ReportError;

    fn try_from(raw: Sum) -> Result<Self, ReportError> {
        Ok(Self {
            region: raw.region.into(),
            loads: check_loads(raw.loads)?,
            age: time::Duration::from_millis(raw.age_ms),
        })
    }
}

impl TryFrom<Home> for report::HomeTraffic {
    type Error = ReportError;

    fn try_from(raw: Home) -> Result<Self, ReportError> {
        Ok(Self {
            home: raw.home.into(),
            offered: check_rate(raw.offered)?,
            age: time::Duration::from_millis(raw.age_ms),
        })
    }
}

fn check_loads(raw: Vec<Load>) -> Result<Vec<report::RegionLoad>, ReportError> {
    let checked = raw.into_iter().map(|load| {
        Ok(report::RegionLoad { home: load.home.into(), rate: check_rate(load.rate)? })
    });
    checked.collect()
}

fn check_rate(rate: f32) -> Result<f64, ReportError> {
    let is_rate = rate.is_finite() && rate >= 0.0;
    is_rate.then(|| f64::from(rate)).ok_or(ReportError::Rate)
}
