//! Reports of faulty objects, written where operators who use the object API look.

use std::time;

use marjoramwing_derives as derives;
use marjoramwing_entity::time as entity_time;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;
use marjoramwing_tables::fault;

use crate::candidate;

/// Time until a report is tried again.
const RETRY: time::Duration = time::Duration::from_secs(3);
/// Faults in one report.
const MAX_FAULTS: usize = 100;

/// The value of a status object.
#[derives::document]
pub struct StatusDocument {
    /// Version of the object that the report is about.
    pub version: u64,
    /// What is wrong with it; empty when it is in force.
    pub faults: Vec<String>,
}

/// The report on one object.
#[derive(Debug, Default)]
pub struct StatusReport {
    due: Option<entity_time::Timestamp>,
    waits: bool,
    reported: u64,
    wrote: bool,
}

/// What a report says of the newest version of its object.
#[derive(Debug, Clone, Copy)]
pub struct StatusFacts<'a> {
    /// The object.
    pub object: candidate::TableObject,
    /// Its newest version.
    pub newest: u64,
    /// Whether that is in force.
    pub in_force: bool,
    /// Why it is not.
    pub faults: &'a fault::FaultList,
}

impl StatusReport {
    /// Plans a report if one is needed, and starts it when it is due.
    pub fn advance(
        &mut self,
        facts: StatusFacts<'_>,
        delay: time::Duration,
        now: entity_time::Timestamp,
    ) -> Option<operation::StoreOperation> {
        let is_needed = self.reported < facts.newest && (!facts.in_force || self.wrote);
        if !is_needed {
            self.due = None;
            return None;
        }
        let due = *self.due.get_or_insert(now + delay);
        if self.waits || now < due {
            return None;
        }
        self.waits = true;
        Some(operation::StoreOperation::Read(status_name(facts.object)))
    }

    /// Takes the answer to a read or write and returns the next operation.
    pub fn take_answer(
        &mut self,
        facts: StatusFacts<'_>,
        answer: &operation::StoreAnswer,
        now: entity_time::Timestamp,
    ) -> Option<operation::StoreOperation> {
        let expected = match answer {
            operation::StoreAnswer::Found(stored) => {
                let told = serde_json::from_slice::<StatusDocument>(&stored.value).ok();
                if told.is_some_and(|told| told.version >= facts.newest) {
                    self.finish(facts.newest);
                    return None;
                }
                Some(stored.version)
            }
            operation::StoreAnswer::Missing => None,
            operation::StoreAnswer::Written(_) => {
                self.wrote = !facts.in_force;
                self.finish(facts.newest);
                return None;
            }
            operation::StoreAnswer::Conflict(_)
            | operation::StoreAnswer::Rejected
            | operation::StoreAnswer::Unknown => {
                // Whether a lost write took effect shows in the next read.
                self.waits = false;
                self.due = Some(now + RETRY);
                return None;
            }
        };
        Some(operation::StoreOperation::Write(write(facts, expected)))
    }

    fn finish(&mut self, version: u64) {
        self.waits = false;
        self.due = None;
        self.reported = version;
    }
}

/// Returns the name of the status object of a table object.
#[must_use]
pub fn status_name(object: candidate::TableObject) -> object::ObjectName {
    object::ObjectName::new(object::ObjectKind::Status, &object.to_string())
}

fn write(
    facts: StatusFacts<'_>,
    expected: Option<object::ObjectVersion>,
) -> operation::ConditionalWrite {
    let faults = facts.faults.faults.iter().take(MAX_FAULTS).map(ToString::to_string).collect();
    let document = StatusDocument { version: facts.newest, faults };
    let value = serde_json::to_vec(&document).expect("a status document is JSON");
    operation::ConditionalWrite { name: status_name(facts.object), expected, value: value.into() }
}
