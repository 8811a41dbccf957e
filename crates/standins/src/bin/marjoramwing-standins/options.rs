//! Command-line parsing.

use std::fs;
use std::str;

/// A fault in a command line.
#[derive(Debug, derive_more::Display)]
pub(crate) enum OptionFault {
    /// There is no such command.
    #[display("there is no command `{_0}`; see marjoramwing-standins --help")]
    Command(String),
    /// An option is unknown, repeated or lacks its value.
    #[display("{fault}; see marjoramwing-standins {command} --help")]
    Option {
        /// Name of the command.
        command: &'static str,
        /// Fault reported by the option parser.
        fault: getopts::Fail,
    },
    /// A value cannot be parsed.
    #[display("`{value}` is not {expected}; see marjoramwing-standins {command} --help")]
    Value {
        /// Name of the command.
        command: &'static str,
        /// Value as given.
        value: String,
        /// Description of what is expected.
        expected: &'static str,
    },
    /// Arguments are missing, superfluous or in conflict.
    #[display("{command} needs {expected}; see marjoramwing-standins {command} --help")]
    Arguments {
        /// Name of the command.
        command: &'static str,
        /// Description of what is expected.
        expected: &'static str,
    },
}

/// A fault of a file.
#[derive(Debug, derive_more::Display)]
pub(crate) enum FileFault {
    /// The file cannot be read or written.
    #[display("{file}: {source}; check the path")]
    Inaccessible {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not a valid document of the expected type.
    #[display("{file}: {source}; correct the document")]
    Malformed {
        /// Path of the file.
        file: String,
        /// Error of the JSON parser, with the position.
        source: serde_json::Error,
    },
    /// The file has no pool with this name.
    #[display("{file} has no pool named `{pool}`; check the name")]
    NoPool {
        /// Path of the file.
        file: String,
        /// Name of the pool.
        pool: String,
    },
}

/// A parsed command line, or its help text.
pub(crate) enum ParsedCommand {
    /// Options and arguments.
    Matches(CommandMatches),
    /// Text of the requested help.
    Help(String),
}

/// Options and arguments of one command.
pub(crate) struct CommandMatches {
    command: &'static str,
    matches: getopts::Matches,
}

/// Parses the command line of one command.
pub(crate) fn parse(
    command: &'static str,
    usage: &str,
    mut options: getopts::Options,
    args: &[String],
) -> Result<ParsedCommand, OptionFault> {
    options.optflag("h", "help", "print this text");
    let parsed = options.parse(args);
    let matches = parsed.map_err(|fault| OptionFault::Option { command, fault })?;
    if matches.opt_present("help") {
        let usage = format!("marjoramwing-standins {command} {usage}");
        return Ok(ParsedCommand::Help(options.usage(&usage)));
    }
    Ok(ParsedCommand::Matches(CommandMatches { command, matches }))
}

impl CommandMatches {
    /// Returns the value of an option, if it was given.
    pub(crate) fn value<T: str::FromStr>(
        &self,
        option: &str,
        expected: &'static str,
    ) -> Result<Option<T>, OptionFault> {
        let given = self.matches.opt_str(option);
        given.map(|text| self.parse(&text, expected)).transpose()
    }

    /// Returns the value of a required option.
    pub(crate) fn required<T: str::FromStr>(
        &self,
        option: &str,
        expected: &'static str,
    ) -> Result<T, OptionFault> {
        self.value(option, expected)?.ok_or_else(|| self.usage_fault(expected))
    }

    /// Returns all values of an option.
    pub(crate) fn values(&self, option: &str) -> Vec<String> {
        self.matches.opt_strs(option)
    }

    /// Returns the arguments after the options.
    pub(crate) fn arguments(&self) -> &[String] {
        &self.matches.free
    }

    /// Parses a text as a value.
    pub(crate) fn parse<T: str::FromStr>(
        &self,
        text: &str,
        expected: &'static str,
    ) -> Result<T, OptionFault> {
        let fault =
            |_| OptionFault::Value { command: self.command, value: text.to_owned(), expected };
        text.parse().map_err(fault)
    }

    /// Returns the fault for arguments other than the expected ones.
    pub(crate) const fn usage_fault(&self, expected: &'static str) -> OptionFault {
        OptionFault::Arguments { command: self.command, expected }
    }
}

/// Reads and parses a JSON file.
pub(crate) fn read_json<T: serde::de::DeserializeOwned>(file: &str) -> Result<T, FileFault> {
    let text = read_file(file)?;
    serde_json::from_slice(&text)
        .map_err(|source| FileFault::Malformed { file: file.to_owned(), source })
}

/// Reads a file as bytes.
pub(crate) fn read_file(file: &str) -> Result<Vec<u8>, FileFault> {
    fs::read(file).map_err(|source| FileFault::Inaccessible { file: file.to_owned(), source })
}
