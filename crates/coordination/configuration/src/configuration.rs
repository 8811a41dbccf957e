//! A consistent set of tables.

use std::sync::Arc;

use marjoramwing_tables::snapshot;

/// Tables to be put in force together.
#[derive(Debug, Clone)]
pub struct AppliedTables {
    /// Versions of the objects.
    pub versions: snapshot::TableVersions,
    /// Checked tables.
    pub snapshot: Arc<snapshot::TableSnapshot>,
}
