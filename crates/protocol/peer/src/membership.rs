//! Messages about the members, and their conversions.
//!
//! An envelope whose membership message lacks a part or holds an address that
//! cannot be read is dropped whole; the protocol sends again.

use std::sync::Arc;

use marjoramwing_derives as derives;
use marjoramwing_entity::incarnation;
use marjoramwing_membership::member;
use marjoramwing_membership::message;
use marjoramwing_membership::update;

/// One message about the members.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Membership {
    /// Sequence that the sender gives itself.
    #[prost(uint32, tag = "1")]
    pub sequence: u32,
    /// Number of the sender's [`Phase`].
    #[prost(enumeration = "Phase", tag = "2")]
    pub phase: i32,
    /// Digest of the members that the sender knows.
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
    /// What the message asks or answers.
    #[prost(oneof = "Body", tags = "4, 5, 6, 7, 8, 9")]
    pub body: Option<Body>,
    /// Updates that are passed on.
    #[prost(message, repeated, tag = "10")]
    pub updates: Vec<Update>,
}

/// What a message asks or answers.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Asks for an acknowledgement.
    #[prost(message, tag = "4")]
    Ping(Ping),
    /// Tells that a run answers.
    #[prost(message, tag = "5")]
    Ack(Ack),
    /// Asks the receiver to ping a third instance.
    #[prost(message, tag = "6")]
    PingRequest(PingRequest),
    /// Asks for the difference.
    #[prost(message, tag = "7")]
    SyncRequest(SyncRequest),
    /// Carries the difference.
    #[prost(message, tag = "8")]
    SyncAnswer(SyncAnswer),
    /// Only carries updates.
    #[prost(message, tag = "9")]
    Note(Note),
}

/// Asks for an acknowledgement.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Ping {
    /// Number that the answer repeats.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Run that the receiver is taken for.
    #[prost(fixed64, optional, tag = "2")]
    pub target: Option<u64>,
}

/// Tells that a run answers.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Ack {
    /// Number of the question.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Run that answered.
    #[prost(fixed64, tag = "2")]
    pub subject: u64,
}

/// Asks the receiver to ping a third instance.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PingRequest {
    /// Number that the answer repeats.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Run to ping.
    #[prost(fixed64, tag = "2")]
    pub target: u64,
    /// Its peer address.
    #[prost(string, tag = "3")]
    pub address: String,
}

/// Asks for the difference between two instances' members.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SyncRequest {
    /// Members that the sender knows.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<SyncEntry>,
}

/// One member in short.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct SyncEntry {
    /// Run of its process.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Newest sequence.
    #[prost(uint32, tag = "2")]
    pub sequence: u32,
    /// Number of the [`Health`].
    #[prost(enumeration = "Health", tag = "3")]
    pub health: i32,
}

/// Carries the difference between two instances' members.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SyncAnswer {
    /// Runs of which the sender lacks the newest state.
    #[prost(fixed64, repeated, tag = "1")]
    pub wanted: Vec<u64>,
}

/// Only carries updates.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Note {}

/// A statement on one run of one process.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Update {
    /// Run that the statement is about.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Sequence that the run had given itself.
    #[prost(uint32, tag = "2")]
    pub sequence: u32,
    /// Number of the [`Health`].
    #[prost(enumeration = "Health", tag = "3")]
    pub health: i32,
    /// Number of its [`Phase`].
    #[prost(enumeration = "Phase", tag = "4")]
    pub phase: i32,
    /// What it tells of itself.
    #[prost(message, optional, tag = "5")]
    pub profile: Option<Profile>,
}

/// What an instance tells of itself.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Profile {
    /// Unique name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Address for callers.
    #[prost(string, tag = "2")]
    pub callers: String,
    /// Address for peers.
    #[prost(string, tag = "3")]
    pub peers: String,
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

/// Whether a run answers.
#[derives::value]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum Health {
    /// It answers.
    Alive = 0,
    /// It did not answer.
    Suspect = 1,
    /// It has stopped for good.
    Gone = 2,
}

/// How far a run has come.
#[derives::value]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum Phase {
    /// It takes requests.
    Serving = 0,
    /// It has no confirmed tables yet.
    Starting = 1,
    /// It takes no new requests.
    Leaving = 2,
}

/// Why a message cannot be used.
#[derives::record]
#[derive(derive_more::Display, derive_more::Error)]
pub enum MembershipError {
    /// A part is missing.
    #[display("message lacks its body; run one version of the program on all instances")]
    Incomplete,
    /// An address cannot be read.
    #[display("message holds `{text}` as an address; correct the sender's listen addresses")]
    Address {
        /// What was sent.
        #[error(not(source))]
        text: String,
    },
    /// A number is none of the known states.
    #[display("message holds the unknown state {number}; run one version of the program")]
    State {
        /// What was sent.
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
        let body = raw.body.ok_or(MembershipError::Incomplete)?.try_into()?;
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
            message::MembershipBody::Ack { number, subject } => {
                Self::Ack(Ack { number, subject: subject.as_u64() })
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
            message::MembershipBody::UpdatesOnly => Self::Note(Note {}),
        }
    }
}

impl TryFrom<Body> for message::MembershipBody {
    type Error = MembershipError;

    fn try_from(raw: Body) -> Result<Self, Self::Error> {
        let run = incarnation::Incarnation::from_u64;
        Ok(match raw {
            Body::Ping(ping) => Self::Ping { number: ping.number, target: ping.target.map(run) },
            Body::Ack(ack) => Self::Ack { number: ack.number, subject: run(ack.subject) },
            Body::PingRequest(request) => Self::PingRequest {
                number: request.number,
                target: run(request.target),
                address: parse_address(request.address)?,
            },
            Body::SyncRequest(request) => {
                let entries = request.entries.into_iter().map(message::SyncEntry::try_from);
                Self::SyncRequest { entries: entries.collect::<Result<_, _>>()? }
            }
            Body::SyncAnswer(answer) => {
                Self::SyncAnswer { wanted: answer.wanted.into_iter().map(run).collect() }
            }
            Body::Note(Note {}) => Self::UpdatesOnly,
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
            callers: profile.callers.to_string(),
            peers: profile.peers.to_string(),
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
            callers: parse_address(raw.callers)?,
            peers: parse_address(raw.peers)?,
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
