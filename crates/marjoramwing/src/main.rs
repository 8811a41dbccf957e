//! The `marjoramwing` binary: an instance and the operators' commands.

use std::env;
use std::path;
use std::process;

use marjoramwing_node::runtime;
use marjoramwing_operator::check;
use marjoramwing_operator::command;
use marjoramwing_settings::settings;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

const USAGE: &str = "\
marjoramwing COMMAND [OPTIONS]

Commands:
  serve -c FILE          run an instance
  check -c FILE          check a settings file
  check -t DIRECTORY     check a directory of table documents

Options:
  --help                 print this text
  --version              print the version
";

fn main() -> process::ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words[..] {
        ["serve", "-c", file] => serve(path::Path::new(file)),
        ["check", "-c", file] => check::check_settings(path::Path::new(file)).into(),
        ["check", "-t", directory] => check::check_tables(path::Path::new(directory)).into(),
        ["--help"] => {
            print!("{USAGE}");
            command::CommandExit::Done.into()
        }
        ["--version"] => {
            println!("marjoramwing {}", env!("CARGO_PKG_VERSION"));
            command::CommandExit::Done.into()
        }
        _ => {
            eprint!("{USAGE}");
            command::CommandExit::Usage.into()
        }
    }
}

fn serve(file: &path::Path) -> process::ExitCode {
    let settings = match settings::InstanceSettings::load(file) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in &faults.faults {
                eprintln!("{}: {fault}", file.display());
            }
            return command::CommandExit::Faulty.into();
        }
    };
    start_logs();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(runtime::run_instance(settings)),
        Err(error) => {
            eprintln!("cannot start worker threads ({error}); raise the process's limits");
            return command::CommandExit::Faulty.into();
        }
    };
    match result {
        Ok(()) => command::CommandExit::Done.into(),
        Err(error) => {
            eprintln!("{error}");
            command::CommandExit::Faulty.into()
        }
    }
}

fn start_logs() {
    let filter = tracing_subscriber::EnvFilter::try_from_env("MARJORAMWING_LOG")
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).json().init();
}
