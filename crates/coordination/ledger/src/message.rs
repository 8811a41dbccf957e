//! Messages between the ledgers of two instances.
//!
//! The counts of lent and returned units only increase, so lost, repeated or delayed
//! messages can lose tokens but never add share or tokens.

use std::time;

use marjoramwing_derives as derives;
use marjoramwing_entity::incarnation;

use crate::bucket;
use crate::limit;
use crate::share;

/// A message between the ledgers of two instances.
#[derives::record]
pub enum LedgerMessage {
    /// Requests tokens from a limit's holder, and reports the state of the loan.
    TokenRequest(TokenRequest),
    /// Answers a token request.
    TokenAnswer(TokenAnswer),
    /// Reports that all tokens granted up to a token request are spent or discarded.
    TokensSpent(TokensSpent),
    /// Asks the successor not to take over for the length of one lease.
    PromiseRequest(LeasePromise),
    /// Promises not to take over for the length of one lease.
    Promise(LeasePromise),
    /// Asks which instances hold the limits, as far as the recipient knows.
    FindHolders(Vec<limit::LimitId>),
    /// Answers `FindHolders` with the holders that the sender knows.
    KnownHolders(Vec<KnownHolder>),
}

/// Requests tokens from a limit's holder, and reports the state of the loan.
#[derives::record]
pub struct TokenRequest {
    /// Limit that the tokens count against.
    pub limit: limit::LimitId,
    /// Number of the request, unique within one incarnation of the requester.
    pub number: u64,
    /// Tokens wanted now, for all pending requests; zero if it only renews the loan.
    pub amount: u32,
    /// Demand at the requester, in thousandths of requests per second.
    pub demand_millis: u64,
    /// Identifier of the loan that the requester knows of; zero when it has none.
    pub loan: u64,
    /// Total units of that loan returned so far.
    pub returned: u64,
    /// Tokens that come with the units returned since the previous request.
    pub tokens: bucket::TokenNanos,
}

/// Reports that all tokens granted up to a token request are spent or discarded.
#[derives::value]
pub struct TokensSpent {
    /// Limit of the tokens.
    pub limit: limit::LimitId,
    /// Number of the last token request whose tokens are spent or discarded.
    pub number: u64,
}

/// Answers a token request.
#[derives::record]
pub struct TokenAnswer {
    /// Limit of the token request.
    pub limit: limit::LimitId,
    /// Number of the token request.
    pub number: u64,
    /// Whether the sender holds the limit, and what it granted.
    pub result: AnswerResult,
}

/// Result of a token request.
#[derives::record]
pub enum AnswerResult {
    /// The sender holds the limit.
    Held(HeldAnswer),
    /// The sender does not hold the limit, but may name the instance that does.
    NotHeld(Option<KnownHolder>),
}

/// A holder's answer to a token request.
#[derives::record]
pub struct HeldAnswer {
    /// Tokens that the requester may spend until its token request times out.
    pub granted: u32,
    /// Time for which another token request would get no token.
    pub retry_after: time::Duration,
    /// Identifier of the loan to the requester; zero when there is none.
    pub loan: u64,
    /// Total units of that loan lent so far.
    pub lent: u64,
    /// Total units of that loan returned so far.
    pub returned: u64,
    /// Tokens that come with the units lent by this answer.
    pub tokens: bucket::TokenNanos,
    /// Share that the requester should keep; it returns the units above it if they are many.
    pub target_share: share::ShareUnits,
    /// Validity of the loan, counted from the time at which the request was sent.
    pub valid_for: time::Duration,
}

/// A request for a successor's promise, or the promise itself.
#[derives::value]
pub struct LeasePromise {
    /// Term of the lease that the promise covers.
    pub term: u32,
    /// Number of the promise request.
    pub number: u64,
}

/// The holder of a limit, as known to an instance.
#[derives::value]
pub struct KnownHolder {
    /// Limit that is held.
    pub limit: limit::LimitId,
    /// Entry of the directory that names the holder.
    pub entry: HolderTerm,
}

/// An entry of the holder directory: the holder of one limit, and the term of its lease.
#[derives::value]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct HolderTerm {
    /// Incarnation of the holder.
    pub holder: incarnation::Incarnation,
    /// Term of the holder's lease; the entry is void once that term has ended.
    pub term: u32,
    /// Number of claims of the limit, the one that wrote this entry included. Of two entries
    /// the one with the greater epoch is newer.
    pub epoch: u64,
}
