//! `marjoramwing pool`: reads and edits the `pools` object.

use crate::command;
use crate::options;
use crate::row;
use crate::table;

const SPEC: options::CommandSpec = options::CommandSpec {
    synopsis: "pool list | get NAME | set -f FILE | delete NAME [OPTIONS]",
    purpose: "Reads and edits the `pools` object; one row is one pool of backend servers.",
    exits: table::EXITS,
};

/// Runs the command.
#[must_use]
pub fn run(arguments: &[String]) -> command::CommandExit {
    table::run(row::RowTable::Pools, &SPEC, arguments)
}
