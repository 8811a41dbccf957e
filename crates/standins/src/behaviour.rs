//! The behaviour of a backend server, set over its control path.

use marjoramwing_derives as derives;

/// The switches of one backend server.
#[derives::document]
#[derive(Copy)]
#[serde(default, deny_unknown_fields)]
pub struct BackendBehaviour {
    /// Maximum number of concurrent requests; further ones are shed.
    pub slots: u32,
    /// Service time of a request, in milliseconds.
    pub service_ms: u64,
    /// Size of a response body, in bytes.
    pub answer_bytes: usize,
    /// Pause between the two halves of a response body without a fault, in milliseconds;
    /// 0 to send it at once.
    pub body_pause_ms: u64,
    /// Fault injected into responses.
    pub fault: AnswerFault,
    /// Interval, in runs, at which the fault is injected; 0 or 1 for every run.
    /// `fault = "shed"` applies to every request regardless.
    pub fault_every: u32,
    /// Time by which `fault = "delayed"` delays a response, in milliseconds.
    pub delay_ms: u64,
    /// Whether the server is draining: it sheds every new request and reports
    /// itself as unhealthy.
    pub draining: bool,
    /// Number of initial runs that take longer, to simulate a cold start.
    pub cold_runs: u32,
    /// Additional service time of such a run, in milliseconds.
    pub cold_ms: u64,
    /// Whether the health endpoint reports the server as healthy.
    pub healthy: bool,
    /// Load reported in the load header.
    pub load: LoadReporting,
}

/// A fault injected into the responses of a backend server.
#[derives::document]
#[derive(Copy, Default, Eq)]
#[serde(rename_all = "lowercase")]
pub enum AnswerFault {
    /// No fault.
    #[default]
    None,
    /// The request runs, but no response is sent.
    Silent,
    /// The request runs, and a chunked response is truncated half-way.
    Cut,
    /// The request runs, and the response ends before its `Content-Length`.
    Short,
    /// The request runs, and its response is delayed.
    Delayed,
    /// The request runs, but the response is that of the previous request.
    Crossed,
    /// Every request is shed.
    Shed,
}

/// The load that a backend server reports, as the fraction of its slots in use.
#[derives::document]
#[derive(Copy, Default, Eq)]
#[serde(rename_all = "lowercase")]
pub enum LoadReporting {
    /// No load header is sent.
    None,
    /// The actual load.
    #[default]
    True,
    /// Always 0: no slot in use.
    Empty,
    /// Always 1: all slots in use.
    Full,
    /// The actual load at the time of the previous report.
    Lagging,
}

impl Default for BackendBehaviour {
    fn default() -> Self {
        Self {
            slots: 3,
            service_ms: 5,
            answer_bytes: 1_024,
            body_pause_ms: 0,
            fault: AnswerFault::None,
            fault_every: 1,
            delay_ms: 500,
            draining: false,
            cold_runs: 0,
            cold_ms: 0,
            healthy: true,
            load: LoadReporting::True,
        }
    }
}

impl BackendBehaviour {
    /// Returns the fault to inject into a run, given its number counted from 1.
    #[must_use]
    pub fn fault_of(&self, run_number: u32) -> AnswerFault {
        if run_number.is_multiple_of(self.fault_every.max(1)) {
            self.fault
        } else {
            AnswerFault::None
        }
    }

    /// Returns the duration of a run in milliseconds, given its number counted from 1.
    #[must_use]
    pub fn run_ms(&self, run_number: u32) -> u64 {
        let cold_ms = if run_number <= self.cold_runs { self.cold_ms } else { 0 };
        let is_delayed = self.fault_of(run_number) == AnswerFault::Delayed;
        self.service_ms + cold_ms + if is_delayed { self.delay_ms } else { 0 }
    }
}
