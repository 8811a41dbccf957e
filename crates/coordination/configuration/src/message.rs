//! What instances send each other about the configuration.

use std::time;

use marjoramwing_derives as derives;
use marjoramwing_tables::snapshot;

use crate::candidate;

/// One message.
#[derives::record]
pub enum ConfigurationMessage {
    /// Asks for an [`Answer`](Self::Answer).
    Ask {
        /// Number that the answer repeats.
        number: u64,
        /// Newest versions that the sender has read.
        versions: snapshot::TableVersions,
    },
    /// Tells the newest versions and the state of the store.
    Answer {
        /// Number of the question.
        number: u64,
        /// Newest versions that the sender has read.
        versions: snapshot::TableVersions,
        /// Time since the store confirmed that nothing is newer, if ever.
        age: Option<time::Duration>,
        /// Time for which the sender's own calls to the store have failed, if they do.
        failing: Option<time::Duration>,
    },
    /// Tells the newest versions after a change.
    Notice {
        /// Newest versions that the sender has read.
        versions: snapshot::TableVersions,
    },
    /// Asks for the text of an object.
    Fetch {
        /// Object to send.
        object: candidate::TableObject,
        /// Version above which it is wanted.
        above: u64,
    },
    /// Carries the text of an object.
    Object {
        /// Object that is carried.
        object: candidate::TableObject,
        /// Its version.
        version: u64,
        /// Its text as read from the store.
        text: bytes::Bytes,
    },
}
