//! How far one attempt came, and whether it may be repeated.

use marjoramwing_derives as derives;

/// How far an attempt at one backend server came.
#[derives::value]
pub enum AttemptState {
    /// No byte of the request was handed to a socket.
    NotSent,
    /// The backend server may have run the request.
    PossiblySent,
    /// The backend server said that it did not run the request.
    Shed,
    /// The head of the answer arrived.
    Answered,
}

/// What a refusal may say of the request.
#[derives::value]
#[derive(derive_more::Display)]
pub enum RequestOutcome {
    /// No attempt ran.
    #[display("not-run")]
    NotRun,
    /// An attempt may have run.
    #[display("unknown")]
    Unknown,
}

/// The attempts at one request.
#[derives::record]
pub struct RequestExchange {
    idempotent: bool,
    attempts: u32,
    possibly_run: bool,
}

/// Attempts at one request, the first included.
const MAX_ATTEMPTS: u32 = 3;

impl RequestExchange {
    /// Starts a request of which no attempt was made.
    #[must_use]
    pub const fn new(idempotent: bool) -> Self {
        Self { idempotent, attempts: 0, possibly_run: false }
    }

    /// Records a failed attempt and tells whether another may be made.
    pub fn record_failure(&mut self, state: AttemptState) -> bool {
        self.attempts += 1;
        match state {
            AttemptState::NotSent | AttemptState::Shed => {}
            AttemptState::PossiblySent | AttemptState::Answered => self.possibly_run = true,
        }
        let repeatable = self.idempotent || !self.possibly_run;
        repeatable && self.attempts < MAX_ATTEMPTS
    }

    /// Returns what a refusal may say of the request.
    #[must_use]
    pub const fn outcome(&self) -> RequestOutcome {
        if self.possibly_run { RequestOutcome::Unknown } else { RequestOutcome::NotRun }
    }
}
