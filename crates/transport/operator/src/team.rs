//! `marjoramwing team`: reads and edits the `teams` object.

use crate::command;
use crate::options;
use crate::row;
use crate::table;

const SPEC: options::CommandSpec = options::CommandSpec {
    synopsis: "team list | get NAME | set -f FILE | delete NAME [OPTIONS]",
    purpose: "Reads and edits the `teams` object; one row is one team with its rate and burst.",
    exits: table::EXITS,
};

/// Runs the command.
#[must_use]
pub fn run(arguments: &[String]) -> command::CommandExit {
    table::run(row::RowTable::Teams, &SPEC, arguments)
}
