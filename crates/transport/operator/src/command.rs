//! The commands and their exit codes.

use std::process;

use marjoramwing_derives as derives;

/// How a command ended.
#[derives::value]
pub enum CommandExit {
    /// The command did what was asked.
    Done,
    /// What was checked has faults.
    Faulty,
    /// The command line is wrong.
    Usage,
    /// An edit lost a race; the current version was printed.
    Conflict,
    /// The object API or the instance did not answer.
    Unreachable,
}

impl From<CommandExit> for process::ExitCode {
    fn from(exit: CommandExit) -> Self {
        Self::from(match exit {
            CommandExit::Done => 0,
            CommandExit::Faulty => 1,
            CommandExit::Usage => 2,
            CommandExit::Conflict => 3,
            CommandExit::Unreachable => 4,
        })
    }
}
