//! Configuration messages and their conversions.
//!
//! A message with an unknown object or without a body is dropped; the sender's
//! protocol retries.

use std::time;

use marjoramwing_configuration::candidate;
use marjoramwing_configuration::message;
use marjoramwing_derives as derives;
use marjoramwing_tables::snapshot;
use marjoramwing_tables::version;

/// Message that propagates the configuration between instances.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Configuration {
    /// Content of the message; senders always set it.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub body: Option<Body>,
}

/// Content of a configuration message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Requests the newest versions.
    #[prost(message, tag = "1")]
    DigestRequest(DigestRequest),
    /// Answers a digest request.
    #[prost(message, tag = "2")]
    DigestAnswer(DigestAnswer),
    /// Announces the newest versions after a change.
    #[prost(message, tag = "3")]
    Notice(Notice),
    /// Requests the text of an object.
    #[prost(message, tag = "4")]
    Fetch(Fetch),
    /// Carries the text of an object.
    #[prost(message, tag = "5")]
    Object(ObjectText),
    /// Requests the next part of a text that is larger than a message. Builds that do not know it
    /// drop it.
    #[prost(message, tag = "6")]
    FetchPart(FetchPart),
    /// Carries one part of such a text.
    #[prost(message, tag = "7")]
    ObjectPart(ObjectPart),
}

/// A version of more than 64 bits.
///
/// Where a field of 64 bits has a counterpart of this type, that is present if the version is
/// [wide](version::FIRST_WIDE). Builds that do not know it read the field of 64 bits.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct WideVersion {
    /// Upper 64 bits.
    #[prost(uint64, tag = "1")]
    pub high: u64,
    /// Lower 64 bits.
    #[prost(uint64, tag = "2")]
    pub low: u64,
}

impl WideVersion {
    /// Returns the counterpart of a field of 64 bits; `None` if the version is not wide.
    fn of(version: u128) -> Option<Self> {
        let (high, low) = ((version >> u64::BITS) as u64, version as u64);
        (version >= version::FIRST_WIDE).then_some(Self { high, low })
    }
}

/// Returns the version that a field of 64 bits and its counterpart state.
fn read_version(narrow: u64, wide: Option<WideVersion>) -> u128 {
    wide.map_or_else(
        || version::widen(narrow),
        |wide| u128::from(wide.high) << u64::BITS | u128::from(wide.low),
    )
}

/// Versions of the objects that make up the tables.
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
    /// Version of the steering configuration.
    #[prost(uint64, tag = "5")]
    pub steering: u64,
    /// Wide version of the routes.
    #[prost(message, optional, tag = "6")]
    pub wide_routes: Option<WideVersion>,
    /// Wide version of the pools.
    #[prost(message, optional, tag = "7")]
    pub wide_pools: Option<WideVersion>,
    /// Wide version of the teams.
    #[prost(message, optional, tag = "8")]
    pub wide_teams: Option<WideVersion>,
    /// Wide version of the keys.
    #[prost(message, optional, tag = "9")]
    pub wide_keys: Option<WideVersion>,
    /// Wide version of the steering configuration.
    #[prost(message, optional, tag = "10")]
    pub wide_steering: Option<WideVersion>,
}

/// Requests the newest versions that the receiver has read.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct DigestRequest {
    /// Number that the answer echoes.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Newest versions that the sender has read.
    #[prost(message, required, tag = "2")]
    pub versions: Versions,
}

/// Reports the newest versions and how fresh they are.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct DigestAnswer {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Newest versions that the sender has read.
    #[prost(message, required, tag = "2")]
    pub versions: Versions,
    /// Milliseconds since the versions were last confirmed against the store, rounded up;
    /// absent if never.
    #[prost(uint64, optional, tag = "3")]
    pub age_ms: Option<u64>,
    /// Milliseconds since the sender's calls to the store began to fail, rounded up; absent if
    /// the last one succeeded.
    #[prost(uint64, optional, tag = "4")]
    pub failing_ms: Option<u64>,
}

/// Announces the newest versions after a change.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Notice {
    /// Newest versions that the sender has read.
    #[prost(message, required, tag = "1")]
    pub versions: Versions,
}

/// Requests the text of an object.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Fetch {
    /// Number of the [`Object`].
    #[prost(enumeration = "Object", tag = "1")]
    pub object: i32,
    /// The object is sent only if the receiver's version is greater than this.
    #[prost(uint64, tag = "2")]
    pub above: u64,
    /// The same if it is a wide version.
    #[prost(message, optional, tag = "3")]
    pub wide_above: Option<WideVersion>,
}

/// Carries the text of an object.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ObjectText {
    /// Number of the [`Object`].
    #[prost(enumeration = "Object", tag = "1")]
    pub object: i32,
    /// Version of the object.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// The same if it is a wide version.
    #[prost(message, optional, tag = "4")]
    pub wide_version: Option<WideVersion>,
    /// JSON text of the object, as read from the store.
    #[prost(bytes = "bytes", tag = "3")]
    pub text: bytes::Bytes,
}

/// Requests the next part of the text of an object.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct FetchPart {
    /// Number of the [`Object`].
    #[prost(enumeration = "Object", tag = "1")]
    pub object: i32,
    /// Version of which a part was received.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// The same if it is a wide version.
    #[prost(message, optional, tag = "3")]
    pub wide_version: Option<WideVersion>,
    /// Position of the part in the text, in bytes.
    #[prost(uint64, tag = "4")]
    pub offset: u64,
}

/// Carries one part of the text of an object.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ObjectPart {
    /// Number of the [`Object`].
    #[prost(enumeration = "Object", tag = "1")]
    pub object: i32,
    /// Version of the object.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// The same if it is a wide version.
    #[prost(message, optional, tag = "3")]
    pub wide_version: Option<WideVersion>,
    /// Position of the part in the text, in bytes.
    #[prost(uint64, tag = "4")]
    pub offset: u64,
    /// Length of the whole text in bytes.
    #[prost(uint64, tag = "5")]
    pub total: u64,
    /// Text of the part.
    #[prost(bytes = "bytes", tag = "6")]
    pub text: bytes::Bytes,
}

/// Object that is part of the tables.
#[derives::value]
#[derive(prost::Enumeration)]
#[repr(i32)]
pub enum Object {
    /// Value of an absent field; never sent.
    Unspecified = 0,
    /// Routes.
    Routes = 1,
    /// Pools.
    Pools = 2,
    /// Teams.
    Teams = 3,
    /// Keys.
    Keys = 4,
    /// Steering configuration.
    Steering = 5,
}

/// Why a configuration message was rejected.
#[derives::record]
#[derive(derive_more::Display, derive_more::Error)]
pub enum ConfigurationError {
    /// The message has no body.
    #[display("configuration message has no body; run the same version on all instances")]
    MissingBody,
    /// The number is not that of a known object.
    #[display(
        "configuration message names unknown object {number}; run the same version on all instances"
    )]
    Object {
        /// Number that was received.
        number: i32,
    },
}

impl From<message::ConfigurationMessage> for Configuration {
    fn from(message: message::ConfigurationMessage) -> Self {
        let body = match message {
            message::ConfigurationMessage::DigestRequest { number, versions } => {
                Body::DigestRequest(DigestRequest { number, versions: versions.into() })
            }
            message::ConfigurationMessage::DigestAnswer { number, versions, age, failing } => {
                Body::DigestAnswer(DigestAnswer {
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
                let wide_above = WideVersion::of(above);
                let object = Object::from(object).into();
                Body::Fetch(Fetch { object, above: version::narrow(above), wide_above })
            }
            message::ConfigurationMessage::FetchPart { object, version, offset } => {
                Body::FetchPart(FetchPart {
                    object: Object::from(object).into(),
                    version: version::narrow(version),
                    wide_version: WideVersion::of(version),
                    offset,
                })
            }
            message::ConfigurationMessage::ObjectPart { object, version, offset, total, text } => {
                Body::ObjectPart(ObjectPart {
                    object: Object::from(object).into(),
                    version: version::narrow(version),
                    wide_version: WideVersion::of(version),
                    offset,
                    total,
                    text,
                })
            }
            message::ConfigurationMessage::Object { object, version, text } => {
                let wide_version = WideVersion::of(version);
                let object = Object::from(object).into();
                let version = version::narrow(version);
                Body::Object(ObjectText { object, version, wide_version, text })
            }
        };
        Self { body: Some(body) }
    }
}

impl TryFrom<Configuration> for message::ConfigurationMessage {
    type Error = ConfigurationError;

    fn try_from(raw: Configuration) -> Result<Self, Self::Error> {
        Ok(match raw.body.ok_or(ConfigurationError::MissingBody)? {
            Body::DigestRequest(request) => {
                Self::DigestRequest { number: request.number, versions: request.versions.into() }
            }
            Body::DigestAnswer(answer) => Self::DigestAnswer {
                number: answer.number,
                versions: answer.versions.into(),
                age: answer.age_ms.map(time::Duration::from_millis),
                failing: answer.failing_ms.map(time::Duration::from_millis),
            },
            Body::Notice(notice) => Self::Notice { versions: notice.versions.into() },
            Body::Fetch(fetch) => {
                let above = read_version(fetch.above, fetch.wide_above);
                Self::Fetch { object: parse_object(fetch.object)?, above }
            }
            Body::FetchPart(part) => Self::FetchPart {
                object: parse_object(part.object)?,
                version: read_version(part.version, part.wide_version),
                offset: part.offset,
            },
            Body::ObjectPart(part) => Self::ObjectPart {
                object: parse_object(part.object)?,
                version: read_version(part.version, part.wide_version),
                offset: part.offset,
                total: part.total,
                text: part.text,
            },
            Body::Object(object) => Self::Object {
                object: parse_object(object.object)?,
                version: read_version(object.version, object.wide_version),
                text: object.text,
            },
        })
    }
}

impl From<snapshot::TableVersions> for Versions {
    fn from(versions: snapshot::TableVersions) -> Self {
        Self {
            routes: version::narrow(versions.routes),
            pools: version::narrow(versions.pools),
            teams: version::narrow(versions.teams),
            keys: version::narrow(versions.keys),
            steering: version::narrow(versions.steering),
            wide_routes: WideVersion::of(versions.routes),
            wide_pools: WideVersion::of(versions.pools),
            wide_teams: WideVersion::of(versions.teams),
            wide_keys: WideVersion::of(versions.keys),
            wide_steering: WideVersion::of(versions.steering),
        }
    }
}

impl From<Versions> for snapshot::TableVersions {
    fn from(raw: Versions) -> Self {
        Self {
            routes: read_version(raw.routes, raw.wide_routes),
            pools: read_version(raw.pools, raw.wide_pools),
            teams: read_version(raw.teams, raw.wide_teams),
            keys: read_version(raw.keys, raw.wide_keys),
            steering: read_version(raw.steering, raw.wide_steering),
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

/// Converts to milliseconds, rounded up so that an age is never understated.
fn to_millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX)
}
