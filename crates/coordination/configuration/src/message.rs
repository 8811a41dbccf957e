//! Messages that instances exchange about the configuration.

use std::time;

use marjoramwing_derives as derives;
use marjoramwing_tables::snapshot;

use crate::candidate;

/// A message from one instance to another.
#[derives::record]
pub enum ConfigurationMessage {
    /// Carries the sender's digest, which is its newest versions, and asks for a
    /// [`DigestAnswer`](Self::DigestAnswer).
    DigestRequest {
        /// Number that the answer repeats.
        number: u64,
        /// Newest versions that the sender has read.
        versions: snapshot::TableVersions,
    },
    /// Answers a digest with the sender's own versions and its view of the store.
    DigestAnswer {
        /// Number of the digest request that is answered.
        number: u64,
        /// Newest versions that the sender has read.
        versions: snapshot::TableVersions,
        /// Time since the versions were last confirmed against the store; `None` if never.
        age: Option<time::Duration>,
        /// Time since the sender's calls to the store began to fail; `None` if the last one
        /// succeeded.
        failing: Option<time::Duration>,
    },
    /// Announces the sender's newest versions after a change.
    Notice {
        /// Newest versions that the sender has read.
        versions: snapshot::TableVersions,
    },
    /// Requests the text of an object.
    Fetch {
        /// Requested object.
        object: candidate::TableObject,
        /// The object is sent only if the receiver's version is greater than this.
        above: u128,
    },
    /// Requests the next part of a text that is larger than a message.
    FetchPart {
        /// Requested object.
        object: candidate::TableObject,
        /// Version of which a part was received.
        version: u128,
        /// Position of the part in the text, in bytes.
        offset: u64,
    },
    /// Carries one part of a text that is larger than a message.
    ObjectPart {
        /// Object that the text belongs to.
        object: candidate::TableObject,
        /// Version of the object.
        version: u128,
        /// Position of the part in the text, in bytes.
        offset: u64,
        /// Length of the whole text in bytes.
        total: u64,
        /// Text of the part.
        text: bytes::Bytes,
    },
    /// Carries the text of an object.
    Object {
        /// Object that the text belongs to.
        object: candidate::TableObject,
        /// Version of the object.
        version: u128,
        /// Text of the object, as read from the store.
        text: bytes::Bytes,
    },
}
