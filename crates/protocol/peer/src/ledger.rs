//! The messages between the ledgers of two instances, as they are sent.

use std::time;

use marjoramwing_derives as derives;
use marjoramwing_entity::incarnation;
use marjoramwing_ledger::bucket;
use marjoramwing_ledger::limit;
use marjoramwing_ledger::message;
use marjoramwing_ledger::share;

/// Why a message of a ledger cannot be used.
#[derives::value]
#[derive(derive_more::Display, derive_more::Error)]
pub enum LedgerMessageError {
    /// A part that every such message has is missing.
    #[display("ledger message lacks a part; run one version of the program on all instances")]
    Missing,
    /// A share is larger than the whole.
    #[display("ledger message names a share above the whole; check the sender's version")]
    Share,
}

/// A message of a ledger.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LedgerEnvelope {
    /// What it says.
    #[prost(oneof = "LedgerBody", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub body: Option<LedgerBody>,
}

/// What a message of a ledger says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum LedgerBody {
    /// Asks a holder for tokens.
    #[prost(message, tag = "1")]
    Ask(AskMessage),
    /// Answers an ask.
    #[prost(message, tag = "2")]
    Answer(AnswerMessage),
    /// Tells that granted tokens are spent.
    #[prost(message, tag = "3")]
    Spent(SpentMessage),
    /// Asks for a promise.
    #[prost(message, tag = "4")]
    AskPromise(PromiseMessage),
    /// Gives a promise.
    #[prost(message, tag = "5")]
    Promise(PromiseMessage),
    /// Asks for holders.
    #[prost(message, tag = "6")]
    Find(FindMessage),
    /// Tells holders.
    #[prost(message, tag = "7")]
    Known(KnownMessage),
}

/// Asks a holder for tokens.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AskMessage {
    /// Limit.
    #[prost(fixed64, tag = "1")]
    pub limit: u64,
    /// Number of the ask.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Tokens wanted.
    #[prost(uint32, tag = "3")]
    pub amount: u32,
    /// Thousandths of requests per second.
    #[prost(uint64, tag = "4")]
    pub demand_millis: u64,
    /// Loan, or zero.
    #[prost(uint64, tag = "5")]
    pub loan: u64,
    /// Units returned.
    #[prost(uint64, tag = "6")]
    pub returned: u64,
    /// Billionths of tokens returned last.
    #[prost(uint64, tag = "7")]
    pub tokens: u64,
}

/// Answers an ask.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AnswerMessage {
    /// Limit.
    #[prost(fixed64, tag = "1")]
    pub limit: u64,
    /// Number of the ask.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// A holder's answer; absent when the answerer does not hold the limit.
    #[prost(message, optional, tag = "3")]
    pub held: Option<HeldMessage>,
    /// Another holder.
    #[prost(message, optional, tag = "4")]
    pub referral: Option<HolderMessage>,
}

/// A holder's answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HeldMessage {
    /// Tokens granted.
    #[prost(uint32, tag = "1")]
    pub granted: u32,
    /// Microseconds for which asking is useless.
    #[prost(uint64, tag = "2")]
    pub empty_micros: u64,
    /// Loan, or zero.
    #[prost(uint64, tag = "3")]
    pub loan: u64,
    /// Units lent.
    #[prost(uint64, tag = "4")]
    pub lent: u64,
    /// Units that came back.
    #[prost(uint64, tag = "5")]
    pub returned: u64,
    /// Billionths of tokens lent last.
    #[prost(uint64, tag = "6")]
    pub tokens: u64,
    /// Units to keep.
    #[prost(uint32, tag = "7")]
    pub target: u32,
    /// Microseconds of validity.
    #[prost(uint64, tag = "8")]
    pub valid_micros: u64,
}

/// Tells that granted tokens are spent.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SpentMessage {
    /// Limit.
    #[prost(fixed64, tag = "1")]
    pub limit: u64,
    /// Number of the ask.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

/// Asks for or gives a promise.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PromiseMessage {
    /// Term of the lease.
    #[prost(uint32, tag = "1")]
    pub term: u32,
    /// Number of the question.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

/// Asks for holders.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FindMessage {
    /// Limits.
    #[prost(fixed64, repeated, tag = "1")]
    pub limits: Vec<u64>,
}

/// Tells holders.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KnownMessage {
    /// Holders.
    #[prost(message, repeated, tag = "1")]
    pub holders: Vec<HolderMessage>,
}

/// A limit's holder.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HolderMessage {
    /// Limit.
    #[prost(fixed64, tag = "1")]
    pub limit: u64,
    /// Incarnation of the holder.
    #[prost(fixed64, tag = "2")]
    pub holder: u64,
    /// Term of its lease.
    #[prost(uint32, tag = "3")]
    pub term: u32,
    /// Number of holders so far.
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
}

impl From<&message::LedgerMessage> for LedgerEnvelope {
    fn from(message: &message::LedgerMessage) -> Self {
        let body = match message {
            message::LedgerMessage::TokenRequest(ask) => LedgerBody::Ask(AskMessage {
                limit: ask.limit.as_u64(),
                number: ask.number,
                amount: ask.amount,
                demand_millis: ask.demand_millis,
                loan: ask.loan,
                returned: ask.returned,
                tokens: ask.tokens.0,
            }),
            message::LedgerMessage::TokenAnswer(answer) => LedgerBody::Answer(answer.into()),
            message::LedgerMessage::TokensSpent(notice) => LedgerBody::Spent(SpentMessage {
                limit: notice.limit.as_u64(),
                number: notice.number,
            }),
            message::LedgerMessage::PromiseRequest(promise) => {
                LedgerBody::AskPromise(promise.into())
            }
            message::LedgerMessage::Promise(promise) => LedgerBody::Promise(promise.into()),
            message::LedgerMessage::FindHolders(limits) => LedgerBody::Find(FindMessage {
                limits: limits.iter().map(|limit| limit.as_u64()).collect(),
            }),
            message::LedgerMessage::KnownHolders(holders) => LedgerBody::Known(KnownMessage {
                holders: holders.iter().map(Into::into).collect(),
            }),
        };
        Self { body: Some(body) }
    }
}

impl From<&message::TokenAnswer> for AnswerMessage {
    fn from(answer: &message::TokenAnswer) -> Self {
        let (held, referral) = match &answer.result {
            message::AnswerResult::Held(held) => (Some(held.into()), None),
            message::AnswerResult::NotHeld(referral) => (None, referral.as_ref().map(Into::into)),
        };
        Self { limit: answer.limit.as_u64(), number: answer.number, held, referral }
    }
}

impl From<&message::HeldAnswer> for HeldMessage {
    fn from(held: &message::HeldAnswer) -> Self {
        Self {
            granted: held.granted,
            empty_micros: to_micros(held.retry_after),
            loan: held.loan,
            lent: held.lent,
            returned: held.returned,
            tokens: held.tokens.0,
            target: held.target.as_u32(),
            valid_micros: to_micros(held.valid_for),
        }
    }
}

impl From<&message::LeasePromise> for PromiseMessage {
    fn from(promise: &message::LeasePromise) -> Self {
        Self { term: promise.term, number: promise.number }
    }
}

impl From<&message::KnownHolder> for HolderMessage {
    fn from(known: &message::KnownHolder) -> Self {
        let holder = known.holder;
        Self {
            limit: known.limit.as_u64(),
            holder: holder.holder.as_u64(),
            term: holder.term,
            epoch: holder.epoch,
        }
    }
}

impl TryFrom<LedgerEnvelope> for message::LedgerMessage {
    type Error = LedgerMessageError;

    fn try_from(envelope: LedgerEnvelope) -> Result<Self, LedgerMessageError> {
        Ok(match envelope.body.ok_or(LedgerMessageError::Missing)? {
            LedgerBody::Ask(ask) => Self::TokenRequest(message::TokenRequest {
                limit: limit::LimitId::from_u64(ask.limit),
                number: ask.number,
                amount: ask.amount,
                demand_millis: ask.demand_millis,
                loan: ask.loan,
                returned: ask.returned,
                tokens: bucket::TokenNanos(ask.tokens),
            }),
            LedgerBody::Answer(answer) => Self::TokenAnswer(answer.try_into()?),
            LedgerBody::Spent(spent) => Self::TokensSpent(message::SpentNotice {
                limit: limit::LimitId::from_u64(spent.limit),
                number: spent.number,
            }),
            LedgerBody::AskPromise(promise) => Self::PromiseRequest(promise.into()),
            LedgerBody::Promise(promise) => Self::Promise(promise.into()),
            LedgerBody::Find(find) => {
                Self::FindHolders(find.limits.into_iter().map(limit::LimitId::from_u64).collect())
            }
            LedgerBody::Known(known) => {
                Self::KnownHolders(known.holders.into_iter().map(Into::into).collect())
            }
        })
    }
}

impl TryFrom<AnswerMessage> for message::TokenAnswer {
    type Error = LedgerMessageError;

    fn try_from(answer: AnswerMessage) -> Result<Self, LedgerMessageError> {
        let result = match answer.held {
            Some(held) => message::AnswerResult::Held(held.try_into()?),
            None => message::AnswerResult::NotHeld(answer.referral.map(Into::into)),
        };
        let limit = limit::LimitId::from_u64(answer.limit);
        Ok(Self { limit, number: answer.number, result })
    }
}

impl TryFrom<HeldMessage> for message::HeldAnswer {
    type Error = LedgerMessageError;

    fn try_from(held: HeldMessage) -> Result<Self, LedgerMessageError> {
        let whole = u64::from(share::ShareUnits::WHOLE.as_u32());
        let is_share = held.lent >= held.returned && held.lent - held.returned <= whole;
        if !is_share || u64::from(held.target) > whole {
            return Err(LedgerMessageError::Share);
        }
        Ok(Self {
            granted: held.granted,
            retry_after: time::Duration::from_micros(held.empty_micros),
            loan: held.loan,
            lent: held.lent,
            returned: held.returned,
            tokens: bucket::TokenNanos(held.tokens),
            target: share::ShareUnits::new(held.target),
            valid_for: time::Duration::from_micros(held.valid_micros),
        })
    }
}

impl From<PromiseMessage> for message::LeasePromise {
    fn from(promise: PromiseMessage) -> Self {
        Self { term: promise.term, number: promise.number }
    }
}

impl From<HolderMessage> for message::KnownHolder {
    fn from(known: HolderMessage) -> Self {
        let holder = incarnation::Incarnation::from_u64(known.holder);
        Self {
            limit: limit::LimitId::from_u64(known.limit),
            holder: message::HolderTerm { holder, term: known.term, epoch: known.epoch },
        }
    }
}

fn to_micros(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
