//! The `marjoramwing` binary: runs an instance or a command for operators.

use std::env;
use std::process;

use marjoramwing_operator::command;

mod logs;
mod serve;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

const USAGE: &str = "\
Usage: marjoramwing COMMAND [OPTIONS]

Commands:
    serve     run an instance
    check     check settings files and table documents
    route     list, get, set and delete routes
    pool      list, get, set and delete pools of backend servers
    team      list, get, set and delete teams
    key       list, grant and withdraw team keys
    lookup    ask an instance which instances a caller is to use
    dump      print the state of an instance
    release   let a held request run again

Options:
    -h, --help      print this text; after a command, that command's
    -V, --version   print the version

Exit codes:
";

fn main() -> process::ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let Some((name, rest)) = arguments.split_first() else {
        return print_usage_error("no command given");
    };
    let exit = match name.as_str() {
        "serve" => Some(serve::run(rest)),
        "-h" | "--help" => Some(print_help()),
        "-V" | "--version" => Some(print_version()),
        name => command::run(name, rest),
    };
    exit.map_or_else(|| print_usage_error(&format!("there is no command `{name}`")), Into::into)
}

fn print_help() -> command::CommandExit {
    print!("{USAGE}");
    for exit in command::CommandExit::ALL {
        println!("    {}  {}", exit.code(), exit.meaning());
    }
    command::CommandExit::Done
}

fn print_version() -> command::CommandExit {
    println!("marjoramwing {}", env!("CARGO_PKG_VERSION"));
    command::CommandExit::Done
}

fn print_usage_error(reason: &str) -> process::ExitCode {
    eprintln!("{reason}; see marjoramwing --help");
    command::CommandExit::Usage.into()
}
