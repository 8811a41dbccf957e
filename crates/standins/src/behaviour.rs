//! How a backend server behaves, as its control path sets it.

use marjoramwing_derives as derives;

/// The switches of one backend server.
#[derives::document]
#[derive(Copy)]
#[serde(default, deny_unknown_fields)]
pub struct BackendBehaviour {
    /// Requests run at once; more are shed.
    pub slots: u32,
    /// Time that one request takes, in milliseconds.
    pub service_ms: u64,
    /// Bytes of an answer's body.
    pub answer_bytes: usize,
    /// What goes wrong with answers.
    pub fault: AnswerFault,
    /// Every how many runs the fault shows; 1 for all.
    pub fault_every: u32,
    /// Time by which `fault = "delayed"` delays an answer, in milliseconds.
    pub delay_ms: u64,
    /// Whether the server sheds all new requests.
    pub draining: bool,
    /// Runs after a start that take longer.
    pub cold_runs: u32,
    /// Time that such a run takes more, in milliseconds.
    pub cold_ms: u64,
    /// What the health endpoint answers.
    pub healthy: bool,
    /// What the load header says.
    pub load: LoadReporting,
}

/// What goes wrong with a backend server's answers.
#[derives::document]
#[derive(Copy, Default, Eq)]
#[serde(rename_all = "lowercase")]
pub enum AnswerFault {
    /// Nothing.
    #[default]
    None,
    /// The request runs, but no answer is sent.
    Silent,
    /// The request runs, and a chunked answer breaks off half-way.
    Cut,
    /// The request runs, and the answer ends before its stated length.
    Short,
    /// The request runs, and its answer comes late.
    Delayed,
    /// The request runs, but the answer is that of an earlier request.
    Crossed,
    /// Every request is shed.
    Shed,
}

/// What a backend server says of its load, as a fraction of its slots in use.
#[derives::document]
#[derive(Copy, Default, Eq)]
#[serde(rename_all = "lowercase")]
pub enum LoadReporting {
    /// Nothing.
    None,
    /// The truth.
    #[default]
    True,
    /// Always that no slot is in use.
    Empty,
    /// Always that all slots are in use.
    Full,
    /// What was true at the previous report.
    Lagging,
}

impl Default for BackendBehaviour {
    fn default() -> Self {
        Self {
            slots: 3,
            service_ms: 5,
            answer_bytes: 1_024,
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
    /// Returns what goes wrong with the run of this number, counted from 1.
    #[must_use]
    pub fn fault_of(&self, run: u32) -> AnswerFault {
        if run.is_multiple_of(self.fault_every.max(1)) { self.fault } else { AnswerFault::None }
    }

    /// Returns the time that the run of this number takes, in milliseconds.
    #[must_use]
    pub fn run_ms(&self, run: u32) -> u64 {
        let cold_ms = if run <= self.cold_runs { self.cold_ms } else { 0 };
        let late = self.fault_of(run) == AnswerFault::Delayed;
        self.service_ms + cold_ms + if late { self.delay_ms } else { 0 }
    }
}
