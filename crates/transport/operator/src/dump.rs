//! `marjoramwing dump`: prints the state of an instance.

use crate::command;
use crate::instance;
use crate::options;
use crate::output;

/// Environment variable that holds the secret of the admin port.
pub const SECRET_VARIABLE: &str = "MARJORAMWING_ADMIN_SECRET";

const SPEC: options::CommandSpec = options::CommandSpec {
    synopsis: "dump ADDRESS [OPTIONS]",
    purpose: "Prints the state of the instance with this admin port as JSON. The operators' \
              secret comes from --secret-file or $MARJORAMWING_ADMIN_SECRET.",
    exits: &[command::CommandExit::Faulty, command::CommandExit::Unreachable],
};

/// Runs the command.
#[must_use]
pub fn run(arguments: &[String]) -> command::CommandExit {
    let mut options = getopts::Options::new();
    options.optopt("", "secret-file", "file with the operators' secret", "FILE");
    options.optopt("", "section", "print only this section", "NAME");
    options::add_common_options(&mut options);
    options::run(&SPEC, options, arguments, print_dump)
}

/// Returns the secret of the admin port from `--secret-file` or the environment.
///
/// # Errors
///
/// Returns an error if neither is given, or the file cannot be read.
pub(crate) fn read_admin_secret(
    matches: &getopts::Matches,
) -> Result<String, command::CommandError> {
    let secret = options::read_secret(matches, "secret-file", SECRET_VARIABLE)?;
    secret.ok_or_else(|| {
        options::usage_error(
            "specify the operators' secret with --secret-file or $MARJORAMWING_ADMIN_SECRET",
        )
    })
}

async fn print_dump(matches: &getopts::Matches) -> Result<(), command::CommandError> {
    let [address] = &matches.free[..] else {
        return Err(options::usage_error("specify the address of one instance's admin port"));
    };
    let secret = read_admin_secret(matches)?;
    let request = instance::InstanceRequest {
        method: http::Method::GET,
        address: options::parse_address(address)?,
        path: "/dump",
        bearer: Some(&secret),
        timeout: options::read_timeout(matches)?,
    };
    let dump = request.send().await?;
    let Some(section) = matches.opt_str("section") else {
        output::print_json(&dump);
        return Ok(());
    };
    let section = dump.get(&section).ok_or_else(|| {
        options::usage_error(format!(
            "the dump has no section `{section}`; omit --section to see all"
        ))
    })?;
    output::print_json(section);
    Ok(())
}
