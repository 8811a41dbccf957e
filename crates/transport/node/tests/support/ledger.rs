//! Runs an instance's ledger against an in-memory store.

use std::collections;
use std::sync;
use std::time;

use marjoramwing_ledger::action;
use marjoramwing_node::shared;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;

const TICK_PERIOD: time::Duration = time::Duration::from_millis(10);

type ObjectTable = collections::HashMap<object::ObjectName, operation::StoredObject>;

/// Executes the ledger's store operations until the test ends.
pub(crate) fn start_ledger(shared: &sync::Arc<shared::InstanceState>) {
    let shared = sync::Arc::clone(shared);
    let mut actions = shared.admission.take_actions().unwrap();
    tokio::spawn(async move {
        let mut objects = ObjectTable::new();
        let mut ticks = tokio::time::interval(TICK_PERIOD);
        loop {
            let event = tokio::select! {
                action = actions.recv() => match action {
                    Some(action::LedgerAction::Store(operation)) => answer(&mut objects, &operation),
                    Some(_) => continue,
                    None => return,
                },
                _ = ticks.tick() => action::LedgerEvent::Tick,
            };
            shared.admission.handle(event, shared.now());
        }
    });
}

fn answer(objects: &mut ObjectTable, operation: &operation::StoreOperation) -> action::LedgerEvent {
    let name = operation.object().clone();
    let current = objects.get(&name).cloned();
    let answer = match operation {
        operation::StoreOperation::Read(_) => {
            current.map_or(operation::StoreAnswer::Missing, operation::StoreAnswer::Found)
        }
        operation::StoreOperation::Write(write) => {
            let version = current.map(|stored| stored.version);
            if version == write.expected {
                let version = object::ObjectVersion(version.map_or(1, |version| version.0 + 1));
                let stored = operation::StoredObject { version, value: write.value.clone() };
                objects.insert(name.clone(), stored);
                operation::StoreAnswer::Written(version)
            } else {
                operation::StoreAnswer::Conflict(version)
            }
        }
    };
    action::LedgerEvent::StoreAnswered { name, answer }
}
