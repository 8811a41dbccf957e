//! Rows of the tables and changes of one row.

use std::sync::Arc;

use marjoramwing_configuration::candidate;
use marjoramwing_derives as derives;
use marjoramwing_tables::document;
use marjoramwing_tables::snapshot;

/// The tables that operators edit row by row.
#[derives::value]
pub enum RowTable {
    /// Routes.
    Routes,
    /// Pools.
    Pools,
    /// Teams.
    Teams,
    /// Keys.
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

    /// Parses one row of the table.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the text.
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
    /// A route.
    Route(document::RouteDocument),
    /// A pool.
    Pool(document::PoolDocument),
    /// A team.
    Team(document::TeamDocument),
    /// A key.
    Key(document::KeyDocument),
}

impl TableRow {
    /// Returns the row's name, or a key's identifier.
    #[must_use]
    pub fn name(&self) -> &Arc<str> {
        match self {
            Self::Route(row) => &row.name,
            Self::Pool(row) => &row.name,
            Self::Team(row) => &row.name,
            Self::Key(row) => &row.id,
        }
    }

    /// Returns the table of the row.
    #[must_use]
    pub const fn table(&self) -> RowTable {
        match self {
            Self::Route(_) => RowTable::Routes,
            Self::Pool(_) => RowTable::Pools,
            Self::Team(_) => RowTable::Teams,
            Self::Key(_) => RowTable::Keys,
        }
    }

    /// Writes the row as one line for people.
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

/// A change of one row.
#[derive(Debug, Clone, PartialEq)]
pub enum RowChange {
    /// Adds the row or replaces the one of its name.
    Set(TableRow),
    /// Adds a row whose name must be free.
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

    /// Carries out the change and tells whether a row of the name was there.
    pub fn apply(&self, documents: &mut snapshot::TableDocuments) -> bool {
        match self {
            Self::Set(row) => set_table_row(documents, row, SetMode::Replace),
            Self::Add(row) => set_table_row(documents, row, SetMode::Append),
            Self::Delete { table, name } => delete_table_row(documents, *table, name),
        }
    }
}

/// Whether a row may take the place of one with its name.
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
    let before = rows.len();
    rows.retain(|row| name_of(row) != name);
    rows.len() < before
}
