//! Messages of the membership protocol and their conversions.
//!
//! A message without a body, or with an address or state that cannot be
//! parsed, is dropped as a whole; the sender's protocol retries.

use std::sync::Arc;

use marjoramwing_derives as derives;
use marjoramwing_entity::incarnation;
use marjoramwing_membership::member;
use marjoramwing_membership::message;
use marjoramwing_membership::update;

/// Message of the membership protocol.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Membership {
    /// Sequence number of the sender.
    #[prost(uint32, tag = "1")]
    pub sequence: u32,
    /// Number of the sender's [`Phase`].
    #[prost(enumeration = "Phase", tag = "2")]
    pub phase: i32,
    /// Digest of the sequence numbers and phases of the sender and of the members that are
    /// alive or suspected in its roster.
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
    /// Request or answer; senders always set it.
    #[prost(oneof = "Body", tags = "4, 5, 6, 7, 8, 9")]
    pub body: Option<Body>,
    /// Piggybacked updates.
    #[prost(message, repeated, tag = "10")]
    pub updates: Vec<Update>,
}

/// Request or answer of a message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Requests an acknowledgement.
    #[prost(message, tag = "4")]
    Ping(Ping),
    /// Acknowledges a ping.
    #[prost(message, tag = "5")]
    Ack(Ack),
    /// Asks the receiver to ping a third instance (an indirect probe).
    #[prost(message, tag = "6")]
    PingRequest(PingRequest),
    /// Starts a full sync.
    #[prost(message, tag = "7")]
    SyncRequest(SyncRequest),
    /// Answers a full sync; the updates carry what the requester is missing.
    #[prost(message, tag = "8")]
    SyncAnswer(SyncAnswer),
    /// Carries only updates and needs no answer.
    #[prost(message, tag = "9")]
    UpdatesOnly(UpdatesOnly),
}

/// Requests an acknowledgement.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Ping {
    /// Number that the acknowledgement echoes.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Incarnation that the sender expects at the receiver's address, if it knows one.
    #[prost(fixed64, optional, tag = "2")]
    pub target: Option<u64>,
}

/// Acknowledges a ping.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Ack {
    /// Number of the ping or ping request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Incarnation that answered the ping.
    #[prost(fixed64, tag = "2")]
    pub responder: u64,
}

/// Asks the receiver to ping a third instance (an indirect probe).
#[derive(Clone, PartialEq, prost::Message)]
pub struct PingRequest {
    /// Number that the acknowledgement echoes.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Incarnation to ping.
    #[prost(fixed64, tag = "2")]
    pub target: u64,
    /// Peer address of the target.
    #[prost(string, tag = "3")]
    pub address: String,
}

/// Starts a full sync: summarizes the sender's roster and requests the differences.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SyncRequest {
    /// Summaries of the sender's records.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<SyncEntry>,
}

/// Summary of one record in a [`SyncRequest`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct SyncEntry {
    /// Incarnation that the record belongs to.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Highest sequence number known to the sender.
    #[prost(uint32, tag = "2")]
    pub sequence: u32,
    /// Number of the [`Health`].
    #[prost(enumeration = "Health", tag = "3")]
    pub health: i32,
}

/// Answers a full sync; the updates of the message carry what the requester is missing.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SyncAnswer {
    /// Incarnations whose latest state the sender is missing.
    #[prost(fixed64, repeated, tag = "1")]
    pub wanted: Vec<u64>,
}

/// Body of a message that carries only updates.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct UpdatesOnly {}

/// State of one incarnation, as gossiped between instances.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Update {
    /// Incarnation that the update describes.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Sequence number of the incarnation.
    #[prost(uint32, tag = "2")]
    pub sequence: u32,
    /// Number of the [`Health`].
    #[prost(enumeration = "Health", tag = "3")]
    pub health: i32,
    /// Number of the [`Phase`].
    #[prost(enumeration = "Phase", tag = "4")]
    pub phase: i32,
    /// Profile, for receivers that do not know the incarnation yet.
    #[prost(message, optional, tag = "5")]
    pub profile: Option<Profile>,
}

/// Name, addresses and location of an instance.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Profile {
    /// Unique name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Address that callers connect to.
    #[prost(string, tag = "2")]
    pub caller_address: String,
    /// Address that other instances connect to.
    #[prost(string, tag = "3")]
    pub peer_address: String,
    /// Site.
    #[prost(string, tag = "4")]
    pub site: String,
    /// Region.
    #[prost(string, tag = "5")]
    pub region: String,
    /// Failure domain.
    #[prost(string, tag = "6")]
    pub failure_domain: String,
}

/// Gossiped health of an incarnation.
#[derives::value]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum Health {
    /// The member answers probes.
    Alive = 0,
    /// The member failed to answer and may still refute the suspicion.
    Suspect = 1,
    /// The incarnation has stopped or was replaced; this is final.
    Gone = 2,
}

/// Lifecycle phase of an incarnation.
#[derives::value]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum Phase {
    /// Accepts requests.
    Serving = 0,
    /// Has no confirmed tables yet.
    Starting = 1,
    /// Accepts no new requests.
    Leaving = 2,
}

/// Why a membership message was rejected.
#[derives::record]
#[derive(derive_more::Display, derive_more::Error)]
pub enum MembershipError {
    /// The message has no body.
    #[display("membership message has no body; run the same version on all instances")]
    MissingBody,
    /// An address cannot be parsed.
    #[display(
        "membership message contains `{text}` as an address; correct the sender's listen addresses"
    )]
    Address {
        /// Text that was received.
        #[error(not(source))]
        text: String,
    },
    /// The number is not that of a known phase or health.
    #[display(
        "membership message contains unknown state {number}; run the same version on all instances"
    )]
    State {
        /// Number that was received.
        number: i32,
    },
}

impl From<message::MembershipMessage> for Membership {
    fn from(message: message::MembershipMessage) -> Self {
        Self {
            sequence: message.header.sequence,
            phase: Phase::from(message.header.phase).into(),
            digest: message.header.digest,
            body: Some(message.body.into()),
            updates: message.updates.into_iter().map(Update::from).collect(),
        }
    }
}

impl TryFrom<Membership> for message::MembershipMessage {
    type Error = MembershipError;

    fn try_from(raw: Membership) -> Result<Self, Self::Error> {
        let header = message::SenderHeader {
            sequence: raw.sequence,
            phase: parse_phase(raw.phase)?,
            digest: raw.digest,
        };
        let body = raw.body.ok_or(MembershipError::MissingBody)?.try_into()?;
        let updates = raw.updates.into_iter().map(update::MemberUpdate::try_from);
        Ok(Self { header, body, updates: updates.collect::<Result<_, _>>()? })
    }
}

impl From<message::MembershipBody> for Body {
    fn from(body: message::MembershipBody) -> Self {
        match body {
            message::MembershipBody::Ping { number, target } => {
                Self::Ping(Ping { number, target: target.map(incarnation::Incarnation::as_u64) })
            }
            message::MembershipBody::Ack { number, responder } => {
                Self::Ack(Ack { number, responder: responder.as_u64() })
            }
            message::MembershipBody::PingRequest { number, target, address } => {
                let address = address.to_string();
                Self::PingRequest(PingRequest { number, target: target.as_u64(), address })
            }
            message::MembershipBody::SyncRequest { entries } => {
                let entries = entries.into_iter().map(SyncEntry::from).collect();
                Self::SyncRequest(SyncRequest { entries })
            }
            message::MembershipBody::SyncAnswer { wanted } => {
                let wanted = wanted.into_iter().map(incarnation::Incarnation::as_u64).collect();
                Self::SyncAnswer(SyncAnswer { wanted })
            }
            message::MembershipBody::UpdatesOnly => Self::UpdatesOnly(UpdatesOnly {}),
        }
    }
}

impl TryFrom<Body> for message::MembershipBody {
    type Error = MembershipError;

    fn try_from(raw: Body) -> Result<Self, Self::Error> {
        let to_incarnation = incarnation::Incarnation::from_u64;
        Ok(match raw {
            Body::Ping(ping) => {
                Self::Ping { number: ping.number, target: ping.target.map(to_incarnation) }
            }
            Body::Ack(ack) => {
                Self::Ack { number: ack.number, responder: to_incarnation(ack.responder) }
            }
            Body::PingRequest(request) => Self::PingRequest {
                number: request.number,
                target: to_incarnation(request.target),
                address: parse_address(request.address)?,
            },
            Body::SyncRequest(request) => {
                let entries = request.entries.into_iter().map(message::SyncEntry::try_from);
                Self::SyncRequest { entries: entries.collect::<Result<_, _>>()? }
            }
            Body::SyncAnswer(answer) => {
                Self::SyncAnswer { wanted: answer.wanted.into_iter().map(to_incarnation).collect() }
            }
            Body::UpdatesOnly(UpdatesOnly {}) => Self::UpdatesOnly,
        })
    }
}

impl From<message::SyncEntry> for SyncEntry {
    fn from(entry: message::SyncEntry) -> Self {
        Self {
            incarnation: entry.incarnation.as_u64(),
            sequence: entry.sequence,
            health: Health::from(entry.health).into(),
        }
    }
}

impl TryFrom<SyncEntry> for message::SyncEntry {
    type Error = MembershipError;

    fn try_from(raw: SyncEntry) -> Result<Self, Self::Error> {
        Ok(Self {
            incarnation: incarnation::Incarnation::from_u64(raw.incarnation),
            sequence: raw.sequence,
            health: parse_health(raw.health)?,
        })
    }
}

impl From<update::MemberUpdate> for Update {
    fn from(update: update::MemberUpdate) -> Self {
        Self {
            incarnation: update.incarnation.as_u64(),
            sequence: update.sequence,
            health: Health::from(update.health).into(),
            phase: Phase::from(update.phase).into(),
            profile: update.profile.map(|profile| Profile::from(&*profile)),
        }
    }
}

impl TryFrom<Update> for update::MemberUpdate {
    type Error = MembershipError;

    fn try_from(raw: Update) -> Result<Self, Self::Error> {
        let profile = raw.profile.map(member::MemberProfile::try_from).transpose()?;
        Ok(Self {
            incarnation: incarnation::Incarnation::from_u64(raw.incarnation),
            sequence: raw.sequence,
            health: parse_health(raw.health)?,
            phase: parse_phase(raw.phase)?,
            profile: profile.map(Arc::new),
        })
    }
}

impl From<&member::MemberProfile> for Profile {
    fn from(profile: &member::MemberProfile) -> Self {
        Self {
            name: profile.name.to_string(),
            caller_address: profile.caller_address.to_string(),
            peer_address: profile.peer_address.to_string(),
            site: profile.site.to_string(),
            region: profile.region.to_string(),
            failure_domain: profile.failure_domain.to_string(),
        }
    }
}

impl TryFrom<Profile> for member::MemberProfile {
    type Error = MembershipError;

    fn try_from(raw: Profile) -> Result<Self, Self::Error> {
        Ok(Self {
            name: raw.name.into(),
            caller_address: parse_address(raw.caller_address)?,
            peer_address: parse_address(raw.peer_address)?,
            site: raw.site.into(),
            region: raw.region.into(),
            failure_domain: raw.failure_domain.into(),
        })
    }
}

impl From<update::UpdateHealth> for Health {
    fn from(health: update::UpdateHealth) -> Self {
        match health {
            update::UpdateHealth::Alive => Self::Alive,
            update::UpdateHealth::Suspect => Self::Suspect,
            update::UpdateHealth::Gone => Self::Gone,
        }
    }
}

impl From<member::MemberPhase> for Phase {
    fn from(phase: member::MemberPhase) -> Self {
        match phase {
            member::MemberPhase::Starting => Self::Starting,
            member::MemberPhase::Serving => Self::Serving,
            member::MemberPhase::Leaving => Self::Leaving,
        }
    }
}

fn parse_phase(number: i32) -> Result<member::MemberPhase, MembershipError> {
    match Phase::try_from(number) {
        Ok(Phase::Starting) => Ok(member::MemberPhase::Starting),
        Ok(Phase::Serving) => Ok(member::MemberPhase::Serving),
        Ok(Phase::Leaving) => Ok(member::MemberPhase::Leaving),
        Err(_) => Err(MembershipError::State { number }),
    }
}

fn parse_health(number: i32) -> Result<update::UpdateHealth, MembershipError> {
    match Health::try_from(number) {
        Ok(Health::Alive) => Ok(update::UpdateHealth::Alive),
        Ok(Health::Suspect) => Ok(update::UpdateHealth::Suspect),
        Ok(Health::Gone) => Ok(update::UpdateHealth::Gone),
        Err(_) => Err(MembershipError::State { number }),
    }
}

fn parse_address(text: String) -> Result<std::net::SocketAddr, MembershipError> {
    text.parse().map_err(|_| MembershipError::Address { text })
}
