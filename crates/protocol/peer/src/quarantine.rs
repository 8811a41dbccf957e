//! Reports of requests that end backend servers, and their conversions.

use std::time;

use marjoramwing_derives as derives;
use marjoramwing_dispatch::fingerprint;
use marjoramwing_dispatch::suspect;

use crate::report;

/// Maximum number of requests in one message.
pub const MAX_REPORTS: usize = 256;
/// Maximum number of crashes of one request.
const MAX_CRASHES: usize = 64;

/// What an instance knows of several requests.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SuspectReports {
    /// The requests.
    #[prost(message, repeated, tag = "1")]
    pub suspects: Vec<SuspectReport>,
}

/// What an instance knows of one request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SuspectReport {
    /// First half of the fingerprint of the request's content.
    #[prost(fixed64, tag = "1")]
    pub content_high: u64,
    /// Second half.
    #[prost(fixed64, tag = "2")]
    pub content_low: u64,
    /// Crashes that count against the request, by the hashes of the servers' runs.
    #[prost(fixed64, repeated, tag = "3")]
    pub counted: Vec<u64>,
    /// Crashes of which it was cleared.
    #[prost(fixed64, repeated, tag = "4")]
    pub excused: Vec<u64>,
    /// Time since the last crash, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub crash_age_ms: u64,
    /// Time for which one copy is still being tried, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub trial_left_ms: u64,
    /// Hash of the name of the team that sent the request; 0 if it needed no key.
    #[prost(fixed64, tag = "7")]
    pub sender: u64,
}

/// Why a report was rejected.
#[derives::record]
#[derive(derive_more::Display, derive_more::Error)]
#[display("report has too many crashes of one request; run the same version on all instances")]
pub struct SuspectReportError;

impl From<&suspect::SuspectReport> for SuspectReport {
    fn from(source: &suspect::SuspectReport) -> Self {
        let (content_high, content_low) = source.content.halves();
        let crashes = |excused: bool| {
            let crashes = source.crashes.iter().filter(move |crash| crash.excused == excused);
            crashes.map(|crash| crash.id.as_u64()).collect()
        };
        Self {
            content_high,
            content_low,
            counted: crashes(false),
            excused: crashes(true),
            crash_age_ms: report::to_millis(source.crash_age),
            trial_left_ms: report::to_millis(source.trial_left),
            sender: source.sender.as_u64(),
        }
    }
}

impl TryFrom<SuspectReport> for suspect::SuspectReport {
    type Error = SuspectReportError;

    fn try_from(raw: SuspectReport) -> Result<Self, SuspectReportError> {
        if raw.counted.len() + raw.excused.len() > MAX_CRASHES {
            return Err(SuspectReportError);
        }
        let crashes = |numbers: Vec<u64>, excused: bool| {
            numbers.into_iter().map(move |number| suspect::SuspectCrash {
                id: suspect::CrashId::from_u64(number),
                excused,
            })
        };
        let crashes = crashes(raw.counted, false).chain(crashes(raw.excused, true));
        Ok(Self {
            content: fingerprint::ContentFingerprint::from_halves(
                raw.content_high,
                raw.content_low,
            ),
            sender: suspect::SenderId::from_u64(raw.sender),
            crashes: crashes.collect(),
            crash_age: time::Duration::from_millis(raw.crash_age_ms),
            trial_left: time::Duration::from_millis(raw.trial_left_ms),
        })
    }
}
