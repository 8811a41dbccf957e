//! JSON responses to a watch.

use std::sync::Arc;

use marjoramwing_derives as derives;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;
use marjoramwing_objects::position;

/// JSON response to a watch.
#[derives::document]
pub struct WatchDocument {
    /// Revision from which the watcher continues.
    pub revision: u64,
    /// Objects that changed after the requested revision.
    pub changes: Vec<ChangeDocument>,
}

/// Object that changed.
#[derives::document]
pub struct ChangeDocument {
    /// Name of the object within the watched kind.
    pub name: Arc<str>,
    /// Current version of the object.
    pub version: object::ObjectVersion,
}

impl WatchDocument {
    /// Converts the response, given the watched kind, which it does not contain.
    #[must_use]
    pub fn into_answer(self, kind: object::ObjectKind) -> operation::WatchAnswer {
        let changes = self.changes.into_iter().map(|change| operation::ObjectChange {
            name: object::ObjectName { kind, name: change.name },
            version: change.version,
            value: operation::ChangedValue::Omitted,
        });
        let changes = changes.collect();
        let position = position::StorePosition::without_era(self.revision);
        operation::WatchAnswer { position, changes, is_full_list: false }
    }
}
