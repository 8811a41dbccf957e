//! `marjoramwing dump`: prints the state of an instance.

use crate::command;
use crate::instance;
use crate::options;
use crate::output;

/// Environment variable with the operators' secret.
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
    options::run(&SPEC, options, arguments, ask)
}

async fn ask(matches: &getopts::Matches) -> Result<(), command::CommandError> {
    let [address] = &matches.free[..] else {
        return Err(options::usage("name the admin port of one instance"));
    };
    let secret = options::read_secret(matches, "secret-file", SECRET_VARIABLE)?;
    let secret = secret.ok_or_else(|| {
        options::usage("give the operators' secret by --secret-file or $MARJORAMWING_ADMIN_SECRET")
    })?;
    let question = instance::InstanceQuestion {
        address: options::parse_address(address)?,
        path: "/dump",
        bearer: Some(&secret),
        timeout: options::read_timeout(matches)?,
    };
    let state = question.ask().await?;
    let Some(section) = matches.opt_str("section") else {
        output::print_json(&state);
        return Ok(());
    };
    let part = state.get(&section).ok_or_else(|| {
        options::usage(format!("the dump has no section `{section}`; omit --section to see all"))
    })?;
    output::print_json(part);
    Ok(())
}
