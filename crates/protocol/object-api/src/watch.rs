//! Answers of a watch, as JSON.

use std::sync::Arc;

use marjoramwing_derives as derives;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;

/// The JSON answer of a watch.
#[derives::document]
pub struct WatchDocument {
    /// Revision of the kind that the answer brings the watcher to.
    pub revision: u64,
    /// Changed objects with their current versions.
    pub changes: Vec<ChangeDocument>,
}

/// One changed object.
#[derives::document]
pub struct ChangeDocument {
    /// Name within the watched kind.
    pub name: Arc<str>,
    /// Current version.
    pub version: object::ObjectVersion,
}

impl WatchDocument {
    /// Completes the answer with the watched kind.
    #[must_use]
    pub fn into_answer(self, kind: object::ObjectKind) -> operation::WatchAnswer {
        let changes = self.changes.into_iter().map(|change| operation::ObjectChange {
            name: object::ObjectName { kind, name: change.name },
            version: change.version,
            value: operation::ChangedValue::Omitted,
        });
        let changes = changes.collect();
        operation::WatchAnswer { revision: self.revision, changes, is_full_list: false }
    }
}
