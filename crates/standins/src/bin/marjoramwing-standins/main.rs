//! Runs the stand-ins as processes and controls them.
//!
//! - `options`: the command line.
//! - `servers`: commands that run until stopped.
//! - `drivers`: commands that act on a deployment and exit.

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
  place      copy the files of a deployment with its ports replaced
  hold       reserve the ports of a deployment against outgoing connections
  ready      wait until every instance is ready
  switch     set switches of a platform or of backend servers
  counts     print the counts of a platform or of backend servers as JSON
  load       send the load of a profile and print the report

Exit codes: 0 done, 1 load with faults or error, 2 invalid command line.
";

/// The outcome of a command that did not return an error.
enum CommandOutcome {
    /// The command succeeded.
    Done,
    /// The load report is not clean.
    LoadFailed,
    /// Help was requested.
    Help(String),
}

/// An error of a command.
#[derive(Debug, derive_more::Display, derive_more::From)]
enum CommandError {
    /// The command line is invalid.
    #[display("{_0}")]
    Options(options::OptionFault),
    /// A file cannot be read, written or parsed.
    #[display("{_0}")]
    File(options::FileFault),
    /// A port cannot be listened on.
    #[display("{_0}")]
    Io(std::io::Error),
    /// Ports are in use.
    #[display("{_0}")]
    PortsInUse(marjoramwing_standins::deployment::UnavailablePorts),
    /// A call to a control path failed.
    #[display("{_0}")]
    Control(marjoramwing_standins::control::ControlError),
    /// The profile has a fault.
    #[display("{_0}")]
    Profile(marjoramwing_standins::profile::ProfileFault),
    /// An instance did not become ready in time.
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
        "place" => drivers::copy_deployment(&rest),
        "hold" => servers::reserve_ports(&rest).await,
        "ready" => drivers::wait_ready(&rest).await,
        "switch" => drivers::set_switches(&rest).await,
        "counts" => drivers::print_counts(&rest).await,
        "load" => drivers::send_load(&rest).await,
        "--help" | "-h" => Ok(CommandOutcome::Help(USAGE.to_owned())),
        _ => Err(options::OptionFault::Command(command).into()),
    };
    match result {
        Ok(CommandOutcome::Done) => process::ExitCode::SUCCESS,
        Ok(CommandOutcome::LoadFailed) => process::ExitCode::from(1),
        Ok(CommandOutcome::Help(text)) => {
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
