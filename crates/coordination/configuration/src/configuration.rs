//! A consistent set of tables that is applied as a whole.

use std::sync::Arc;

use marjoramwing_tables::fault;
use marjoramwing_tables::snapshot;

/// Tables that replace the current ones in one step.
#[derive(Debug, Clone)]
pub struct AppliedTables {
    /// Version of each table object in the snapshot.
    pub versions: snapshot::TableVersions,
    /// Validated tables.
    pub snapshot: Arc<snapshot::TableSnapshot>,
    /// Faults in the tables that were confined to their rows.
    pub confined: fault::FaultList,
}
