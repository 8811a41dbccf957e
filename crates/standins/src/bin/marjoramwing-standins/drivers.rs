//! The commands that drive a deployment and end.

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

use crate::CommandEnd;
use crate::CommandError;
use crate::options;

const ADDRESS: &str = "an IP address and port";
const READY_POLL: time::Duration = time::Duration::from_millis(100);
const DEFAULT_READY_SECONDS: u64 = 30;

/// Copies a deployment's files to other ports.
pub(crate) fn place_deployment(words: &[String]) -> Result<CommandEnd, CommandError> {
    let mut line = getopts::Options::new();
    line.optopt("p", "first-port", "first of the consecutive ports to use", "PORT");
    let brief = "--first-port PORT FROM_DIRECTORY TO_DIRECTORY";
    let matches = match options::parse("place", brief, line, words)? {
        options::ParsedLine::Matches(matches) => matches,
        options::ParsedLine::Help(text) => return Ok(CommandEnd::Help(text)),
    };
    let first: u16 = matches.required("first-port", "--first-port with a port")?;
    let [from, to] = matches.arguments() else {
        return Err(matches.needs("two directories").into());
    };
    let mut plan = deployment::PortPlan::new(first);
    let copied = plan.copy(path::Path::new(from), path::Path::new(to));
    copied.map_err(|source| options::FileFault::Unusable { file: from.clone(), source })?;
    Ok(CommandEnd::Done)
}

/// Waits until every instance is ready.
pub(crate) async fn wait_ready(words: &[String]) -> Result<CommandEnd, CommandError> {
    let mut line = getopts::Options::new();
    line.optopt("", "seconds", "longest wait (30)", "SECONDS");
    let brief = "[--seconds SECONDS] ADMIN_ADDRESS...";
    let matches = match options::parse("ready", brief, line, words)? {
        options::ParsedLine::Matches(matches) => matches,
        options::ParsedLine::Help(text) => return Ok(CommandEnd::Help(text)),
    };
    let seconds = matches.value("seconds", "a number of seconds")?;
    let wait = time::Duration::from_secs(seconds.unwrap_or(DEFAULT_READY_SECONDS));
    let deadline = tokio::time::Instant::now() + wait;
    let http = control::make_client();
    for text in matches.arguments() {
        let address = matches.read(text, ADDRESS)?;
        while !control::is_ready(&http, address).await {
            if tokio::time::Instant::now() > deadline {
                return Err(CommandError::NotReady(address));
            }
            tokio::time::sleep(READY_POLL).await;
        }
    }
    Ok(CommandEnd::Done)
}

/// Sets switches of stand-ins.
pub(crate) async fn set_switches(words: &[String]) -> Result<CommandEnd, CommandError> {
    let brief = "faults|behaviour JSON_OBJECT ADDRESS...";
    let matches = match options::parse("switch", brief, getopts::Options::new(), words)? {
        options::ParsedLine::Matches(matches) => matches,
        options::ParsedLine::Help(text) => return Ok(CommandEnd::Help(text)),
    };
    let [switches, members, addresses @ ..] = matches.arguments() else {
        return Err(matches.needs("the kind of switches, a JSON object and addresses").into());
    };
    let http = control::make_client();
    for text in addresses {
        let path = format!("/control/{switches}");
        control::set_switches(&http, matches.read(text, ADDRESS)?, &path, members).await?;
    }
    Ok(CommandEnd::Done)
}

/// Prints the counts of a stand-in.
pub(crate) async fn print_counts(words: &[String]) -> Result<CommandEnd, CommandError> {
    let brief = "counts|runs|slots|activity ADDRESS";
    let matches = match options::parse("counts", brief, getopts::Options::new(), words)? {
        options::ParsedLine::Matches(matches) => matches,
        options::ParsedLine::Help(text) => return Ok(CommandEnd::Help(text)),
    };
    let [counted, text] = matches.arguments() else {
        return Err(matches.needs("what to print and an address").into());
    };
    let path = format!("/control/{counted}");
    let address = matches.read(text, ADDRESS)?;
    let counts: serde_json::Value = control::fetch(&control::make_client(), address, &path).await?;
    println!("{counts}");
    Ok(CommandEnd::Done)
}

fn load_options() -> getopts::Options {
    let mut line = getopts::Options::new();
    line.optmulti("", "phase", "phase to run, in order (the first)", "NAME");
    line.optopt("", "seconds", "length of each phase in place of its own", "SECONDS");
    line.optopt("", "seed", "seed in place of the profile's own", "NUMBER");
    line.optopt("", "direct", "send straight to random servers of this pools file", "FILE");
    line.optopt("", "platform", "object API for --edit-route and --drain", "ADDRESS");
    line.optopt("", "edit-route", "route to edit half-way", "NAME");
    line.optopt("", "drain", "backend server to drain half-way", "ADDRESS");
    line.optopt("", "json", "file for the report as JSON", "FILE");
    line.optopt("", "label", "label of the last line (load)", "TEXT");
    line
}

/// Sends a load and reports on it.
pub(crate) async fn send_load(words: &[String]) -> Result<CommandEnd, CommandError> {
    let brief = "[OPTIONS] PROFILE_FILE";
    let matches = match options::parse("load", brief, load_options(), words)? {
        options::ParsedLine::Matches(matches) => matches,
        options::ParsedLine::Help(text) => return Ok(CommandEnd::Help(text)),
    };
    let [file] = matches.arguments() else {
        return Err(matches.needs("one profile").into());
    };
    let profile = read_profile(&matches, file)?;
    let target = read_target(&matches)?;
    let event = read_event(&matches)?;
    let report = run::run_load(profile, target, event).await?;
    if let Some(file) = matches.value::<String>("json", "a file")? {
        let text = serde_json::to_vec_pretty(&report).expect("a report is valid JSON");
        let written = fs::write(&file, text);
        written.map_err(|source| options::FileFault::Unusable { file, source })?;
    }
    let label: Option<String> = matches.value("label", "a text")?;
    print_report(&report, label.as_deref().unwrap_or("load"));
    Ok(if report.is_clean() { CommandEnd::Done } else { CommandEnd::NotClean })
}

fn print_report(report: &report::LoadReport, label: &str) {
    print!("{report}");
    let served = report.count(attempt::CallResult::Served);
    let cut = report.count(attempt::CallResult::Cut);
    println!(
        "{label}: {served} served, {} lost, {} doubled, {cut} cut",
        report.lost, report.doubled
    );
}

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
        let servers = pool.servers.iter().map(|row| matches.read(&row.address, ADDRESS));
        let servers: Vec<net::SocketAddr> = servers.collect::<Result<_, _>>()?;
        pools.insert(pool.name.to_string(), servers);
    }
    Ok(profile::CallTarget::Servers(pools))
}

fn read_event(matches: &options::CommandMatches) -> Result<run::RunEvent, CommandError> {
    let platform = || matches.required("platform", "--platform with the object API's address");
    let route: Option<String> = matches.value("edit-route", "a route")?;
    let server: Option<net::SocketAddr> = matches.value("drain", ADDRESS)?;
    match (route, server) {
        (None, None) => Ok(run::RunEvent::None),
        (Some(route), None) => Ok(run::RunEvent::EditRoute { platform: platform()?, route }),
        (None, Some(server)) => Ok(run::RunEvent::DrainServer { platform: platform()?, server }),
        (Some(_), Some(_)) => {
            Err(matches.needs("one of --edit-route and --drain, not both").into())
        }
    }
}
