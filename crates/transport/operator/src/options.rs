//! Command lines, help texts and where secrets come from.
//!
//! Invariant: no secret is ever an argument, since other users of the machine
//! can read a process's arguments.

use std::env;
use std::fs;
use std::net;
use std::sync::Arc;
use std::time;

use marjoramwing_store_client::client;
use marjoramwing_store_client::dialect;

use crate::command;
use crate::output;

/// Environment variable with the address of the object API.
pub const STORE_VARIABLE: &str = "MARJORAMWING_STORE";

const DEFAULT_TIMEOUT_MS: u64 = 5_000;

/// What the help text of a command says.
#[derive(Debug, Clone, Copy)]
pub struct CommandSpec {
    /// Command line without options.
    pub synopsis: &'static str,
    /// What the command does.
    pub purpose: &'static str,
    /// Exits that the command can have, besides done and usage.
    pub exits: &'static [command::CommandExit],
}

impl CommandSpec {
    /// Parses a command line, or prints help or what is wrong with it.
    ///
    /// # Errors
    ///
    /// Returns how the command ends when it is not to run.
    pub fn parse(
        &self,
        mut options: getopts::Options,
        arguments: &[String],
    ) -> Result<getopts::Matches, command::CommandExit> {
        options.optflag("h", "help", "print this text");
        match options.parse(arguments) {
            Ok(matches) if matches.opt_present("help") => {
                print!("{}", self.help(&options));
                Err(command::CommandExit::Done)
            }
            Ok(matches) => Ok(matches),
            Err(error) => {
                eprintln!("{error}; see marjoramwing {} --help", self.name());
                Err(command::CommandExit::Usage)
            }
        }
    }

    fn name(&self) -> &'static str {
        self.synopsis.split(' ').next().unwrap_or_default()
    }

    fn help(&self, options: &getopts::Options) -> String {
        let brief = format!("Usage: marjoramwing {}\n\n{}", self.synopsis, self.purpose);
        let mut text = options.usage(&brief);
        text.push_str("\nExit codes:\n");
        let common = [command::CommandExit::Done, command::CommandExit::Usage];
        let mut exits: Vec<_> = common.iter().chain(self.exits).collect();
        exits.sort();
        for exit in exits {
            text.push_str(&format!("    {}  {}\n", exit.code(), exit.meaning()));
        }
        text
    }
}

/// Adds the options of a command that talks to the object API.
pub fn add_store_options(options: &mut getopts::Options) {
    let store = "address of the object API; default: $MARJORAMWING_STORE";
    options.optopt("s", "store", store, "ADDRESS");
    add_common_options(options);
}

/// Adds the options of every command that waits for an answer.
pub fn add_common_options(options: &mut getopts::Options) {
    options.optopt("", "timeout-ms", "longest wait for one call; default: 5000", "N");
    options.optflag("j", "json", "print JSON for scripts");
}

/// Makes the client of the object API that the options name.
///
/// # Errors
///
/// Returns an error when no or a wrong address is given.
pub fn make_store_client(
    matches: &getopts::Matches,
) -> Result<client::StoreClient, command::CommandError> {
    let given = matches.opt_str("store").or_else(|| env::var(STORE_VARIABLE).ok());
    let given = given.ok_or_else(|| usage("name the object API with --store"))?;
    Ok(client::StoreClient::new(
        parse_address(&given)?,
        read_timeout(matches)?,
        dialect::StoreDialect::Native,
    ))
}

/// Returns the longest wait for one call.
///
/// # Errors
///
/// Returns an error when the option is not a number.
pub fn read_timeout(matches: &getopts::Matches) -> Result<time::Duration, command::CommandError> {
    let timeout_ms = matches.opt_get_default("timeout-ms", DEFAULT_TIMEOUT_MS);
    let timeout_ms = timeout_ms.map_err(|_| usage("--timeout-ms needs a number"))?;
    Ok(time::Duration::from_millis(timeout_ms))
}

/// Parses an IP address and port.
///
/// # Errors
///
/// Returns an error when the text is something else.
pub fn parse_address(text: &str) -> Result<net::SocketAddr, command::CommandError> {
    let wrong = || usage(format!("`{text}` is not an IP address and port such as 10.0.0.1:7100"));
    text.parse().map_err(|_| wrong())
}

/// Reads a secret from a file that an option names, or from a variable.
///
/// # Errors
///
/// Returns an error when the file cannot be read.
pub fn read_secret(
    matches: &getopts::Matches,
    option: &str,
    variable: &str,
) -> Result<Option<String>, command::CommandError> {
    let Some(file) = matches.opt_str(option) else {
        return Ok(env::var(variable).ok());
    };
    let text = fs::read_to_string(&file).map_err(|error| unreadable(&file, &error))?;
    Ok(Some(text.trim().to_owned()))
}

/// Makes the error of a wrong command line.
#[must_use]
pub fn usage(text: impl Into<Arc<str>>) -> command::CommandError {
    command::CommandError::Usage(text.into())
}

/// Makes the error of a file that cannot be read.
#[must_use]
pub fn unreadable(file: &str, error: &std::io::Error) -> command::CommandError {
    let reason = format!("cannot be read ({error}); check the path and its permissions");
    command::CommandError::Unreadable { place: file.into(), reason: reason.into() }
}

/// Parses a command line, runs the command to its end and prints its error, if any.
#[must_use]
pub fn run(
    spec: &CommandSpec,
    options: getopts::Options,
    arguments: &[String],
    work: impl AsyncFnOnce(&getopts::Matches) -> Result<(), command::CommandError>,
) -> command::CommandExit {
    let matches = match spec.parse(options, arguments) {
        Ok(matches) => matches,
        Err(exit) => return exit,
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let Ok(runtime) = runtime else {
        eprintln!("cannot start a runtime; raise the process's limits");
        return command::CommandExit::Faulty;
    };
    match runtime.block_on(work(&matches)) {
        Ok(()) => command::CommandExit::Done,
        Err(error) => {
            output::print_error(&error, matches.opt_present("json"));
            error.exit()
        }
    }
}
