//! `marjoramwing route`: reads and edits the `routes` object.

use crate::command;
use crate::options;
use crate::row;
use crate::table;

const SPEC: options::CommandSpec = options::CommandSpec {
    synopsis: "route list | get NAME | set -f FILE | delete NAME [OPTIONS]",
    purpose: "Reads and edits the `routes` object; one row is one route to pools.",
    exits: table::EXITS,
};

/// Runs the command.
#[must_use]
pub fn run(arguments: &[String]) -> command::CommandExit {
    table::run(row::RowTable::Routes, &SPEC, arguments)
}
