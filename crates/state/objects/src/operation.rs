//! Operations on objects and their answers.

use std::sync::Arc;
use std::time;

use marjoramwing_derives as derives;

use crate::object;

/// An operation that a decision asks for.
#[derives::record]
pub enum StoreOperation {
    /// Reads one object.
    Read(object::ObjectName),
    /// Writes one object if its version still is as expected.
    Write(ConditionalWrite),
}

impl StoreOperation {
    /// Returns the object that the operation is about.
    #[must_use]
    pub fn object(&self) -> &object::ObjectName {
        match self {
            Self::Read(name) => name,
            Self::Write(write) => &write.name,
        }
    }
}

/// A write that takes effect only at the expected version.
#[derives::record]
pub struct ConditionalWrite {
    /// Object to write.
    pub name: object::ObjectName,
    /// Version that the object must have; `None` when it must not exist.
    pub expected: Option<object::ObjectVersion>,
    /// New value, as JSON text.
    pub value: bytes::Bytes,
}

/// The answer to an operation.
#[derives::record]
pub enum StoreAnswer {
    /// The object as read.
    Found(StoredObject),
    /// The object does not exist.
    Missing,
    /// The write took effect and gave this version.
    Written(object::ObjectVersion),
    /// The write had no effect, since the version was another.
    Conflict(Option<object::ObjectVersion>),
    /// The store refused the operation, which had no effect.
    Rejected,
    /// No answer came: a write may or may not have taken effect.
    Unknown,
}

/// An object as read.
#[derives::record]
pub struct StoredObject {
    /// Version that was read.
    pub version: object::ObjectVersion,
    /// Value that was read, as JSON text.
    pub value: bytes::Bytes,
}

/// A wait for changes of one kind of object.
#[derives::record]
pub struct WatchRequest {
    /// Kind to watch.
    pub kind: object::ObjectKind,
    /// Revision of the kind up to which changes are known.
    pub after: u64,
    /// Longest wait.
    pub wait: time::Duration,
}

/// What a watch tells.
#[derives::record]
pub struct WatchAnswer {
    /// Revision of the kind that the answer brings the watcher to.
    pub revision: u64,
    /// Objects that changed since, with their current versions.
    pub changes: Vec<ObjectChange>,
    /// Whether the answer names every object of the kind, since the changes are not known.
    pub is_whole: bool,
}

/// One changed object.
#[derives::record]
pub struct ObjectChange {
    /// Object that changed.
    pub name: object::ObjectName,
    /// Its current version.
    pub version: object::ObjectVersion,
    /// What the answer tells of its value.
    pub value: ChangedValue,
}

/// What a watch tells of an object's value.
#[derives::record]
pub enum ChangedValue {
    /// Nothing; the object has to be read.
    Untold,
    /// The value at the version, as JSON text.
    Told(bytes::Bytes),
    /// The object was deleted.
    Deleted,
    /// The value is not one of its kind; the text says why.
    Unreadable(Arc<str>),
}
