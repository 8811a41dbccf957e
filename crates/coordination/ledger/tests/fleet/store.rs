//! An in-memory store with versions and conditional writes.

use std::collections::BTreeMap;

use marjoramwing_objects::object::{ObjectName, ObjectVersion};
use marjoramwing_objects::operation::{
    ConditionalWrite, StoreAnswer, StoreOperation, StoredObject,
};

#[derive(Default)]
pub(crate) struct FakeStore {
    /// Accepts every write, whatever its expected version.
    pub(crate) ignores_versions: bool,
    objects: BTreeMap<ObjectName, StoredObject>,
}

impl FakeStore {
    pub(crate) fn answer(&mut self, operation: &StoreOperation) -> StoreAnswer {
        let current = self.objects.get(operation.object());
        match operation {
            StoreOperation::Read(_) => {
                current.cloned().map_or(StoreAnswer::Missing, StoreAnswer::Found)
            }
            StoreOperation::Write(write) => self.write(write),
        }
    }

    /// Deletes all leases, as an operator does when no old process is running.
    pub(crate) fn delete_leases(&mut self) {
        self.objects.retain(|name, _| !name.name.starts_with("lease-"));
    }

    fn write(&mut self, write: &ConditionalWrite) -> StoreAnswer {
        let current = self.objects.get(&write.name).map(|stored| stored.version);
        if current != write.expected && !self.ignores_versions {
            return StoreAnswer::Conflict(current);
        }
        let version = ObjectVersion(current.map_or(1, |version| version.0 + 1));
        let stored = StoredObject { version, value: write.value.clone() };
        self.objects.insert(write.name.clone(), stored);
        StoreAnswer::Written(version)
    }
}
