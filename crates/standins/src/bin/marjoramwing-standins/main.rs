//! Runs the stand-ins as processes and drives them.
//!
//! - `options`: the command line.
//! - `servers`: the commands that serve until stopped.
//! - `drivers`: the commands that drive a deployment and end.

mod drivers;
mod options;
mod servers;

use std::env;
use std::process;

const USAGE: &str = "\
marjoramwing-standins COMMAND [OPTIONS]

Commands (each has --help):
  platform   serve the object API with the tables of a directory
  backends   serve all backend servers of one pool
  place      copy a deployment's files to other ports
  hold       hold a deployment's ports against outgoing connections
  ready      wait until every instance is ready
  switch     set switches of a platform or of backend servers
  counts     print what a platform or a backend server counted, as JSON
  load       send the load of a profile and report on it

Exit codes: 0 done, 1 not clean or failed, 2 wrong command line.
";

/// How a command ended.
enum CommandEnd {
    /// The command did what was asked.
    Done,
    /// The load had requests lost, doubled or cut.
    NotClean,
    /// Help was asked for.
    Help(String),
}

/// Why a command failed.
#[derive(Debug, derive_more::Display, derive_more::From)]
enum CommandError {
    /// The command line is wrong.
    #[display("{_0}")]
    Options(options::OptionFault),
    /// A file cannot be used.
    #[display("{_0}")]
    File(options::FileFault),
    /// A port cannot be had.
    #[display("{_0}")]
    Io(std::io::Error),
    /// Ports are taken.
    #[display("{_0}")]
    Taken(marjoramwing_standins::deployment::TakenPorts),
    /// A control path did not answer.
    #[display("{_0}")]
    Control(marjoramwing_standins::control::ControlError),
    /// The profile is wrong.
    #[display("{_0}")]
    Profile(marjoramwing_standins::profile::ProfileFault),
    /// Instances did not become ready.
    #[display("{_0} did not become ready; read its log")]
    #[from(skip)]
    NotReady(std::net::SocketAddr),
}

#[tokio::main]
async fn main() -> process::ExitCode {
    let mut arguments = env::args().skip(1);
    let command = arguments.next().unwrap_or_default();
    let rest: Vec<String> = arguments.collect();
    let result = match command.as_str() {
        "platform" => servers::serve_platform(&rest).await,
        "backends" => servers::serve_backends(&rest).await,
        "place" => drivers::place_deployment(&rest),
        "hold" => servers::hold_ports(&rest).await,
        "ready" => drivers::wait_ready(&rest).await,
        "switch" => drivers::set_switches(&rest).await,
        "counts" => drivers::print_counts(&rest).await,
        "load" => drivers::send_load(&rest).await,
        "--help" | "-h" => Ok(CommandEnd::Help(USAGE.to_owned())),
        _ => Err(options::OptionFault::Command(command).into()),
    };
    match result {
        Ok(CommandEnd::Done) => process::ExitCode::SUCCESS,
        Ok(CommandEnd::NotClean) => process::ExitCode::from(1),
        Ok(CommandEnd::Help(text)) => {
            print!("{text}");
            process::ExitCode::SUCCESS
        }
        Err(error @ CommandError::Options(_)) => {
            eprintln!("{error}");
            process::ExitCode::from(2)
        }
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::from(1)
        }
    }
}
