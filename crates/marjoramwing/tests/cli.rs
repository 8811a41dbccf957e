//! Commands of the binary, run as processes: exit codes, output and calls to the store.

use std::io::Write;
use std::net;
use std::process;

use marjoramwing_objects::object;
use marjoramwing_standins::platform;

const BINARY: &str = env!("CARGO_BIN_EXE_marjoramwing");
const TABLES: object::ObjectKind = object::ObjectKind::Tables;

const POOLS: &str = r#"{"pools": [{"name": "main", "servers":
    [{"address": "10.0.0.1:80", "failure_domain": "a", "slots": 3}]}]}"#;
const TEAMS: &str = r#"{"teams": [{"name": "etna", "rate": 5, "burst": 4}]}"#;
const ROUTES: &str = r#"{"routes": [{"name": "shop", "path": "/shop", "pools": ["main"]}]}"#;

/// A simulated platform that the commands call.
struct TestPlatform {
    server: platform::PlatformServer,
    address: net::SocketAddr,
    _runtime: tokio::runtime::Runtime,
}

impl TestPlatform {
    fn start() -> Self {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        let server = platform::PlatformServer::default();
        server.put(TABLES, "pools", POOLS.into());
        server.put(TABLES, "teams", TEAMS.into());
        server.put(TABLES, "routes", ROUTES.into());
        server.put(TABLES, "steering", r#"{"sites": []}"#.into());
        let listener = runtime.block_on(tokio::net::TcpListener::bind("127.0.0.1:0")).unwrap();
        let address = listener.local_addr().unwrap();
        let router = server.router();
        runtime.spawn(async move { axum::serve(listener, router).await });
        Self { server, address, _runtime: runtime }
    }

    fn run(&self, arguments: &[&str], input: &str) -> CommandRun {
        run_with(arguments, input, &self.address.to_string())
    }
}

/// Output and exit code of a command.
struct CommandRun {
    code: i32,
    stdout: String,
    stderr: String,
}

/// Runs a command, given its standard input and the address of the store.
fn run_with(arguments: &[&str], input: &str, store: &str) -> CommandRun {
    let mut command = process::Command::new(BINARY);
    command.args(arguments).env_clear().env("MARJORAMWING_STORE", store);
    command.stdin(process::Stdio::piped());
    command.stdout(process::Stdio::piped()).stderr(process::Stdio::piped());
    let mut child = command.spawn().unwrap();
    // The write fails if the command has ended without reading its input.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    let output = child.wait_with_output().unwrap();
    CommandRun {
        code: output.status.code().unwrap(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

fn run(arguments: &[&str]) -> CommandRun {
    run_with(arguments, "", "")
}

fn check_help(command: &str) {
    let help = run(&[command, "--help"]);
    assert_eq!(help.code, 0, "{}", help.stderr);
    assert!(help.stdout.starts_with(&format!("Usage: marjoramwing {command}")), "{}", help.stdout);
    assert!(help.stdout.contains("Exit codes:\n    0  done\n"), "{}", help.stdout);
}

marjoramwing_testing::cases! { check_help:
    help_of_serve => ("serve");
    help_of_check => ("check");
    help_of_route => ("route");
    help_of_pool => ("pool");
    help_of_team => ("team");
    help_of_key => ("key");
    help_of_lookup => ("lookup");
    help_of_dump => ("dump");
    help_of_release => ("release");
}

fn check_usage_error(arguments: &[&str]) {
    let refused = run(arguments);
    assert_eq!(refused.code, 2);
    assert!(refused.stderr.contains("--help"), "{}", refused.stderr);
}

marjoramwing_testing::cases! { check_usage_error:
    no_command => (&[]);
    unknown_command => (&["restart"]);
    unknown_option => (&["route", "--force"]);
    serve_without_settings => (&["serve"]);
    check_without_files => (&["check"]);
    edit_without_store => (&["route", "list"]);
    subcommand_without_name => (&["team", "get", "--store", "127.0.0.1:1"]);
    unknown_subcommand => (&["pool", "drop", "--store", "127.0.0.1:1"]);
    host_name_as_address => (&["lookup", "localhost:1"]);
    dump_without_secret => (&["dump", "127.0.0.1:1"]);
    release_without_a_request => (&["release", "127.0.0.1:1"]);
    release_without_a_fingerprint => (&["release", "127.0.0.1:1", "a-path"]);
    grant_without_team => (&["key", "grant", "a", "--store", "127.0.0.1:1"]);
}

#[test]
fn help_and_version() {
    insta::assert_snapshot!(run(&["--help"]).stdout);
    assert_eq!(run(&["--version"]).stdout, "marjoramwing 0.1.0\n");
}

#[test]
fn help_of_a_command_lists_its_exit_codes() {
    insta::assert_snapshot!(run(&["key", "--help"]).stdout);
}

#[test]
fn row_is_set_read_and_deleted() {
    let platform = TestPlatform::start();
    let route = r#"{"name": "news", "path": "/news", "pools": ["main"]}"#;
    let set = platform.run(&["route", "set", "-f", "-", "--json"], route);
    assert_eq!(set.stdout, "{\n  \"version\": 2,\n  \"replaced\": false\n}\n", "{}", set.stderr);
    let list = platform.run(&["route", "list"], "");
    assert_eq!(list.stdout, "shop  /shop -> main\nnews  /news -> main\n");
    let get = platform.run(&["route", "get", "news"], "");
    assert_eq!((get.code, get.stderr.as_str()), (0, "routes is at version 2\n"));
    let again = platform.run(&["route", "set", "-f", "-", "--json"], &get.stdout);
    assert!(again.stdout.contains("\"replaced\": true"), "{}", again.stdout);
    assert_eq!(platform.run(&["route", "delete", "news"], "").code, 0);
    assert_eq!(platform.run(&["route", "get", "news"], "").code, 6);
    assert_eq!(platform.run(&["route", "delete", "news"], "").code, 6);
}

#[test]
fn version_conflict_prints_the_current_version() {
    let platform = TestPlatform::start();
    platform.server.put(TABLES, "teams", TEAMS.into());
    let team = r#"{"name": "iblei", "rate": 1, "burst": 1}"#;
    // The table is at version 2, so the first edit conflicts.
    let lost = platform.run(&["team", "set", "-f", "-", "--version", "1", "--json"], team);
    assert_eq!(lost.code, 3);
    assert!(lost.stdout.contains("\"current_version\": 2"), "{}", lost.stdout);
    let won = platform.run(&["team", "set", "-f", "-", "--version", "2"], team);
    assert_eq!(won.stdout, "teams is at version 3\n");
}

#[test]
fn edit_that_breaks_another_table_is_refused() {
    let platform = TestPlatform::start();
    // The route `shop` uses the pool.
    let refused = platform.run(&["pool", "delete", "main"], "");
    assert_eq!(refused.code, 1);
    assert!(refused.stderr.contains("routes[0].pools[0]: `main` is not in the `pools` object"));
    assert_eq!(platform.server.counts().total().write_calls(), 0);
}

#[test]
fn granted_key_is_printed_once_and_stored_as_hash() {
    let platform = TestPlatform::start();
    let granted = platform.run(&["key", "grant", "etna-2", "--team", "etna"], "");
    assert_eq!(granted.code, 0, "{}", granted.stderr);
    let key = granted.stdout.trim();
    assert!(key.starts_with("etna-2.") && key.len() == "etna-2.".len() + 64, "{key}");
    let stored = platform.run(&["key", "get", "etna-2"], "").stdout;
    assert!(!stored.contains(key.split_once('.').unwrap().1));
    assert!(stored.contains("sha256"));
    let twice = platform.run(&["key", "grant", "etna-2", "--team", "etna"], "");
    assert_eq!((twice.code, twice.stdout.as_str()), (1, ""), "{}", twice.stderr);
    assert_eq!(platform.run(&["key", "withdraw", "etna-2"], "").code, 0);
    assert_eq!(platform.run(&["key", "list"], "").stdout, "");
}

#[test]
fn lost_response_is_resolved_by_the_binary() {
    // The store applies writes but responds with status 504; the command reads the table back
    // instead of writing again.
    let platform = TestPlatform::start();
    let faults = platform::PlatformFaults { lose_answers: true, ..Default::default() };
    platform.server.set_faults(faults);
    let granted = platform.run(&["key", "grant", "etna-2", "--team", "etna"], "");
    assert_eq!(granted.code, 0, "{}", granted.stderr);
    assert_eq!(platform.server.counts().total().write_calls(), 1);
}

#[test]
fn unreachable_store_is_reported() {
    let refused = run_with(&["team", "list"], "", "127.0.0.1:1");
    assert_eq!(refused.code, 4);
    assert!(refused.stderr.contains("check that the platform runs"), "{}", refused.stderr);
}

#[test]
fn misspelt_member_of_a_row_is_reported() {
    let platform = TestPlatform::start();
    let refused = platform.run(&["team", "set", "-f", "-"], r#"{"name": "a", "rat": 1}"#);
    assert_eq!(refused.code, 1);
    assert!(refused.stderr.contains("unknown field `rat`"), "{}", refused.stderr);
}
