//! `marjoramwing serve`: runs an instance.

use std::io;
use std::path;

use marjoramwing_node::runtime;
use marjoramwing_operator::command;
use marjoramwing_operator::options;
use marjoramwing_settings::settings;

use crate::logs;

const SPEC: options::CommandSpec = options::CommandSpec {
    synopsis: "serve -c FILE",
    purpose: "Runs an instance until a planned stop (SIGTERM or SIGINT) has finished. Logs go \
              to standard output as JSON; $MARJORAMWING_LOG sets their level.",
    exits: &[command::CommandExit::Faulty, command::CommandExit::Cut],
};

/// Runs the command.
pub(crate) fn run(arguments: &[String]) -> command::CommandExit {
    let mut options = getopts::Options::new();
    options.optopt("c", "settings", "settings file", "FILE");
    let matches = match SPEC.parse(options, arguments) {
        Ok(matches) => matches,
        Err(exit) => return exit,
    };
    match (matches.opt_str("settings"), &matches.free[..]) {
        (Some(file), []) => serve(path::Path::new(&file)),
        _ => {
            eprintln!("specify the settings file with -c; see marjoramwing serve --help");
            command::CommandExit::Usage
        }
    }
}

fn serve(file: &path::Path) -> command::CommandExit {
    let settings = match settings::InstanceSettings::load(file) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in &faults.faults {
                eprintln!("{}: {fault}", file.display());
            }
            return command::CommandExit::Faulty;
        }
    };
    let _log_guard = logs::start();
    let result = match build_runtime(settings.threads) {
        Ok(runtime) => runtime.block_on(runtime::run_instance(settings, file.to_owned())),
        Err(error) => {
            eprintln!("cannot start worker threads ({error}); raise the process's limits");
            return command::CommandExit::Faulty;
        }
    };
    match result {
        Ok(runtime::StopOutcome::Finished) => command::CommandExit::Done,
        Ok(runtime::StopOutcome::Aborted) => command::CommandExit::Cut,
        Err(error) => {
            eprintln!("{}: {error}", file.display());
            command::CommandExit::Faulty
        }
    }
}

/// Builds the runtime; a single thread needs no work-stealing scheduler.
fn build_runtime(threads: Option<usize>) -> io::Result<tokio::runtime::Runtime> {
    match threads {
        Some(1) => tokio::runtime::Builder::new_current_thread().enable_all().build(),
        Some(threads) => {
            let mut builder = tokio::runtime::Builder::new_multi_thread();
            builder.worker_threads(threads).enable_all().build()
        }
        None => tokio::runtime::Builder::new_multi_thread().enable_all().build(),
    }
}
