//! Statements of servers that have left the pool.
//!
//! The registration of a server may be missing for a time, for example while the store is away; what
//! the server said of itself still holds when it is back.

use std::collections;
use std::time as duration;

use marjoramwing_entity::time;

use crate::statement;

/// Time for which the statements of a server that left are kept.
const DEPARTED_RETENTION: duration::Duration = duration::Duration::from_secs(60);
/// Maximum number of servers that are kept.
const MAX_DEPARTED: usize = 1_024;

/// The statements of the servers that left recently, by their run.
#[derive(Debug, Clone, Default)]
pub(crate) struct DepartedStatements {
    statements: collections::BTreeMap<statement::ServerRun, DepartedServer>,
}

#[derive(Debug, Clone)]
struct DepartedServer {
    statements: statement::ServerStatements,
    left_at: time::Timestamp,
}

impl DepartedStatements {
    /// Keeps the statements of a server that left now, and drops those that left too long ago.
    pub(crate) fn record(
        &mut self,
        run: statement::ServerRun,
        statements: statement::ServerStatements,
        now: time::Timestamp,
    ) {
        self.statements.retain(|_, server| now.since(server.left_at) < DEPARTED_RETENTION);
        if statements.is_empty() || self.statements.len() >= MAX_DEPARTED {
            return;
        }
        self.statements.insert(run, DepartedServer { statements, left_at: now });
    }

    /// Returns the statements of a server that is back.
    pub(crate) fn take(
        &mut self,
        run: &statement::ServerRun,
        now: time::Timestamp,
    ) -> Option<statement::ServerStatements> {
        let server = self.statements.remove(run)?;
        (now.since(server.left_at) < DEPARTED_RETENTION).then_some(server.statements)
    }
}
