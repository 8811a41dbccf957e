//! `marjoramwing lookup`: queries an instance for the instances that a caller should use.

use std::net;
use std::sync::Arc;

use crate::command;
use crate::instance;
use crate::options;
use crate::output;

/// Environment variable that holds a team key.
pub const KEY_VARIABLE: &str = "MARJORAMWING_TEAM_KEY";

const LOOKUP_PATH: &str = "/.well-known/marjoramwing/lookup";

const SPEC: options::CommandSpec = options::CommandSpec {
    synopsis: "lookup ADDRESS [OPTIONS]",
    purpose: "Asks the caller port of an instance which instances a caller is to use. A key \
              may come from --key-file or $MARJORAMWING_TEAM_KEY.",
    exits: &[command::CommandExit::Faulty, command::CommandExit::Unreachable],
};

/// The fields of a lookup response that the plain output needs.
#[derive(serde::Deserialize)]
struct LookupResponse {
    instances: Vec<LookupInstance>,
    ttl_ms: u64,
}

#[derive(serde::Deserialize)]
struct LookupInstance {
    address: net::SocketAddr,
    region: Arc<str>,
    failure_domain: Arc<str>,
}

/// Runs the command.
#[must_use]
pub fn run(arguments: &[String]) -> command::CommandExit {
    let mut options = getopts::Options::new();
    options.optopt("", "client", "IP address of the caller; default: this machine's", "IP");
    options.optopt("", "key-file", "file with a team key", "FILE");
    options::add_common_options(&mut options);
    options::run(&SPEC, options, arguments, print_lookup)
}

async fn print_lookup(matches: &getopts::Matches) -> Result<(), command::CommandError> {
    let [address] = &matches.free[..] else {
        return Err(options::usage_error("specify the address of one instance's caller port"));
    };
    let path = match matches.opt_get::<net::IpAddr>("client") {
        Ok(Some(client)) => format!("{LOOKUP_PATH}?client={client}"),
        Ok(None) => LOOKUP_PATH.to_owned(),
        Err(_) => return Err(options::usage_error("--client needs an IP address")),
    };
    let key = options::read_secret(matches, "key-file", KEY_VARIABLE)?;
    let request = instance::InstanceRequest {
        method: http::Method::GET,
        address: options::parse_address(address)?,
        path: &path,
        bearer: key.as_deref(),
        timeout: options::read_timeout(matches)?,
    };
    let response = request.send().await?;
    if matches.opt_present("json") {
        output::print_json(&response);
        return Ok(());
    }
    let response: LookupResponse = serde_json::from_value(response).map_err(|error| {
        command::CommandError::Instance(
            format!("the body is not a lookup response ({error}); check the port").into(),
        )
    })?;
    for instance in &response.instances {
        println!("{}  {}  {}", instance.address, instance.region, instance.failure_domain);
    }
    println!("valid for {} ms", response.ttl_ms);
    Ok(())
}
