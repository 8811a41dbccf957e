//! Commands that act on a deployment and exit.

use std::collections;
use std::fs;
use std::net;
use std::path;
use std::time;

use marjoramwing_standins::attempt;
use marjoramwing_standins::control;
use marjoramwing_standins::deployment;
use marjoramwing_standins::profile;
use marjoramwing_standins::report;
use marjoramwing_standins::run;
use marjoramwing_tables::document;

use crate::CommandError;
use crate::CommandOutcome;
use crate::options;

const EXPECTED_ADDRESS: &str = "an IP address and port";
const READY_POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);
const DEFAULT_READY_SECONDS: u64 = 30;

/// Copies the files of a deployment, with its ports replaced.
pub(crate) fn copy_deployment(args: &[String]) -> Result<CommandOutcome, CommandError> {
    let mut flags = getopts::Options::new();
    flags.optopt("p", "first-port", "first of the consecutive ports to use", "PORT");
    let usage = "--first-port PORT FROM_DIRECTORY TO_DIRECTORY";
    let matches = match options::parse("place", usage, flags, args)? {
        options::ParsedCommand::Matches(matches) => matches,
        options::ParsedCommand::Help(text) => return Ok(CommandOutcome::Help(text)),
    };
    let first: u16 = matches.required("first-port", "--first-port with a port")?;
    let [from, to] = matches.arguments() else {
        return Err(matches.usage_fault("two directories").into());
    };
    let mut rewriter = deployment::PortRewriter::new(first);
    let copied = rewriter.copy(path::Path::new(from), path::Path::new(to));
    copied.map_err(|source| options::FileFault::Inaccessible { file: from.clone(), source })?;
    Ok(CommandOutcome::Done)
}

/// Waits until every instance is ready; the timeout covers all of them together.
pub(crate) async fn wait_ready(args: &[String]) -> Result<CommandOutcome, CommandError> {
    let mut flags = getopts::Options::new();
    flags.optopt("", "seconds", "timeout (30)", "SECONDS");
    let usage = "[--seconds SECONDS] ADMIN_ADDRESS...";
    let matches = match options::parse("ready", usage, flags, args)? {
        options::ParsedCommand::Matches(matches) => matches,
        options::ParsedCommand::Help(text) => return Ok(CommandOutcome::Help(text)),
    };
    let seconds = matches.value("seconds", "a number of seconds")?;
    let wait = time::Duration::from_secs(seconds.unwrap_or(DEFAULT_READY_SECONDS));
    let deadline = tokio::time::Instant::now() + wait;
    let http = control::make_client();
    for text in matches.arguments() {
        let address = matches.parse(text, EXPECTED_ADDRESS)?;
        while !control::is_ready(&http, address).await {
            if tokio::time::Instant::now() > deadline {
                return Err(CommandError::NotReady(address));
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    }
    Ok(CommandOutcome::Done)
}

/// Sets switches of a platform or of backend servers.
pub(crate) async fn set_switches(args: &[String]) -> Result<CommandOutcome, CommandError> {
    let usage = "faults|behaviour JSON_OBJECT ADDRESS...";
    let matches = match options::parse("switch", usage, getopts::Options::new(), args)? {
        options::ParsedCommand::Matches(matches) => matches,
        options::ParsedCommand::Help(text) => return Ok(CommandOutcome::Help(text)),
    };
    let [switches, members, addresses @ ..] = matches.arguments() else {
        return Err(matches
            .usage_fault("the kind of switches, a JSON object and addresses")
            .into());
    };
    let http = control::make_client();
    for text in addresses {
        let path = format!("/control/{switches}");
        control::set_switches(&http, matches.parse(text, EXPECTED_ADDRESS)?, &path, members)
            .await?;
    }
    Ok(CommandOutcome::Done)
}

/// Prints the counts of a stand-in.
pub(crate) async fn print_counts(args: &[String]) -> Result<CommandOutcome, CommandError> {
    let usage = "counts|runs|slots|activity ADDRESS";
    let matches = match options::parse("counts", usage, getopts::Options::new(), args)? {
        options::ParsedCommand::Matches(matches) => matches,
        options::ParsedCommand::Help(text) => return Ok(CommandOutcome::Help(text)),
    };
    let [counts_kind, text] = matches.arguments() else {
        return Err(matches.usage_fault("what to print and an address").into());
    };
    let path = format!("/control/{counts_kind}");
    let address = matches.parse(text, EXPECTED_ADDRESS)?;
    let counts: serde_json::Value = control::fetch(&control::make_client(), address, &path).await?;
    println!("{counts}");
    Ok(CommandOutcome::Done)
}

fn load_options() -> getopts::Options {
    let mut flags = getopts::Options::new();
    flags.optmulti("", "phase", "phase to run, in order (the first)", "NAME");
    flags.optopt("", "seconds", "duration of each phase, overriding the profile", "SECONDS");
    flags.optopt("", "seed", "seed, overriding the profile", "NUMBER");
    flags.optopt("", "direct", "send directly to random servers of this pools file", "FILE");
    flags.optopt("", "platform", "object API for --edit-route and --drain", "ADDRESS");
    flags.optopt("", "edit-route", "route to edit half-way", "NAME");
    flags.optopt("", "drain", "backend server to drain half-way", "ADDRESS");
    flags.optopt("", "json", "file for the report as JSON", "FILE");
    flags.optopt("", "label", "label of the last line (load)", "TEXT");
    flags
}

/// Sends the load of a profile and prints the report.
pub(crate) async fn send_load(args: &[String]) -> Result<CommandOutcome, CommandError> {
    let usage = "[OPTIONS] PROFILE_FILE";
    let matches = match options::parse("load", usage, load_options(), args)? {
        options::ParsedCommand::Matches(matches) => matches,
        options::ParsedCommand::Help(text) => return Ok(CommandOutcome::Help(text)),
    };
    let [file] = matches.arguments() else {
        return Err(matches.usage_fault("one profile").into());
    };
    let profile = read_profile(&matches, file)?;
    let target = read_target(&matches)?;
    let action = read_action(&matches)?;
    let report = run::run_load(profile, target, action).await?;
    if let Some(file) = matches.value::<String>("json", "a file")? {
        let text = serde_json::to_vec_pretty(&report).expect("a report is valid JSON");
        let written = fs::write(&file, text);
        written.map_err(|source| options::FileFault::Inaccessible { file, source })?;
    }
    let label: Option<String> = matches.value("label", "a text")?;
    print_report(&report, label.as_deref().unwrap_or("load"));
    Ok(if report.is_clean() { CommandOutcome::Done } else { CommandOutcome::LoadFailed })
}

fn print_report(report: &report::LoadReport, label: &str) {
    print!("{report}");
    let served = report.count(attempt::CallResult::Served);
    let cut = report.cut();
    println!(
        "{label}: {served} served, {} lost, {} doubled, {cut} cut",
        report.lost, report.doubled
    );
}

/// Reads a profile, reduces it to the phases to run and applies the overrides.
fn read_profile(
    matches: &options::CommandMatches,
    file: &str,
) -> Result<profile::LoadProfile, CommandError> {
    let mut profile: profile::LoadProfile = options::read_json(file)?;
    let names = matches.values("phase");
    if names.is_empty() {
        profile.phases.truncate(1);
    } else {
        profile.select_phases(&names)?;
    }
    if let Some(seconds) = matches.value("seconds", "a number of seconds")? {
        for phase in &mut profile.phases {
            phase.seconds = seconds;
        }
    }
    if let Some(seed) = matches.value("seed", "a number")? {
        profile.seed = seed;
    }
    profile.check()?;
    Ok(profile)
}

fn read_target(matches: &options::CommandMatches) -> Result<profile::CallTarget, CommandError> {
    let Some(file) = matches.value::<String>("direct", "a file")? else {
        return Ok(profile::CallTarget::Instances);
    };
    let document: document::PoolsDocument = options::read_json(&file)?;
    let mut pools = collections::BTreeMap::new();
    for pool in &document.pools {
        let servers = pool.servers.iter().map(|row| matches.parse(&row.address, EXPECTED_ADDRESS));
        let servers: Vec<net::SocketAddr> = servers.collect::<Result<_, _>>()?;
        pools.insert(pool.name.to_string(), servers);
    }
    Ok(profile::CallTarget::Servers(pools))
}

fn read_action(matches: &options::CommandMatches) -> Result<run::OperatorAction, CommandError> {
    let platform = || matches.required("platform", "--platform with the object API's address");
    let route: Option<String> = matches.value("edit-route", "a route")?;
    let server: Option<net::SocketAddr> = matches.value("drain", EXPECTED_ADDRESS)?;
    match (route, server) {
        (None, None) => Ok(run::OperatorAction::None),
        (Some(route), None) => Ok(run::OperatorAction::EditRoute { platform: platform()?, route }),
        (None, Some(server)) => {
            Ok(run::OperatorAction::DrainServer { platform: platform()?, server })
        }
        (Some(_), Some(_)) => {
            Err(matches.usage_fault("one of --edit-route and --drain, not both").into())
        }
    }
}
