//! The command line of each command.

use std::fs;
use std::str;

/// What is wrong with a command line.
#[derive(Debug, derive_more::Display)]
pub(crate) enum OptionFault {
    /// There is no such command.
    #[display("`{_0}` is no command; see marjoramwing-standins --help")]
    Command(String),
    /// An option is unknown or lacks its value.
    #[display("{fault}; see marjoramwing-standins {command} --help")]
    Option {
        /// Command that was given.
        command: &'static str,
        /// What is wrong.
        fault: getopts::Fail,
    },
    /// A value cannot be read.
    #[display("`{value}` is not {wanted}; see marjoramwing-standins {command} --help")]
    Value {
        /// Command that was given.
        command: &'static str,
        /// What was given.
        value: String,
        /// What is wanted.
        wanted: &'static str,
    },
    /// An argument is missing or superfluous.
    #[display("{command} needs {wanted}; see marjoramwing-standins {command} --help")]
    Arguments {
        /// Command that was given.
        command: &'static str,
        /// What is wanted.
        wanted: &'static str,
    },
}

/// What is wrong with a file.
#[derive(Debug, derive_more::Display)]
pub(crate) enum FileFault {
    /// The file cannot be read or written.
    #[display("{file}: {source}; check the path")]
    Unusable {
        /// Path of the file.
        file: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file is not such a document.
    #[display("{file}: {source}; correct the document")]
    Malformed {
        /// Path of the file.
        file: String,
        /// Where and why.
        source: serde_json::Error,
    },
    /// The file has no such pool.
    #[display("{file} has no pool named `{pool}`; check the name")]
    NoPool {
        /// Path of the file.
        file: String,
        /// Name of the pool.
        pool: String,
    },
}

/// A parsed command line, or its help text.
pub(crate) enum ParsedLine {
    /// Options and arguments.
    Matches(CommandMatches),
    /// Help was asked for.
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
    brief: &str,
    mut options: getopts::Options,
    words: &[String],
) -> Result<ParsedLine, OptionFault> {
    options.optflag("h", "help", "print this text");
    let parsed = options.parse(words);
    let matches = parsed.map_err(|fault| OptionFault::Option { command, fault })?;
    if matches.opt_present("help") {
        let brief = format!("marjoramwing-standins {command} {brief}");
        return Ok(ParsedLine::Help(options.usage(&brief)));
    }
    Ok(ParsedLine::Matches(CommandMatches { command, matches }))
}

impl CommandMatches {
    /// Returns the value of an option, if it was given.
    pub(crate) fn value<T: str::FromStr>(
        &self,
        option: &str,
        wanted: &'static str,
    ) -> Result<Option<T>, OptionFault> {
        let given = self.matches.opt_str(option);
        given.map(|text| self.read(&text, wanted)).transpose()
    }

    /// Returns the value of an option that must be given.
    pub(crate) fn required<T: str::FromStr>(
        &self,
        option: &str,
        wanted: &'static str,
    ) -> Result<T, OptionFault> {
        self.value(option, wanted)?.ok_or_else(|| self.needs(wanted))
    }

    /// Returns all values of an option.
    pub(crate) fn values(&self, option: &str) -> Vec<String> {
        self.matches.opt_strs(option)
    }

    /// Returns the arguments after the options.
    pub(crate) fn arguments(&self) -> &[String] {
        &self.matches.free
    }

    /// Reads one text as a value.
    pub(crate) fn read<T: str::FromStr>(
        &self,
        text: &str,
        wanted: &'static str,
    ) -> Result<T, OptionFault> {
        let fault =
            |_| OptionFault::Value { command: self.command, value: text.to_owned(), wanted };
        text.parse().map_err(fault)
    }

    /// Makes the fault of a missing argument.
    pub(crate) const fn needs(&self, wanted: &'static str) -> OptionFault {
        OptionFault::Arguments { command: self.command, wanted }
    }
}

/// Reads a JSON file.
pub(crate) fn read_json<T: serde::de::DeserializeOwned>(file: &str) -> Result<T, FileFault> {
    let text = read_file(file)?;
    serde_json::from_slice(&text)
        .map_err(|source| FileFault::Malformed { file: file.to_owned(), source })
}

/// Reads a file.
pub(crate) fn read_file(file: &str) -> Result<Vec<u8>, FileFault> {
    fs::read(file).map_err(|source| FileFault::Unusable { file: file.to_owned(), source })
}
