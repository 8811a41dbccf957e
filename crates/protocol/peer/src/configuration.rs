//! Messages about the configuration, and their conversions.
//!
//! A message that names an unknown object or lacks its body is dropped; the
//! protocol sends again.

use std::time;

use marjoramwing_configuration::candidate;
use marjoramwing_configuration::message;
use marjoramwing_derives as derives;
use marjoramwing_tables::snapshot;

/// One message about the configuration.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Configuration {
    /// What the message asks or tells.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5")]
    pub body: Option<Body>,
}

/// What a message asks or tells.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Asks for the newest versions.
    #[prost(message, tag = "1")]
    Ask(Ask),
    /// Tells the newest versions and the state of the store.
    #[prost(message, tag = "2")]
    Answer(Answer),
    /// Tells the newest versions after a change.
    #[prost(message, tag = "3")]
    Notice(Notice),
    /// Asks for the text of an object.
    #[prost(message, tag = "4")]
    Fetch(Fetch),
    /// Carries the text of an object.
    #[prost(message, tag = "5")]
    Object(ObjectText),
}

/// Versions of all objects.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Versions {
    /// Version of the routes.
    #[prost(uint64, tag = "1")]
    pub routes: u64,
    /// Version of the pools.
    #[prost(uint64, tag = "2")]
    pub pools: u64,
    /// Version of the teams.
    #[prost(uint64, tag = "3")]
    pub teams: u64,
    /// Version of the keys.
    #[prost(uint64, tag = "4")]
    pub keys: u64,
    /// Version of the steering.
    #[prost(uint64, tag = "5")]
    pub steering: u64,
}

/// Asks for the newest versions.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Ask {
    /// Number that the answer repeats.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Newest versions that the sender has read.
    #[prost(message, required, tag = "2")]
    pub versions: Versions,
}

/// Tells the newest versions and the state of the store.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Answer {
    /// Number of the question.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Newest versions that the sender has read.
    #[prost(message, required, tag = "2")]
    pub versions: Versions,
    /// Milliseconds since the store confirmed them, rounded up.
    #[prost(uint64, optional, tag = "3")]
    pub age_ms: Option<u64>,
    /// Milliseconds for which the sender's calls to the store have failed.
    #[prost(uint64, optional, tag = "4")]
    pub failing_ms: Option<u64>,
}

/// Tells the newest versions after a change.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Notice {
    /// Newest versions that the sender has read.
    #[prost(message, required, tag = "1")]
    pub versions: Versions,
}

/// Asks for the text of an object.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Fetch {
    /// Number of the [`Object`].
    #[prost(enumeration = "Object", tag = "1")]
    pub object: i32,
    /// Version above which it is wanted.
    #[prost(uint64, tag = "2")]
    pub above: u64,
}

/// Carries the text of an object.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ObjectText {
    /// Number of the [`Object`].
    #[prost(enumeration = "Object", tag = "1")]
    pub object: i32,
    /// Its version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Its text.
    #[prost(bytes = "bytes", tag = "3")]
    pub text: bytes::Bytes,
}

/// The objects that make up the tables.
#[derives::value]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum Object {
    /// None; never sent.
    Unspecified = 0,
    /// Routes.
    Routes = 1,
    /// Pools.
    Pools = 2,
    /// Teams.
    Teams = 3,
    /// Keys.
    Keys = 4,
    /// Steering.
    Steering = 5,
}

/// Why a message cannot be used.
#[derives::record]
#[derive(derive_more::Display, derive_more::Error)]
pub enum ConfigurationError {
    /// The body is missing.
    #[display("message lacks its body; run one version of the program on all instances")]
    Incomplete,
    /// A number is none of the known objects.
    #[display("message names the unknown object {number}; run one version of the program")]
    Object {
        /// What was sent.
        number: i32,
    },
}

impl From<message::ConfigurationMessage> for Configuration {
    fn from(message: message::ConfigurationMessage) -> Self {
        let body = match message {
            message::ConfigurationMessage::DigestRequest { number, versions } => {
                Body::Ask(Ask { number, versions: versions.into() })
            }
            message::ConfigurationMessage::DigestAnswer { number, versions, age, failing } => {
                Body::Answer(Answer {
                    number,
                    versions: versions.into(),
                    age_ms: age.map(to_millis),
                    failing_ms: failing.map(to_millis),
                })
            }
            message::ConfigurationMessage::Notice { versions } => {
                Body::Notice(Notice { versions: versions.into() })
            }
            message::ConfigurationMessage::Fetch { object, above } => {
                Body::Fetch(Fetch { object: Object::from(object).into(), above })
            }
            message::ConfigurationMessage::Object { object, version, text } => {
                Body::Object(ObjectText { object: Object::from(object).into(), version, text })
            }
        };
        Self { body: Some(body) }
    }
}

impl TryFrom<Configuration> for message::ConfigurationMessage {
    type Error = ConfigurationError;

    fn try_from(raw: Configuration) -> Result<Self, Self::Error> {
        Ok(match raw.body.ok_or(ConfigurationError::Incomplete)? {
            Body::Ask(ask) => {
                Self::DigestRequest { number: ask.number, versions: ask.versions.into() }
            }
            Body::Answer(answer) => Self::DigestAnswer {
                number: answer.number,
                versions: answer.versions.into(),
                age: answer.age_ms.map(time::Duration::from_millis),
                failing: answer.failing_ms.map(time::Duration::from_millis),
            },
            Body::Notice(notice) => Self::Notice { versions: notice.versions.into() },
            Body::Fetch(fetch) => {
                Self::Fetch { object: parse_object(fetch.object)?, above: fetch.above }
            }
            Body::Object(object) => Self::Object {
                object: parse_object(object.object)?,
                version: object.version,
                text: object.text,
            },
        })
    }
}

impl From<snapshot::TableVersions> for Versions {
    fn from(versions: snapshot::TableVersions) -> Self {
        Self {
            routes: versions.routes,
            pools: versions.pools,
            teams: versions.teams,
            keys: versions.keys,
            steering: versions.steering,
        }
    }
}

impl From<Versions> for snapshot::TableVersions {
    fn from(raw: Versions) -> Self {
        Self {
            routes: raw.routes,
            pools: raw.pools,
            teams: raw.teams,
            keys: raw.keys,
            steering: raw.steering,
        }
    }
}

impl From<candidate::TableObject> for Object {
    fn from(object: candidate::TableObject) -> Self {
        match object {
            candidate::TableObject::Routes => Self::Routes,
            candidate::TableObject::Pools => Self::Pools,
            candidate::TableObject::Teams => Self::Teams,
            candidate::TableObject::Keys => Self::Keys,
            candidate::TableObject::Steering => Self::Steering,
        }
    }
}

fn parse_object(number: i32) -> Result<candidate::TableObject, ConfigurationError> {
    match Object::try_from(number) {
        Ok(Object::Routes) => Ok(candidate::TableObject::Routes),
        Ok(Object::Pools) => Ok(candidate::TableObject::Pools),
        Ok(Object::Teams) => Ok(candidate::TableObject::Teams),
        Ok(Object::Keys) => Ok(candidate::TableObject::Keys),
        Ok(Object::Steering) => Ok(candidate::TableObject::Steering),
        Ok(Object::Unspecified) | Err(_) => Err(ConfigurationError::Object { number }),
    }
}

/// Rounds up, so that an age is never told too small.
fn to_millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}
