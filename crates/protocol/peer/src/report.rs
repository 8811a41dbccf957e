//! Messages about traffic between regions, and their conversions.

use std::time;

use marjoramwing_derives as derives;
use marjoramwing_steering::report;

/// One message about traffic.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Report {
    /// Counts or sums.
    #[prost(oneof = "Body", tags = "1, 2")]
    pub body: Option<Body>,
}

/// Counts or sums.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Counts of one instance.
    #[prost(message, tag = "1")]
    Counted(Counted),
    /// Sums of regions.
    #[prost(message, tag = "2")]
    Summed(Summed),
}

/// Counts of one instance.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Counted {
    /// What it serves.
    #[prost(message, repeated, tag = "1")]
    pub loads: Vec<Load>,
}

/// Sums of regions.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Summed {
    /// The sums.
    #[prost(message, repeated, tag = "1")]
    pub sums: Vec<Sum>,
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
            report::ReportMessage::Summed(sums) => {
                Body::Summed(Summed { sums: sums.into_iter().map(Sum::from).collect() })
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
            age_ms: u64::try_from(sum.age.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl TryFrom<Report> for report::ReportMessage {
    type Error = ReportError;

    fn try_from(raw: Report) -> Result<Self, ReportError> {
        match raw.body.ok_or(ReportError::Empty)? {
            Body::Counted(counted) => check_loads(counted.loads).map(Self::Counted),
            Body::Summed(summed) => {
                let sums = summed.sums.into_iter().map(report::RegionSum::try_from);
                sums.collect::<Result<_, _>>().map(Self::Summed)
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

fn check_loads(raw: Vec<Load>) -> Result<Vec<report::RegionLoad>, ReportError> {
    let checked = raw.into_iter().map(|load| {
        if !(load.rate.is_finite() && load.rate >= 0.0) {
            return Err(ReportError::Rate);
        }
        Ok(report::RegionLoad { home: load.home.into(), rate: f64::from(load.rate) })
    });
    checked.collect()
}
