//! Subcommands that `route`, `pool`, `team` and `key` share.

use std::fs;
use std::io;
use std::io::Read;
use std::sync::Arc;

use crate::command;
use crate::editor;
use crate::options;
use crate::output;
use crate::row;

/// Exit statuses of the commands that edit a table.
pub const EXITS: &[command::CommandExit] = &[
    command::CommandExit::Faulty,
    command::CommandExit::Conflict,
    command::CommandExit::Unreachable,
    command::CommandExit::Unknown,
    command::CommandExit::Missing,
];

/// A parsed command line that reads or edits one table.
#[derive(Debug)]
pub struct TableCommand {
    /// Table that is read or edited.
    pub table: row::RowTable,
    matches: getopts::Matches,
    editor: editor::TableEditor,
}

/// JSON output of `list`.
#[derive(serde::Serialize)]
struct ListOutput {
    version: u128,
    rows: Vec<row::TableRow>,
}

/// JSON output of `get`.
#[derive(serde::Serialize)]
struct GetOutput {
    version: u128,
    row: row::TableRow,
}

/// JSON output of an edit.
#[derive(serde::Serialize)]
struct EditOutput {
    version: u128,
    replaced: bool,
}

/// Returns the options of the commands that edit a table.
#[must_use]
pub fn make_options() -> getopts::Options {
    let mut options = getopts::Options::new();
    options.optopt("f", "file", "set: JSON of the row; `-` for standard input", "FILE");
    options.optopt("", "version", "set and delete: version that the object must have", "N");
    options::add_store_options(&mut options);
    options
}

/// Parses and runs a command that has only the shared subcommands.
#[must_use]
pub fn run(
    table: row::RowTable,
    spec: &options::CommandSpec,
    arguments: &[String],
) -> command::CommandExit {
    options::run(spec, make_options(), arguments, async |matches| {
        TableCommand::new(table, matches)?.run_shared().await
    })
}

impl TableCommand {
    /// Creates the command from parsed options.
    ///
    /// # Errors
    ///
    /// Returns an error if the address of the store is missing or invalid, or the
    /// timeout is not a number.
    pub fn new(
        table: row::RowTable,
        matches: &getopts::Matches,
    ) -> Result<Self, command::CommandError> {
        let client = options::make_store_client(matches)?;
        let policy = editor::LostResponsePolicy::ReadBack;
        let editor = editor::TableEditor::new(client, policy);
        Ok(Self { table, matches: matches.clone(), editor })
    }

    /// Returns the positional arguments: the subcommand and its operands.
    #[must_use]
    pub fn positionals(&self) -> Vec<&str> {
        self.matches.free.iter().map(String::as_str).collect()
    }

    /// Returns the value of an option, if given.
    #[must_use]
    pub fn option(&self, name: &str) -> Option<String> {
        self.matches.opt_str(name)
    }

    /// Returns true if the output is JSON.
    #[must_use]
    pub fn is_json(&self) -> bool {
        self.matches.opt_present("json")
    }

    /// Runs one of the subcommands that all tables share.
    ///
    /// # Errors
    ///
    /// Returns an error if the command line is invalid or the subcommand fails.
    pub async fn run_shared(&self) -> Result<(), command::CommandError> {
        match self.positionals()[..] {
            ["list"] => self.list().await,
            ["get", name] => self.get(name).await,
            ["set"] => self.set().await,
            ["delete", name] => self.delete(name).await,
            _ => Err(options::usage_error(
                "specify one subcommand and, for get and delete, one name",
            )),
        }
    }

    /// Applies one change and prints the new version of the object.
    ///
    /// # Errors
    ///
    /// Returns an error if `--version` is not a number, or under the conditions of
    /// [`editor::TableEditor::apply`].
    pub async fn edit(&self, change: &row::RowChange) -> Result<(), command::CommandError> {
        let written = self.write(change).await?;
        if self.is_json() {
            let replaced = written.replaced;
            output::print_json(&EditOutput { version: written.version, replaced });
        } else {
            println!("{} is at version {}", self.table.object(), written.version);
        }
        Ok(())
    }

    /// Applies one change and returns the new version of the object, without printing it.
    ///
    /// # Errors
    ///
    /// Returns an error if `--version` is not a number, or under the conditions of
    /// [`editor::TableEditor::apply`].
    pub async fn write(
        &self,
        change: &row::RowChange,
    ) -> Result<editor::WrittenEdit, command::CommandError> {
        let expected = self.matches.opt_get("version");
        let expected = expected.map_err(|_| options::usage_error("--version needs a number"))?;
        self.editor.apply(change, expected).await
    }

    /// Deletes the row of this name.
    ///
    /// # Errors
    ///
    /// Returns an error under the conditions of [`Self::edit`].
    pub async fn delete(&self, name: &str) -> Result<(), command::CommandError> {
        self.edit(&row::RowChange::Delete { table: self.table, name: name.into() }).await
    }

    async fn list(&self) -> Result<(), command::CommandError> {
        let tables = self.editor.read().await?;
        let version = tables.version(self.table.object());
        let rows = self.table.rows(&tables.documents);
        if self.is_json() {
            output::print_json(&ListOutput { version, rows });
            return Ok(());
        }
        for row in rows {
            println!("{}", row.summary());
        }
        eprintln!("{} is at version {version}", self.table.object());
        Ok(())
    }

    async fn get(&self, name: &str) -> Result<(), command::CommandError> {
        let tables = self.editor.read().await?;
        let version = tables.version(self.table.object());
        let mut rows = self.table.rows(&tables.documents).into_iter();
        let Some(row) = rows.find(|row| **row.name() == *name) else {
            let object = self.table.object().to_string().into();
            return Err(command::CommandError::Missing { object, name: name.into() });
        };
        if self.is_json() {
            output::print_json(&GetOutput { version, row });
        } else {
            output::print_json(&row);
            eprintln!("{} is at version {version}", self.table.object());
        }
        Ok(())
    }

    async fn set(&self) -> Result<(), command::CommandError> {
        let file = self.option("file");
        let file =
            file.ok_or_else(|| options::usage_error("specify the file of the row with --file"))?;
        let text = read_text(&file)?;
        let row = self.table.parse_row(&text).map_err(|error| {
            let reason = format!("{error}; correct the row's syntax or member names");
            command::CommandError::Unreadable { file: Arc::from(file), reason: reason.into() }
        })?;
        self.edit(&row::RowChange::Set(row)).await
    }
}

fn read_text(file: &str) -> Result<Vec<u8>, command::CommandError> {
    let mut text = Vec::new();
    let read = match file {
        "-" => io::stdin().read_to_end(&mut text).map(|_| text),
        file => fs::read(file),
    };
    read.map_err(|error| options::unreadable_error(file, &error))
}
