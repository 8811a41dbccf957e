//! Reports of faulty table objects, written to status objects that operators read through the
//! object API.

use std::sync::Arc;
use std::time;

use marjoramwing_derives as derives;
use marjoramwing_entity::time as entity_time;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;
use marjoramwing_tables::fault;
use marjoramwing_tables::version;

use crate::candidate;

/// Delay before a failed report is retried.
const RETRY_DELAY: time::Duration = time::Duration::from_secs(3);
/// Largest number of faults in one report.
const MAX_FAULTS: usize = 100;

/// Value of a status object.
#[derives::document]
pub struct StatusDocument {
    /// Version of the table object that the report describes, in 64 bits.
    pub version: u64,
    /// The same in decimal digits if it is a wide version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wide_version: Option<Arc<str>>,
    /// Why that version is not applied; empty if it is.
    pub faults: Vec<String>,
}

impl StatusDocument {
    /// Returns the version that the report describes.
    fn described_version(&self) -> u128 {
        let wide = self.wide_version.as_ref().and_then(|digits| digits.parse().ok());
        wide.unwrap_or_else(|| version::widen(self.version))
    }
}

/// State of the status report of one table object.
#[derive(Debug, Default)]
pub struct StatusReport {
    due_at: Option<entity_time::Timestamp>,
    /// Whether a read or write of the status object is in flight.
    in_flight: bool,
    /// Whether the operation in flight may have been based on a lost state of the store.
    is_outdated: bool,
    /// Newest version that needs no further report.
    reported_version: u128,
    /// Whether the last report was of a value without a readable version.
    reported_unversioned: bool,
    /// Whether this instance's last report listed faults and must be cleared once the object is
    /// applied.
    must_clear: bool,
}

/// State of a table object that its report describes.
#[derive(Debug, Clone, Copy)]
pub struct ObjectState<'a> {
    /// The table object.
    pub object: candidate::TableObject,
    /// Newest version of the object that was read, valid or not.
    pub newest: u128,
    /// Whether the store's value has no readable version; it then counts as not applied.
    pub is_unversioned: bool,
    /// Whether the newest version is applied.
    pub is_applied: bool,
    /// Why the newest version, or the value without one, is not applied.
    pub faults: &'a fault::FaultList,
}

impl StatusReport {
    /// Schedules a report if one is needed, and returns its first operation once it is due.
    pub fn advance(
        &mut self,
        state: ObjectState<'_>,
        delay: time::Duration,
        now: entity_time::Timestamp,
    ) -> Option<operation::StoreOperation> {
        let is_reported =
            self.reported_version >= state.newest && !self.concerns_unversioned(state);
        let is_needed = !is_reported && (!state.is_applied || self.must_clear);
        if !is_needed {
            self.due_at = None;
            return None;
        }
        let due_at = *self.due_at.get_or_insert(now + delay);
        if self.in_flight || now < due_at {
            return None;
        }
        self.in_flight = true;
        Some(operation::StoreOperation::Read(status_name(state.object)))
    }

    /// Records that the store was restored from an older copy, which may lack the last report.
    ///
    /// A version that was read before may stand for another state of the status object now, so an
    /// operation in flight is followed by a read.
    pub const fn record_restore(&mut self) {
        self.is_outdated = self.in_flight;
        self.reported_version = 0;
        self.reported_unversioned = false;
    }

    /// Handles the answer to a read or write and returns the next operation, if any.
    pub fn handle_answer(
        &mut self,
        state: ObjectState<'_>,
        answer: &operation::StoreAnswer,
        now: entity_time::Timestamp,
    ) -> Option<operation::StoreOperation> {
        if std::mem::take(&mut self.is_outdated) {
            self.retry(now);
            return None;
        }
        let expected = match answer {
            operation::StoreAnswer::Found(stored) => {
                let document = serde_json::from_slice::<StatusDocument>(&stored.value).ok();
                if document.is_some_and(|document| self.is_covered(state, &document)) {
                    self.finish(state);
                    return None;
                }
                Some(stored.version)
            }
            operation::StoreAnswer::Missing => None,
            operation::StoreAnswer::Written(_) => {
                self.must_clear = !state.is_applied;
                self.finish(state);
                return None;
            }
            operation::StoreAnswer::Conflict(_)
            | operation::StoreAnswer::Rejected
            | operation::StoreAnswer::Unknown => {
                self.retry(now);
                return None;
            }
        };
        Some(operation::StoreOperation::Write(status_write(state, expected)))
    }

    /// Schedules a read, which shows whether a write without an answer took effect.
    fn retry(&mut self, now: entity_time::Timestamp) {
        self.in_flight = false;
        self.due_at = Some(now + RETRY_DELAY);
    }

    /// Returns true if a stored report makes that of this instance needless.
    fn is_covered(&self, state: ObjectState<'_>, stored: &StatusDocument) -> bool {
        let is_same = stored.faults == status_document(state).faults;
        let version = stored.described_version();
        version > state.newest
            || version == state.newest && (is_same || !self.concerns_unversioned(state))
    }

    /// Returns true if a value without a readable version has appeared or gone since the last
    /// report.
    const fn concerns_unversioned(&self, state: ObjectState<'_>) -> bool {
        self.reported_unversioned != state.is_unversioned
    }

    const fn finish(&mut self, state: ObjectState<'_>) {
        self.in_flight = false;
        self.due_at = None;
        self.reported_version = state.newest;
        self.reported_unversioned = state.is_unversioned;
    }
}

/// Returns the name of the status object that belongs to a table object.
#[must_use]
pub fn status_name(object: candidate::TableObject) -> object::ObjectName {
    object::ObjectName::new(object::ObjectKind::Status, &object.to_string())
}

fn status_document(state: ObjectState<'_>) -> StatusDocument {
    let faults = state.faults.faults.iter().take(MAX_FAULTS).map(ToString::to_string).collect();
    let is_wide = state.newest >= version::FIRST_WIDE;
    StatusDocument {
        version: version::narrow(state.newest),
        wide_version: is_wide.then(|| state.newest.to_string().into()),
        faults,
    }
}

fn status_write(
    state: ObjectState<'_>,
    expected: Option<object::ObjectVersion>,
) -> operation::ConditionalWrite {
    let value = serde_json::to_vec(&status_document(state)).expect("a status document is JSON");
    operation::ConditionalWrite { name: status_name(state.object), expected, value: value.into() }
}
