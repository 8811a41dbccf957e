//! Table rows and changes to a single row.

use std::sync::Arc;

use marjoramwing_configuration::candidate;
use marjoramwing_derives as derives;
use marjoramwing_tables::document;
use marjoramwing_tables::snapshot;

/// Tables that operators edit row by row.
#[derives::value]
pub enum RowTable {
    /// The `routes` object.
    Routes,
    /// The `pools` object.
    Pools,
    /// The `teams` object.
    Teams,
    /// The `keys` object.
    Keys,
}

impl RowTable {
    /// Returns the object that holds the table.
    #[must_use]
    pub const fn object(self) -> candidate::TableObject {
        match self {
            Self::Routes => candidate::TableObject::Routes,
            Self::Pools => candidate::TableObject::Pools,
            Self::Teams => candidate::TableObject::Teams,
            Self::Keys => candidate::TableObject::Keys,
        }
    }

    /// Parses one row of the table from JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a row of this table.
    pub fn parse_row(self, text: &[u8]) -> serde_json::Result<TableRow> {
        Ok(match self {
            Self::Routes => TableRow::Route(serde_json::from_slice(text)?),
            Self::Pools => TableRow::Pool(serde_json::from_slice(text)?),
            Self::Teams => TableRow::Team(serde_json::from_slice(text)?),
            Self::Keys => TableRow::Key(serde_json::from_slice(text)?),
        })
    }

    /// Returns all rows of the table.
    #[must_use]
    pub fn rows(self, documents: &snapshot::TableDocuments) -> Vec<TableRow> {
        match self {
            Self::Routes => documents.routes.routes.iter().cloned().map(TableRow::Route).collect(),
            Self::Pools => documents.pools.pools.iter().cloned().map(TableRow::Pool).collect(),
            Self::Teams => documents.teams.teams.iter().cloned().map(TableRow::Team).collect(),
            Self::Keys => documents.keys.keys.iter().cloned().map(TableRow::Key).collect(),
        }
    }
}

/// One row of a table.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
#[serde(untagged)]
pub enum TableRow {
    /// Row of the `routes` object.
    Route(document::RouteDocument),
    /// Row of the `pools` object.
    Pool(document::PoolDocument),
    /// Row of the `teams` object.
    Team(document::TeamDocument),
    /// Row of the `keys` object.
    Key(document::KeyDocument),
}

impl TableRow {
    /// Returns the name of the row; for a key, its identifier.
    #[must_use]
    pub fn name(&self) -> &Arc<str> {
        match self {
            Self::Route(row) => &row.name,
            Self::Pool(row) => &row.name,
            Self::Team(row) => &row.name,
            Self::Key(row) => &row.id,
        }
    }

    /// Returns the table that the row belongs to.
    #[must_use]
    pub const fn table(&self) -> RowTable {
        match self {
            Self::Route(_) => RowTable::Routes,
            Self::Pool(_) => RowTable::Pools,
            Self::Team(_) => RowTable::Teams,
            Self::Key(_) => RowTable::Keys,
        }
    }

    /// Formats the row as one line of plain output.
    #[must_use]
    pub fn summary(&self) -> String {
        match self {
            Self::Route(row) => format!("{}  {} -> {}", row.name, row.path, row.pools.join(", ")),
            Self::Pool(row) => {
                let draining = row.servers.iter().filter(|server| server.draining).count();
                format!("{}  {} servers, {draining} draining", row.name, row.servers.len())
            }
            Self::Team(row) => format!("{}  {}/s burst {}", row.name, row.rate, row.burst),
            Self::Key(row) => format!("{}  team {}", row.id, row.team),
        }
    }
}

/// A change to one row.
#[derive(Debug, Clone, PartialEq)]
pub enum RowChange {
    /// Adds the row or replaces the row of the same name.
    Set(TableRow),
    /// Appends the row; if its name is taken, validation of the table fails.
    Add(TableRow),
    /// Removes a row.
    Delete {
        /// Table of the row.
        table: RowTable,
        /// Name of the row.
        name: Arc<str>,
    },
}

impl RowChange {
    /// Returns the table that the change edits.
    #[must_use]
    pub const fn table(&self) -> RowTable {
        match self {
            Self::Set(row) | Self::Add(row) => row.table(),
            Self::Delete { table, .. } => *table,
        }
    }

    /// Applies the change; returns true if a row of the name existed before.
    pub fn apply(&self, documents: &mut snapshot::TableDocuments) -> bool {
        match self {
            Self::Set(row) => set_table_row(documents, row, SetMode::Replace),
            Self::Add(row) => set_table_row(documents, row, SetMode::Append),
            Self::Delete { table, name } => delete_table_row(documents, *table, name),
        }
    }
}

/// Whether a new row replaces a row of the same name.
#[derives::value]
enum SetMode {
    Replace,
    Append,
}

fn set_table_row(documents: &mut snapshot::TableDocuments, row: &TableRow, mode: SetMode) -> bool {
    match row {
        TableRow::Route(row) => set_row(&mut documents.routes.routes, row, mode, |row| &row.name),
        TableRow::Pool(row) => set_row(&mut documents.pools.pools, row, mode, |row| &row.name),
        TableRow::Team(row) => set_row(&mut documents.teams.teams, row, mode, |row| &row.name),
        TableRow::Key(row) => set_row(&mut documents.keys.keys, row, mode, |row| &row.id),
    }
}

fn delete_table_row(
    documents: &mut snapshot::TableDocuments,
    table: RowTable,
    name: &Arc<str>,
) -> bool {
    match table {
        RowTable::Routes => delete_row(&mut documents.routes.routes, name, |row| &row.name),
        RowTable::Pools => delete_row(&mut documents.pools.pools, name, |row| &row.name),
        RowTable::Teams => delete_row(&mut documents.teams.teams, name, |row| &row.name),
        RowTable::Keys => delete_row(&mut documents.keys.keys, name, |row| &row.id),
    }
}

fn set_row<R: Clone>(
    rows: &mut Vec<R>,
    row: &R,
    mode: SetMode,
    name_of: fn(&R) -> &Arc<str>,
) -> bool {
    let old = rows.iter_mut().find(|old| name_of(old) == name_of(row));
    match (old, mode) {
        (Some(old), SetMode::Replace) => {
            *old = row.clone();
            true
        }
        (old, _) => {
            let replaced = old.is_some();
            rows.push(row.clone());
            replaced
        }
    }
}

fn delete_row<R>(rows: &mut Vec<R>, name: &Arc<str>, name_of: fn(&R) -> &Arc<str>) -> bool {
    let old_len = rows.len();
    rows.retain(|row| name_of(row) != name);
    rows.len() < old_len
}
