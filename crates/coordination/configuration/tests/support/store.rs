//! Simulated store of table and status objects, which can be restored from an older copy.

use std::sync::Arc;
use std::time;

use marjoramwing_configuration::candidate;
use marjoramwing_configuration::status;
use marjoramwing_entity::time as entity_time;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;
use marjoramwing_objects::position;
use rand::RngExt;

/// Factor of a configuration's number in the version of a table object; the era is added.
const ERA_SPAN: u64 = 1_000;

/// How the versions of table objects are counted.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) enum VersionOrder {
    /// Each object counts its changes, and the store states no era.
    #[default]
    Changes,
    /// The operators' number and the era of the store, as in the platform dialect.
    Numbers,
    /// The store's revision; only for comparison, since it is given out again after a restore.
    Revisions,
}

/// Simulated store.
#[derive(Default)]
pub(crate) struct FakeStore {
    pub(crate) objects: Vec<FakeObject>,
    pub(crate) is_down: bool,
    /// Probability that a read returns the previous version.
    pub(crate) stale_rate: f64,
    pub(crate) calls: u64,
    pub(crate) writes: u64,
    pub(crate) order: VersionOrder,
    pub(crate) now: entity_time::Timestamp,
    pub(crate) revision: u64,
    pub(crate) era: u64,
    copies: Vec<StoreCopy>,
}

/// State of the store after one write.
struct StoreCopy {
    made_at: entity_time::Timestamp,
    revision: u64,
    objects: Vec<FakeObject>,
}

#[derive(Clone)]
pub(crate) struct FakeObject {
    pub(crate) name: object::ObjectName,
    pub(crate) version: u64,
    pub(crate) value: bytes::Bytes,
    previous: Option<(u64, bytes::Bytes)>,
    revision: u64,
    /// Why the object has no readable version, if so.
    fault: Option<Arc<str>>,
}

impl FakeStore {
    pub(crate) fn put(&mut self, name: object::ObjectName, value: bytes::Bytes) -> u64 {
        self.revision += 1;
        let version = self.find(&name).map_or(1, |object| object.version + 1);
        self.store(name, version, value, None);
        self.record_copy();
        version
    }

    /// Writes a configuration under the operators' number, with one team by which it is known.
    ///
    /// Returns the version of all its table objects.
    pub(crate) fn put_configuration(&mut self, number: u64, team: &str) -> u64 {
        self.write_configuration(number, &super::teams(&[team]), None)
    }

    /// Writes a configuration whose number cannot be read.
    pub(crate) fn put_unreadable_number(&mut self) {
        self.write_configuration(0, &super::teams(&[]), Some(&"no version".into()));
    }

    /// Writes a configuration with a malformed table.
    pub(crate) fn put_malformed(&mut self, number: u64) -> u64 {
        self.write_configuration(number, &"{".into(), None)
    }

    fn write_configuration(
        &mut self,
        number: u64,
        teams: &bytes::Bytes,
        fault: Option<&Arc<str>>,
    ) -> u64 {
        // All tables are in one object of the platform.
        self.revision += 1;
        for object in candidate::TableObject::ALL {
            let value = match object {
                candidate::TableObject::Steering => continue,
                candidate::TableObject::Teams => teams.clone(),
                _ => super::minimal(object),
            };
            self.store(object.object_name(), number, value, fault.cloned());
        }
        self.record_copy();
        self.find(&candidate::TableObject::Routes.object_name())
            .map_or(0, |object| self.version_of(object, object.version, self.order))
    }

    /// Restores the state that the store had some time ago and starts a new era.
    pub(crate) fn restore(&mut self, age: time::Duration) {
        let is_older = |copy: &StoreCopy| self.now.since(copy.made_at) >= age;
        let kept = self.copies.iter().rposition(is_older).expect("the store has such a copy");
        self.copies.truncate(kept + 1);
        let copy = &self.copies[kept];
        self.revision = copy.revision;
        self.objects = copy.objects.clone();
        self.era += 1;
    }

    /// Returns true if the configuration in the store has the operators' number.
    pub(crate) fn holds_number(&self, number: u64) -> bool {
        let found = self.find(&candidate::TableObject::Routes.object_name());
        found.is_some_and(|object| object.version == number)
    }

    pub(crate) fn find(&self, name: &object::ObjectName) -> Option<&FakeObject> {
        self.objects.iter().find(|object| object.name == *name)
    }

    pub(crate) fn status_of(
        &self,
        object: candidate::TableObject,
    ) -> Option<status::StatusDocument> {
        let found = self.find(&status::status_name(object))?;
        serde_json::from_slice(&found.value).ok()
    }

    pub(crate) fn position(&self) -> position::StorePosition {
        position::StorePosition { era: position::StoreEra(self.era), revision: self.revision }
    }

    fn store(
        &mut self,
        name: object::ObjectName,
        version: u64,
        value: bytes::Bytes,
        fault: Option<Arc<str>>,
    ) {
        let known = self.objects.iter_mut().find(|object| object.name == name);
        let previous = known.as_ref().map(|object| (object.version, object.value.clone()));
        let revision = self.revision;
        let object = FakeObject { name, version, value, previous, revision, fault };
        match known {
            Some(known) => *known = object,
            None => self.objects.push(object),
        }
    }

    fn record_copy(&mut self) {
        let (made_at, revision, objects) = (self.now, self.revision, self.objects.clone());
        self.copies.push(StoreCopy { made_at, revision, objects });
    }

    /// Returns the version of an object as the adapter states it.
    fn version_of(&self, object: &FakeObject, version: u64, order: VersionOrder) -> u64 {
        match (order, object.name.kind) {
            (VersionOrder::Numbers, object::ObjectKind::Tables) => version * ERA_SPAN + self.era,
            (VersionOrder::Revisions, object::ObjectKind::Tables) => object.revision,
            _ => version,
        }
    }

    pub(crate) fn execute(
        &mut self,
        operation: &operation::StoreOperation,
        order: VersionOrder,
        rng: &mut rand_pcg::Pcg64Mcg,
    ) -> operation::StoreAnswer {
        self.calls += 1;
        if self.is_down {
            return operation::StoreAnswer::Unknown;
        }
        let is_stale = rng.random_bool(self.stale_rate);
        let found = self.find(operation.object());
        match operation {
            operation::StoreOperation::Read(_) => {
                let Some(object) = found else { return operation::StoreAnswer::Missing };
                if object.fault.is_some() {
                    return operation::StoreAnswer::Unknown;
                }
                let newest = (object.version, object.value.clone());
                let previous = object.previous.clone().filter(|_| is_stale);
                let (version, value) = previous.unwrap_or(newest);
                let version = object::ObjectVersion::from(self.version_of(object, version, order));
                operation::StoreAnswer::Found(operation::StoredObject { version, value })
            }
            operation::StoreOperation::Write(write) => {
                let current = found.map(|object| object::ObjectVersion::from(object.version));
                if current != write.expected {
                    return operation::StoreAnswer::Conflict(current);
                }
                self.writes += 1;
                let version = self.put(write.name.clone(), write.value.clone());
                operation::StoreAnswer::Written(object::ObjectVersion::from(version))
            }
        }
    }

    /// Answers a watch as the client of the store does, which lists if the history is gone.
    pub(crate) fn watch(
        &mut self,
        after: position::StorePosition,
        order: VersionOrder,
    ) -> operation::WatchAnswer {
        let is_gone = after.era != self.position().era || after.revision > self.revision;
        let lists = order != VersionOrder::Changes && (is_gone || after.is_start());
        if lists && !after.is_start() {
            self.calls += 1;
        }
        let after = if lists { 0 } else { after.revision };
        let tables = self.objects.iter().filter(|o| o.name.kind == object::ObjectKind::Tables);
        let newer = tables.filter(|object| object.revision > after);
        let changes = newer.filter_map(|object| self.change_of(object, order)).collect();
        operation::WatchAnswer { position: self.position(), changes, is_full_list: lists }
    }

    fn change_of(
        &self,
        object: &FakeObject,
        order: VersionOrder,
    ) -> Option<operation::ObjectChange> {
        let is_first = object.name == candidate::TableObject::Routes.object_name();
        let (version, value) = match (&object.fault, order) {
            // The adapter returns the fault under the name of one table.
            (Some(_), _) if !is_first => return None,
            (Some(fault), _) => (0, operation::ChangedValue::Malformed(Arc::clone(fault))),
            (None, VersionOrder::Changes) => (object.version, operation::ChangedValue::Omitted),
            (None, _) => {
                let value = operation::ChangedValue::Included(object.value.clone());
                (self.version_of(object, object.version, order), value)
            }
        };
        let version = object::ObjectVersion::from(version);
        Some(operation::ObjectChange { name: object.name.clone(), version, value })
    }
}
