//! Operations on objects and their answers.

use std::sync::Arc;
use std::time;

use marjoramwing_derives as derives;

use crate::object;
use crate::position;

/// An operation on the object store.
#[derives::record]
pub enum StoreOperation {
    /// Reads one object.
    Read(object::ObjectName),
    /// Writes one object if its version is the expected one (compare-and-set).
    Write(ConditionalWrite),
}

impl StoreOperation {
    /// Returns the name of the object that is read or written.
    #[must_use]
    pub fn object(&self) -> &object::ObjectName {
        match self {
            Self::Read(name) => name,
            Self::Write(write) => &write.name,
        }
    }
}

/// A write that takes effect only if the object has the expected version.
#[derives::record]
pub struct ConditionalWrite {
    /// Object to write.
    pub name: object::ObjectName,
    /// Version that the object must have; `None` if it must not exist.
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
    /// The write took effect; the object now has this version.
    Written(object::ObjectVersion),
    /// The write had no effect, since the object has another version or does not exist. `None`
    /// if it does not exist or the store did not state its version.
    Conflict(Option<object::ObjectVersion>),
    /// The operation had no effect: the store rejected it, or no connection to the store could
    /// be opened.
    Rejected,
    /// The result is unknown: a read returned nothing usable, or a write may or may not have
    /// taken effect.
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

/// A long poll for changes of one kind of object.
#[derives::record]
pub struct WatchRequest {
    /// Kind to watch.
    pub kind: object::ObjectKind,
    /// Position up to which the watcher knows all changes of the kind: that of the previous
    /// answer, or the start.
    pub after: position::StorePosition,
    /// Maximum time that the store may hold the request.
    pub wait: time::Duration,
}

/// The answer to a watch.
#[derives::record]
pub struct WatchAnswer {
    /// Position up to which the answer covers all changes of the kind.
    ///
    /// Changes of other kinds may increase it too: a store of the platform dialect counts the
    /// changes of all kinds together.
    pub position: position::StorePosition,
    /// Objects that changed since [`WatchRequest::after`]. An object may be listed more
    /// than once, if the store sends each of its changes.
    pub changes: Vec<ObjectChange>,
    /// Whether `changes` lists every object of the kind, because the individual changes are not
    /// known; an object that is not listed does not exist.
    ///
    /// It is also set on each page of a list, which is complete only once the store client has
    /// merged all pages.
    pub is_full_list: bool,
}

/// One changed object.
#[derives::record]
pub struct ObjectChange {
    /// Object that changed.
    pub name: object::ObjectName,
    /// Version after the change; may be 0 if the object is malformed or deleted.
    pub version: object::ObjectVersion,
    /// Value after the change, if the answer includes it.
    pub value: ChangedValue,
}

/// The value of a changed object in the answer to a watch.
#[derives::record]
pub enum ChangedValue {
    /// Not included; the object has to be read.
    Omitted,
    /// The value at the version, as JSON text.
    Included(bytes::Bytes),
    /// The object was deleted.
    Deleted,
    /// The value is not valid for its kind; the text gives the reason.
    Malformed(Arc<str>),
}
