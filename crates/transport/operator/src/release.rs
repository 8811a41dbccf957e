//! `marjoramwing release`: ends the hold on a request under which backend servers ended.

use crate::command;
use crate::dump;
use crate::instance;
use crate::options;
use crate::output;

const SPEC: options::CommandSpec = options::CommandSpec {
    synopsis: "release ADDRESS CONTENT [OPTIONS]",
    purpose: "Lets a held request run again on all instances; CONTENT is its fingerprint, as \
              `dump --section quarantine` shows it. The operators' secret comes from --secret-file \
              or $MARJORAMWING_ADMIN_SECRET.",
    exits: &[command::CommandExit::Unreachable],
};

/// Runs the command.
#[must_use]
pub fn run(arguments: &[String]) -> command::CommandExit {
    let mut options = getopts::Options::new();
    options.optopt("", "secret-file", "file with the operators' secret", "FILE");
    options::add_common_options(&mut options);
    options::run(&SPEC, options, arguments, release_request)
}

async fn release_request(matches: &getopts::Matches) -> Result<(), command::CommandError> {
    let [address, content] = &matches.free[..] else {
        return Err(options::usage_error(
            "specify the address of one instance's admin port and the fingerprint of a request",
        ));
    };
    let is_fingerprint =
        content.len() == 32 && content.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_fingerprint {
        return Err(options::usage_error("a fingerprint has 32 hexadecimal digits"));
    }
    let secret = dump::read_admin_secret(matches)?;
    let request = instance::InstanceRequest {
        method: http::Method::POST,
        address: options::parse_address(address)?,
        path: &format!("/quarantine/release?content={content}"),
        bearer: Some(&secret),
        timeout: options::read_timeout(matches)?,
    };
    output::print_json(&request.send().await?);
    Ok(())
}
