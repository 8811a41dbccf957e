//! Dispatch of the commands, their exit codes and errors.

use std::process;
use std::sync::Arc;

use marjoramwing_derives as derives;
use marjoramwing_store_client::client;
use marjoramwing_tables::fault;

use crate::check;
use crate::dump;
use crate::key;
use crate::lookup;
use crate::pool;
use crate::release;
use crate::route;
use crate::team;

/// Exit status of a command.
#[derives::value]
pub enum CommandExit {
    /// The command succeeded.
    Done,
    /// An input file or a table cannot be read or is invalid, or the process cannot start.
    Faulty,
    /// The command line is invalid.
    Usage,
    /// An edit conflicted with a concurrent one, or was written but is inconsistent with one; the
    /// current version was printed.
    Conflict,
    /// The object API or the instance did not respond, or refused the request.
    Unreachable,
    /// It is unknown whether the edit took effect.
    Unknown,
    /// The requested row does not exist.
    Missing,
    /// A second stop signal or the stop timeout ended the instance with requests open.
    Cut,
}

impl CommandExit {
    /// All exit statuses, in the order of their codes.
    pub const ALL: [Self; 8] = [
        Self::Done,
        Self::Faulty,
        Self::Usage,
        Self::Conflict,
        Self::Unreachable,
        Self::Unknown,
        Self::Missing,
        Self::Cut,
    ];

    /// Returns the process's exit code.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Faulty => 1,
            Self::Usage => 2,
            Self::Conflict => 3,
            Self::Unreachable => 4,
            Self::Unknown => 5,
            Self::Missing => 6,
            Self::Cut => 7,
        }
    }

    /// Returns the description of the exit code in help texts.
    #[must_use]
    pub const fn meaning(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Faulty => "faults were found and printed; nothing was changed",
            Self::Usage => "the command line is wrong",
            Self::Conflict => "the edit lost a race; the current version was printed",
            Self::Unreachable => "the object API or the instance did not answer, or refused",
            Self::Unknown => "whether the edit took effect is not known",
            Self::Missing => "the row does not exist",
            Self::Cut => "the instance ended with requests open",
        }
    }
}

impl From<CommandExit> for process::ExitCode {
    fn from(exit: CommandExit) -> Self {
        Self::from(exit.code())
    }
}

/// Errors of the commands.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum CommandError {
    /// The command line is invalid.
    #[display("{_0}; see --help")]
    Usage(#[error(not(source))] Arc<str>),
    /// A file cannot be read or parsed.
    #[display("{file}: {reason}")]
    Unreadable {
        /// Path of the file.
        file: Arc<str>,
        /// Cause and remedy.
        reason: Arc<str>,
    },
    /// The tables are invalid, or would be after the edit; nothing was written.
    #[display("{_0}")]
    Faulty(#[error(not(source))] fault::FaultList),
    /// The object is not at the version that the edit expected.
    #[display("`{object}` is at version {current}; read it again and repeat the edit")]
    Conflict {
        /// Object that the edit was for.
        object: Arc<str>,
        /// Current version.
        current: u128,
    },
    /// The edit was written, but is inconsistent with a concurrent edit of another object.
    #[display(
        "`{object}` was written as version {current}, but is inconsistent with a concurrent edit of another object; correct one of them: {faults}"
    )]
    Inconsistent {
        /// Object that was edited.
        object: Arc<str>,
        /// Version that the edit created.
        current: u128,
        /// Faults of the combined tables.
        faults: fault::FaultList,
    },
    /// A call to the object API failed.
    #[display("{_0}")]
    Store(client::StoreError),
    /// The object API rejected a write, which had no effect.
    #[display(
        "the object API rejected the write of `{_0}`; check its limits and the object's size"
    )]
    Rejected(#[error(not(source))] Arc<str>),
    /// A request to an instance failed.
    #[display("{_0}")]
    Instance(#[error(not(source))] Arc<str>),
    /// It is unknown whether a write took effect.
    #[display(
        "it is unknown whether the edit of `{object}` took effect; look for edit_id {edit_id} in it before you edit again"
    )]
    Unknown {
        /// Object that the edit was for.
        object: Arc<str>,
        /// Value of `edit_id` that the edit wrote.
        edit_id: Arc<str>,
    },
    /// The row does not exist.
    #[display("`{name}` does not exist in `{object}`; `list` prints the existing rows")]
    Missing {
        /// Object that was read.
        object: Arc<str>,
        /// Name that was not found.
        name: Arc<str>,
    },
}

impl CommandError {
    /// Returns the exit status of a command that fails with this error.
    #[must_use]
    pub const fn exit(&self) -> CommandExit {
        match self {
            Self::Usage(_) => CommandExit::Usage,
            Self::Unreadable { .. } | Self::Faulty(_) => CommandExit::Faulty,
            Self::Conflict { .. } | Self::Inconsistent { .. } => CommandExit::Conflict,
            Self::Store(_) | Self::Rejected(_) | Self::Instance(_) => CommandExit::Unreachable,
            Self::Unknown { .. } => CommandExit::Unknown,
            Self::Missing { .. } => CommandExit::Missing,
        }
    }

    /// Returns the current version of the object if an edit conflicted or is inconsistent with
    /// another.
    #[must_use]
    pub const fn current_version(&self) -> Option<u128> {
        match self {
            Self::Conflict { current, .. } | Self::Inconsistent { current, .. } => Some(*current),
            _ => None,
        }
    }
}

/// Runs a command; returns `None` if no command has this name.
#[must_use]
pub fn run(name: &str, arguments: &[String]) -> Option<CommandExit> {
    match name {
        "check" => Some(check::run(arguments)),
        "route" => Some(route::run(arguments)),
        "pool" => Some(pool::run(arguments)),
        "team" => Some(team::run(arguments)),
        "key" => Some(key::run(arguments)),
        "lookup" => Some(lookup::run(arguments)),
        "dump" => Some(dump::run(arguments)),
        "release" => Some(release::run(arguments)),
        _ => None,
    }
}
