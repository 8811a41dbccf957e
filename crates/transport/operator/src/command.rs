//! The commands, their exit codes and errors.

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
use crate::route;
use crate::team;

/// How a command ended.
#[derives::value]
pub enum CommandExit {
    /// The command did what was asked.
    Done,
    /// What was checked has faults, or a setting cannot be met.
    Faulty,
    /// The command line is wrong.
    Usage,
    /// An edit lost a race; the current version was printed.
    Conflict,
    /// The object API or the instance did not answer, or refused.
    Unreachable,
    /// Whether the edit took effect is not known.
    Unknown,
    /// The row that was asked for does not exist.
    Missing,
    /// A second stop signal or the longest wait ended the instance.
    Cut,
}

impl CommandExit {
    /// All exits, in the order of their codes.
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

    /// Returns what the exit code says.
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

/// Why a command did not do what was asked.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum CommandError {
    /// The command line is wrong.
    #[display("{_0}; see --help")]
    Usage(#[error(not(source))] Arc<str>),
    /// A file or a variable cannot be read.
    #[display("{place}: {reason}")]
    Unreadable {
        /// File or variable.
        place: Arc<str>,
        /// What is wrong and the remedy.
        reason: Arc<str>,
    },
    /// The tables would be faulty; nothing was written.
    #[display("{_0}")]
    Faulty(#[error(not(source))] fault::FaultList),
    /// The object has another version than the edit expected.
    #[display("`{object}` is at version {current}; read it again and repeat the edit")]
    Conflict {
        /// Object that was to be edited.
        object: Arc<str>,
        /// Version now.
        current: u64,
    },
    /// The edit was written, but does not go with an edit of another object.
    #[display(
        "`{object}` is at version {current}, but another edit does not go with it; correct one of them: {faults}"
    )]
    Clash {
        /// Object that was edited.
        object: Arc<str>,
        /// Version that the edit made.
        current: u64,
        /// Faults of the tables together.
        faults: fault::FaultList,
    },
    /// The store did not answer.
    #[display("{_0}")]
    Store(client::StoreError),
    /// The store refused a write without effect.
    #[display("the object API refused `{_0}`; check its limits and the object's size")]
    Refused(#[error(not(source))] Arc<str>),
    /// The instance gave no usable answer.
    #[display("{_0}")]
    Instance(#[error(not(source))] Arc<str>),
    /// Whether a write took effect is not known.
    #[display(
        "whether `{object}` took the edit is not known; look for edit_id {edit_id} in it before you edit again"
    )]
    Unknown {
        /// Object that was to be edited.
        object: Arc<str>,
        /// Identifier that the edit wrote.
        edit_id: Arc<str>,
    },
    /// The row does not exist.
    #[display("`{name}` is not in `{object}`; `list` shows what is")]
    Missing {
        /// Object that was searched.
        object: Arc<str>,
        /// Name that was not found.
        name: Arc<str>,
    },
}

impl CommandError {
    /// Returns how a command with this error ends.
    #[must_use]
    pub const fn exit(&self) -> CommandExit {
        match self {
            Self::Usage(_) => CommandExit::Usage,
            Self::Unreadable { .. } | Self::Faulty(_) => CommandExit::Faulty,
            Self::Conflict { .. } | Self::Clash { .. } => CommandExit::Conflict,
            Self::Store(_) | Self::Refused(_) | Self::Instance(_) => CommandExit::Unreachable,
            Self::Unknown { .. } => CommandExit::Unknown,
            Self::Missing { .. } => CommandExit::Missing,
        }
    }

    /// Returns the version that an edit met, if it lost a race.
    #[must_use]
    pub const fn current_version(&self) -> Option<u64> {
        match self {
            Self::Conflict { current, .. } | Self::Clash { current, .. } => Some(*current),
            _ => None,
        }
    }
}

/// Runs one of the operators' commands; `None` when there is none of this name.
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
        _ => None,
    }
}
