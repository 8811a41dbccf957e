//! Wire format of the messages between the ledgers of two instances.

use std::time;

use marjoramwing_derives as derives;
use marjoramwing_entity::incarnation;
use marjoramwing_ledger::bucket;
use marjoramwing_ledger::limit;
use marjoramwing_ledger::message;
use marjoramwing_ledger::share;

/// Why a ledger message was rejected.
#[derives::value]
#[derive(derive_more::Display, derive_more::Error)]
pub enum LedgerMessageError {
    /// The message has no body.
    #[display("ledger message has no body; run the same version on all instances")]
    MissingBody,
    /// The lent share or its target exceeds the whole limit, or more units were returned than lent.
    #[display("ledger message contains a share above the whole limit; check the sender's version")]
    Share,
}

/// Message between the ledgers of two instances.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LedgerEnvelope {
    /// Content of the message; senders always set it.
    #[prost(oneof = "LedgerBody", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub body: Option<LedgerBody>,
}

/// Content of a ledger message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum LedgerBody {
    /// Requests tokens from a limit's holder.
    #[prost(message, tag = "1")]
    TokenRequest(TokenRequestMessage),
    /// Answers a token request.
    #[prost(message, tag = "2")]
    TokenAnswer(TokenAnswerMessage),
    /// Reports that granted tokens are spent or discarded.
    #[prost(message, tag = "3")]
    TokensSpent(TokensSpentMessage),
    /// Asks the successor not to take over for the length of one lease.
    #[prost(message, tag = "4")]
    PromiseRequest(PromiseMessage),
    /// Promises not to take over for the length of one lease.
    #[prost(message, tag = "5")]
    Promise(PromiseMessage),
    /// Asks which holders the peer knows.
    #[prost(message, tag = "6")]
    FindHolders(FindHoldersMessage),
    /// Lists known holders.
    #[prost(message, tag = "7")]
    KnownHolders(KnownHoldersMessage),
}

/// Requests tokens from a limit's holder and reports the state of the loan.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TokenRequestMessage {
    /// Identifier of the limit.
    #[prost(fixed64, tag = "1")]
    pub limit: u64,
    /// Number of the request, unique within one incarnation of the requester.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Tokens wanted now; zero when the request only renews the loan.
    #[prost(uint32, tag = "3")]
    pub amount: u32,
    /// Demand at the requester, in thousandths of requests per second.
    #[prost(uint64, tag = "4")]
    pub demand_millis: u64,
    /// Identifier of the loan; zero when there is none.
    #[prost(uint64, tag = "5")]
    pub loan: u64,
    /// Total units of that loan returned so far.
    #[prost(uint64, tag = "6")]
    pub returned: u64,
    /// Billionths of tokens that come with the units returned since the previous request.
    #[prost(uint64, tag = "7")]
    pub tokens: u64,
}

/// Answers a token request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TokenAnswerMessage {
    /// Identifier of the limit.
    #[prost(fixed64, tag = "1")]
    pub limit: u64,
    /// Number of the token request that is answered.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The holder's answer; absent when the sender does not hold the limit.
    #[prost(message, optional, tag = "3")]
    pub held: Option<HeldAnswerMessage>,
    /// The holder that the sender knows of, when it does not hold the limit itself.
    #[prost(message, optional, tag = "4")]
    pub referral: Option<KnownHolderMessage>,
}

/// A holder's answer to a token request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HeldAnswerMessage {
    /// Tokens that the requester may spend.
    #[prost(uint32, tag = "1")]
    pub granted: u32,
    /// Microseconds for which another request would get no token.
    #[prost(uint64, tag = "2")]
    pub retry_after_micros: u64,
    /// Identifier of the loan; zero when there is none.
    #[prost(uint64, tag = "3")]
    pub loan: u64,
    /// Total units of that loan lent so far.
    #[prost(uint64, tag = "4")]
    pub lent: u64,
    /// Total units of that loan returned so far.
    #[prost(uint64, tag = "5")]
    pub returned: u64,
    /// Billionths of tokens that come with the units lent by this answer.
    #[prost(uint64, tag = "6")]
    pub tokens: u64,
    /// Units that the requester should keep; it returns the units above if they are many.
    #[prost(uint32, tag = "7")]
    pub target: u32,
    /// Microseconds for which the loan is valid, counted from when the request was sent.
    #[prost(uint64, tag = "8")]
    pub valid_micros: u64,
}

/// Reports that all tokens granted up to a request are spent or discarded.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TokensSpentMessage {
    /// Identifier of the limit.
    #[prost(fixed64, tag = "1")]
    pub limit: u64,
    /// Number of the last token request whose tokens are spent or discarded.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

/// A request for a successor's promise, or the promise itself.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PromiseMessage {
    /// Term of the lease that the promise covers.
    #[prost(uint32, tag = "1")]
    pub term: u32,
    /// Number of the promise request, which the promise echoes.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

/// Asks which holders the peer knows.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FindHoldersMessage {
    /// Identifiers of the limits.
    #[prost(fixed64, repeated, tag = "1")]
    pub limits: Vec<u64>,
}

/// Lists known holders.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KnownHoldersMessage {
    /// Holders that the sender knows.
    #[prost(message, repeated, tag = "1")]
    pub holders: Vec<KnownHolderMessage>,
}

/// The holder of a limit.
#[derive(Clone, PartialEq, prost::Message)]
pub struct KnownHolderMessage {
    /// Identifier of the limit.
    #[prost(fixed64, tag = "1")]
    pub limit: u64,
    /// Incarnation of the holder.
    #[prost(fixed64, tag = "2")]
    pub holder: u64,
    /// Term of the holder's lease.
    #[prost(uint32, tag = "3")]
    pub term: u32,
    /// Number of holders that the limit has had, this one included.
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
}

impl From<&message::LedgerMessage> for LedgerEnvelope {
    fn from(message: &message::LedgerMessage) -> Self {
        let body = match message {
            message::LedgerMessage::TokenRequest(request) => {
                LedgerBody::TokenRequest(TokenRequestMessage {
                    limit: request.limit.as_u64(),
                    number: request.number,
                    amount: request.amount,
                    demand_millis: request.demand_millis,
                    loan: request.loan,
                    returned: request.returned,
                    tokens: request.tokens.0,
                })
            }
            message::LedgerMessage::TokenAnswer(answer) => LedgerBody::TokenAnswer(answer.into()),
            message::LedgerMessage::TokensSpent(notice) => {
                LedgerBody::TokensSpent(TokensSpentMessage {
                    limit: notice.limit.as_u64(),
                    number: notice.number,
                })
            }
            message::LedgerMessage::PromiseRequest(promise) => {
                LedgerBody::PromiseRequest(promise.into())
            }
            message::LedgerMessage::Promise(promise) => LedgerBody::Promise(promise.into()),
            message::LedgerMessage::FindHolders(limits) => {
                LedgerBody::FindHolders(FindHoldersMessage {
                    limits: limits.iter().map(|limit| limit.as_u64()).collect(),
                })
            }
            message::LedgerMessage::KnownHolders(holders) => {
                LedgerBody::KnownHolders(KnownHoldersMessage {
                    holders: holders.iter().map(Into::into).collect(),
                })
            }
        };
        Self { body: Some(body) }
    }
}

impl From<&message::TokenAnswer> for TokenAnswerMessage {
    fn from(answer: &message::TokenAnswer) -> Self {
        let (held, referral) = match &answer.result {
            message::AnswerResult::Held(held) => (Some(held.into()), None),
            message::AnswerResult::NotHeld(referral) => (None, referral.as_ref().map(Into::into)),
        };
        Self { limit: answer.limit.as_u64(), number: answer.number, held, referral }
    }
}

impl From<&message::HeldAnswer> for HeldAnswerMessage {
    fn from(held: &message::HeldAnswer) -> Self {
        Self {
            granted: held.granted,
            retry_after_micros: to_micros(held.retry_after),
            loan: held.loan,
            lent: held.lent,
            returned: held.returned,
            tokens: held.tokens.0,
            target: held.target_share.as_u32(),
            valid_micros: to_micros(held.valid_for),
        }
    }
}

impl From<&message::LeasePromise> for PromiseMessage {
    fn from(promise: &message::LeasePromise) -> Self {
        Self { term: promise.term, number: promise.number }
    }
}

impl From<&message::KnownHolder> for KnownHolderMessage {
    fn from(known: &message::KnownHolder) -> Self {
        let entry = known.entry;
        Self {
            limit: known.limit.as_u64(),
            holder: entry.holder.as_u64(),
            term: entry.term,
            epoch: entry.epoch,
        }
    }
}

impl TryFrom<LedgerEnvelope> for message::LedgerMessage {
    type Error = LedgerMessageError;

    fn try_from(envelope: LedgerEnvelope) -> Result<Self, LedgerMessageError> {
        Ok(match envelope.body.ok_or(LedgerMessageError::MissingBody)? {
            LedgerBody::TokenRequest(request) => Self::TokenRequest(message::TokenRequest {
                limit: limit::LimitId::from_u64(request.limit),
                number: request.number,
                amount: request.amount,
                demand_millis: request.demand_millis,
                loan: request.loan,
                returned: request.returned,
                tokens: bucket::TokenNanos(request.tokens),
            }),
            LedgerBody::TokenAnswer(answer) => Self::TokenAnswer(answer.try_into()?),
            LedgerBody::TokensSpent(spent) => Self::TokensSpent(message::TokensSpent {
                limit: limit::LimitId::from_u64(spent.limit),
                number: spent.number,
            }),
            LedgerBody::PromiseRequest(promise) => Self::PromiseRequest(promise.into()),
            LedgerBody::Promise(promise) => Self::Promise(promise.into()),
            LedgerBody::FindHolders(find) => {
                Self::FindHolders(find.limits.into_iter().map(limit::LimitId::from_u64).collect())
            }
            LedgerBody::KnownHolders(known) => {
                Self::KnownHolders(known.holders.into_iter().map(Into::into).collect())
            }
        })
    }
}

impl TryFrom<TokenAnswerMessage> for message::TokenAnswer {
    type Error = LedgerMessageError;

    fn try_from(answer: TokenAnswerMessage) -> Result<Self, LedgerMessageError> {
        let result = match answer.held {
            Some(held) => message::AnswerResult::Held(held.try_into()?),
            None => message::AnswerResult::NotHeld(answer.referral.map(Into::into)),
        };
        let limit = limit::LimitId::from_u64(answer.limit);
        Ok(Self { limit, number: answer.number, result })
    }
}

impl TryFrom<HeldAnswerMessage> for message::HeldAnswer {
    type Error = LedgerMessageError;

    fn try_from(held: HeldAnswerMessage) -> Result<Self, LedgerMessageError> {
        let whole = u64::from(share::ShareUnits::WHOLE.as_u32());
        let is_valid_share = held.lent >= held.returned && held.lent - held.returned <= whole;
        if !is_valid_share || u64::from(held.target) > whole {
            return Err(LedgerMessageError::Share);
        }
        Ok(Self {
            granted: held.granted,
            retry_after: time::Duration::from_micros(held.retry_after_micros),
            loan: held.loan,
            lent: held.lent,
            returned: held.returned,
            tokens: bucket::TokenNanos(held.tokens),
            target_share: share::ShareUnits::new(held.target),
            valid_for: time::Duration::from_micros(held.valid_micros),
        })
    }
}

impl From<PromiseMessage> for message::LeasePromise {
    fn from(promise: PromiseMessage) -> Self {
        Self { term: promise.term, number: promise.number }
    }
}

impl From<KnownHolderMessage> for message::KnownHolder {
    fn from(known: KnownHolderMessage) -> Self {
        let holder = incarnation::Incarnation::from_u64(known.holder);
        Self {
            limit: limit::LimitId::from_u64(known.limit),
            entry: message::HolderTerm { holder, term: known.term, epoch: known.epoch },
        }
    }
}

fn to_micros(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
