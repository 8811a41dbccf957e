//! The object storage of the platform.
//!
//! Invariant: the versions of an object increase monotonically, even across a
//! deletion, and a deletion is a change that later watches report.

use std::collections;

use marjoramwing_derives as derives;
use marjoramwing_object_api::watch;
use marjoramwing_objects::object;

/// Kind and name of an object.
#[derives::name]
pub(crate) struct ObjectPath {
    pub(crate) kind: String,
    pub(crate) name: String,
}

/// One version of an object.
#[derive(Debug, Clone)]
pub(crate) struct StoredValue {
    pub(crate) version: object::ObjectVersion,
    /// `None` if this version is a deletion.
    pub(crate) value: Option<bytes::Bytes>,
    /// Revision of the storage that the change created.
    revision: u64,
}

#[derive(Debug)]
struct ObjectHistory {
    current: StoredValue,
    previous: Option<StoredValue>,
}

/// The precondition of a conditional change.
#[derives::value]
pub(crate) enum ExpectedVersion {
    /// The object does not exist.
    Missing,
    /// The object has this version.
    At(object::ObjectVersion),
}

/// All objects, each with its current and its previous version.
#[derive(Debug, Default)]
pub(crate) struct ObjectStorage {
    objects: collections::BTreeMap<ObjectPath, ObjectHistory>,
    revision: u64,
}

impl ObjectStorage {
    /// Returns the current version of an object, or the previous one if it exists and
    /// a stale read is requested; `None` if there is no such object or the version is a
    /// deletion.
    pub(crate) fn read(&self, path: &ObjectPath, stale: bool) -> Option<&StoredValue> {
        let history = self.objects.get(path)?;
        let previous = history.previous.as_ref().filter(|_| stale);
        let read = previous.unwrap_or(&history.current);
        read.value.is_some().then_some(read)
    }

    /// Changes an object unconditionally; `None` deletes it.
    pub(crate) fn change(
        &mut self,
        path: ObjectPath,
        value: Option<bytes::Bytes>,
    ) -> object::ObjectVersion {
        self.revision += 1;
        let history = self.objects.remove(&path);
        let previous = history.map(|history| history.current);
        let version = previous.as_ref().map_or(1, |previous| previous.version.0 + 1);
        let version = object::ObjectVersion(version);
        let current = StoredValue { version, value, revision: self.revision };
        self.objects.insert(path, ObjectHistory { current, previous });
        version
    }

    /// Changes an object if its version is as expected.
    ///
    /// # Errors
    ///
    /// Returns the current version of the object, `None` if it does not exist.
    pub(crate) fn change_if(
        &mut self,
        path: ObjectPath,
        expected: ExpectedVersion,
        value: Option<bytes::Bytes>,
    ) -> Result<object::ObjectVersion, Option<object::ObjectVersion>> {
        let current = self.read(&path, false).map(|stored| stored.version);
        let matches = match expected {
            ExpectedVersion::Missing => current.is_none(),
            ExpectedVersion::At(version) => current == Some(version),
        };
        if matches { Ok(self.change(path, value)) } else { Err(current) }
    }

    /// Returns the objects of a kind that changed after a revision, deletions
    /// included.
    pub(crate) fn changes(&self, kind: &str, after: u64) -> watch::WatchDocument {
        let of_kind = self.objects.iter().filter(|(path, _)| path.kind == kind);
        let newer = of_kind.filter(|(_, history)| history.current.revision > after);
        let changes = newer.map(|(path, history)| watch::ChangeDocument {
            name: path.name.as_str().into(),
            version: history.current.version,
        });
        watch::WatchDocument { revision: self.revision, changes: changes.collect() }
    }

    /// Returns the existing objects of a kind.
    pub(crate) fn list(&self, kind: &str) -> watch::WatchDocument {
        let mut all = self.changes(kind, 0);
        all.changes.retain(|change| {
            let path = ObjectPath { kind: kind.to_owned(), name: change.name.to_string() };
            self.read(&path, false).is_some()
        });
        all
    }
}
