//! What the ledgers of two instances tell each other.
//!
//! Counters of lent and returned units only grow, so that a message that is
//! lost, repeated or late does no harm.

use std::time;

use marjoramwing_derives as derives;
use marjoramwing_entity::incarnation;

use crate::bucket;
use crate::limit;
use crate::share;

/// A message between the ledgers of two instances.
#[derives::record]
pub enum LedgerMessage {
    /// Asks a limit's holder for tokens, and tells of the loan.
    Ask(TokenAsk),
    /// Answers an ask.
    Answer(TokenAnswer),
    /// Tells that all tokens granted up to an ask are spent or given up.
    Spent(SpentNotice),
    /// Asks the heir not to take over for one lease.
    AskPromise(LeasePromise),
    /// Promises not to take over for one lease.
    Promise(LeasePromise),
    /// Asks which holders the peer knows.
    Find(Vec<limit::LimitId>),
    /// Tells known holders.
    Known(Vec<KnownHolder>),
}

/// Asks a limit's holder for tokens, and tells of the loan.
#[derives::record]
pub struct TokenAsk {
    /// Limit that is asked about.
    pub limit: limit::LimitId,
    /// Number of the ask, never used twice by one incarnation.
    pub number: u64,
    /// Tokens that are wanted now; none to renew a loan.
    pub amount: u32,
    /// Requests per second that the asker sees, in thousandths.
    pub demand_millis: u64,
    /// Loan that the asker knows of; zero when none.
    pub loan: u64,
    /// Units of that loan returned so far.
    pub returned: u64,
    /// Tokens that come with the units returned last.
    pub tokens: bucket::TokenNanos,
}

/// Tells that all tokens granted up to an ask are spent or given up.
#[derives::value]
pub struct SpentNotice {
    /// Limit of the tokens.
    pub limit: limit::LimitId,
    /// Number of the ask.
    pub number: u64,
}

/// Answers an ask.
#[derives::record]
pub struct TokenAnswer {
    /// Limit that was asked about.
    pub limit: limit::LimitId,
    /// Number of the ask.
    pub number: u64,
    /// What came of it.
    pub result: AnswerResult,
}

/// What came of an ask.
#[derives::record]
pub enum AnswerResult {
    /// The answerer holds the limit.
    Held(HeldAnswer),
    /// The answerer does not hold the limit, but may know who does.
    NotHeld(Option<KnownHolder>),
}

/// A holder's answer.
#[derives::record]
pub struct HeldAnswer {
    /// Tokens that the asker may spend until its wait ends.
    pub granted: u32,
    /// Time until which asking again is useless.
    pub empty_for: time::Duration,
    /// Loan to the asker; zero when none.
    pub loan: u64,
    /// Units of that loan lent so far.
    pub lent: u64,
    /// Units of that loan that came back so far.
    pub returned: u64,
    /// Tokens that come with the units lent last.
    pub tokens: bucket::TokenNanos,
    /// Share that the asker is to keep; it returns what it has above.
    pub target: share::ShareUnits,
    /// Validity of the loan from the time at which the ask was sent.
    pub valid_for: time::Duration,
}

/// A question or an answer about a holder's lease.
#[derives::value]
pub struct LeasePromise {
    /// Term of the lease.
    pub term: u32,
    /// Number of the question.
    pub number: u64,
}

/// A limit's holder, as an instance knows it.
#[derives::value]
pub struct KnownHolder {
    /// The limit.
    pub limit: limit::LimitId,
    /// Holder of the limit.
    pub holder: HolderTerm,
}

/// A holder and the term of its lease.
#[derives::value]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct HolderTerm {
    /// Run of the holder's process.
    pub holder: incarnation::Incarnation,
    /// Term of its lease.
    pub term: u32,
    /// Number of holders that the limit has had.
    pub epoch: u64,
}
