//! Command-line options, help texts and sources of secrets.
//!
//! Invariant: a secret is never passed as an argument, since other users of the
//! machine can read the arguments of a process.

use std::env;
use std::fs;
use std::net;
use std::sync::Arc;
use std::time;

use marjoramwing_store_client::client;
use marjoramwing_store_client::dialect;

use crate::command;
use crate::output;

/// Environment variable that holds the address of the object API.
pub const STORE_VARIABLE: &str = "MARJORAMWING_STORE";

const DEFAULT_TIMEOUT_MS: u64 = 5_000;

/// Contents of the help text of a command.
#[derive(Debug, Clone, Copy)]
pub struct CommandSpec {
    /// Command line without options.
    pub synopsis: &'static str,
    /// What the command does.
    pub purpose: &'static str,
    /// Exit statuses that the command can have besides `Done` and `Usage`.
    pub exits: &'static [command::CommandExit],
}

impl CommandSpec {
    /// Parses a command line; prints the help text if requested, or the error.
    ///
    /// # Errors
    ///
    /// Returns the exit status if the help text or an error was printed.
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

/// Adds the options of the commands that call the object API.
pub fn add_store_options(options: &mut getopts::Options) {
    let store = "address of the object API; default: $MARJORAMWING_STORE";
    options.optopt("s", "store", store, "ADDRESS");
    add_common_options(options);
}

/// Adds the options of the commands that send requests.
pub fn add_common_options(options: &mut getopts::Options) {
    options.optopt("", "timeout-ms", "longest wait for one call; default: 5000", "N");
    options.optflag("j", "json", "print JSON for scripts");
}

/// Creates the client of the object API that the options or the environment name.
///
/// # Errors
///
/// Returns an error if the address is missing or invalid, or the timeout is not a number.
pub fn make_store_client(
    matches: &getopts::Matches,
) -> Result<client::StoreClient, command::CommandError> {
    let address = matches.opt_str("store").or_else(|| env::var(STORE_VARIABLE).ok());
    let address =
        address.ok_or_else(|| usage_error("specify the address of the object API with --store"))?;
    Ok(client::StoreClient::new(
        parse_address(&address)?,
        read_timeout(matches)?,
        dialect::StoreDialect::Native,
    ))
}

/// Returns the timeout of one call.
///
/// # Errors
///
/// Returns an error if the option is not a number.
pub fn read_timeout(matches: &getopts::Matches) -> Result<time::Duration, command::CommandError> {
    let timeout_ms = matches.opt_get_default("timeout-ms", DEFAULT_TIMEOUT_MS);
    let timeout_ms = timeout_ms.map_err(|_| usage_error("--timeout-ms needs a number"))?;
    Ok(time::Duration::from_millis(timeout_ms))
}

/// Parses an IP address and port.
///
/// # Errors
///
/// Returns an error if the text is not a socket address.
pub fn parse_address(text: &str) -> Result<net::SocketAddr, command::CommandError> {
    let invalid =
        || usage_error(format!("`{text}` is not an IP address and port such as 10.0.0.1:7100"));
    text.parse().map_err(|_| invalid())
}

/// Reads a secret from the file that an option names, or else from an environment variable; returns
/// `None` if neither is given.
///
/// # Errors
///
/// Returns an error if the file cannot be read.
pub fn read_secret(
    matches: &getopts::Matches,
    option: &str,
    variable: &str,
) -> Result<Option<String>, command::CommandError> {
    let Some(file) = matches.opt_str(option) else {
        return Ok(env::var(variable).ok());
    };
    let text = fs::read_to_string(&file).map_err(|error| unreadable_error(&file, &error))?;
    Ok(Some(text.trim().to_owned()))
}

/// Returns the error for an invalid command line.
#[must_use]
pub fn usage_error(text: impl Into<Arc<str>>) -> command::CommandError {
    command::CommandError::Usage(text.into())
}

/// Returns the error for a file that cannot be read.
#[must_use]
pub fn unreadable_error(file: &str, error: &std::io::Error) -> command::CommandError {
    let reason = format!("cannot be read ({error}); check the path and its permissions");
    command::CommandError::Unreadable { file: file.into(), reason: reason.into() }
}

/// Parses a command line, runs the command and prints its error, if any.
#[must_use]
pub fn run(
    spec: &CommandSpec,
    options: getopts::Options,
    arguments: &[String],
    action: impl AsyncFnOnce(&getopts::Matches) -> Result<(), command::CommandError>,
) -> command::CommandExit {
    let matches = match spec.parse(options, arguments) {
        Ok(matches) => matches,
        Err(exit) => return exit,
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let Ok(runtime) = runtime else {
        eprintln!("cannot start the async runtime; raise the process's limits");
        return command::CommandExit::Faulty;
    };
    match runtime.block_on(action(&matches)) {
        Ok(()) => command::CommandExit::Done,
        Err(error) => {
            output::print_error(&error, matches.opt_present("json"));
            error.exit()
        }
    }
}
