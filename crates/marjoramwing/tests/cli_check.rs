//! `check` reports all faults of all files in one run.

use std::fs;
use std::path;
use std::process;

const BINARY: &str = env!("CARGO_BIN_EXE_marjoramwing");
const DEPLOYMENTS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deployments");

/// A directory with the files to check.
struct CheckedFiles {
    directory: path::PathBuf,
}

impl CheckedFiles {
    fn new(name: &str, files: &[(&str, String)]) -> Self {
        let directory = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = fs::remove_dir_all(&directory);
        fs::create_dir_all(directory.join("instances")).unwrap();
        for (file, text) in files {
            fs::write(directory.join(file), text).unwrap();
        }
        Self { directory }
    }

    /// Runs `check` and returns its exit code and output.
    fn check(&self, arguments: &[&str]) -> (i32, String) {
        let mut command = process::Command::new(BINARY);
        command.arg("check").args(arguments).env_clear().current_dir(&self.directory);
        let run = command.output().unwrap();
        let output = String::from_utf8([run.stdout, run.stderr].concat()).unwrap();
        (run.status.code().unwrap(), output)
    }
}

fn settings(name: &str, port: u16, site: &str) -> String {
    format!(
        r#"
        [instance]
        name = "{name}"
        site = "{site}"
        region = "west"
        failure_domain = "west-a"
        [listen]
        callers = "127.0.0.1:{port}"
        peers = "127.0.0.1:{}"
        admin = "127.0.0.1:{}"
        [store]
        address = "127.0.0.1:1"
        [secrets]
        peer_env = "PEER"
        admin_env = "ADMIN"
        "#,
        port + 1,
        port + 2
    )
}

fn tables(routes: &str, pools: &str) -> Vec<(&'static str, String)> {
    let steering = r#"{"sites": [{"name": "west", "region": "west", "failure_domain": "west-b"}]}"#;
    vec![
        ("routes.json", routes.to_owned()),
        ("pools.json", pools.to_owned()),
        ("teams.json", r#"{"teams": []}"#.to_owned()),
        ("keys.json", r#"{"keys": [{"id": "a", "team": "b", "sha256": "c"}]}"#.to_owned()),
        ("steering.json", steering.to_owned()),
    ]
}

#[test]
fn faults_of_all_files_are_reported_together() {
    let routes = r#"{"routes": [{"name": "shop", "path": "/shop", "pools": ["main"]}]}"#;
    let mut files = tables(routes, r#"{"pools": []}"#);
    files.push(("instances/a.toml", settings("one", 4000, "west")));
    files.push(("instances/b.toml", settings("one", 4001, "east")));
    files.push(("instances/c.toml", "[instance]\nname = 1".to_owned()));
    let files = CheckedFiles::new("all-faults", &files);
    let (code, output) = files.check(&["-c", "instances", "-t", ".", "--without-secrets"]);
    assert_eq!(code, 1);
    insta::assert_snapshot!(output);
}

/// `pools.json` cannot be parsed; the pools that routes name are not reported as missing as well.
#[test]
fn malformed_document_causes_no_second_fault() {
    let routes = r#"{"routes": [{"name": "shop", "path": "/shop", "pools": ["main"]}]}"#;
    let files = CheckedFiles::new("unread", &tables(routes, "{"));
    let (code, output) = files.check(&["-t", "."]);
    assert_eq!(code, 1);
    insta::assert_snapshot!(output);
}

#[test]
fn missing_secrets_are_reported() {
    let files = [("instances/a.toml", settings("one", 4000, "west"))];
    let files = CheckedFiles::new("secrets", &files);
    assert_eq!(files.check(&["-c", "instances", "--without-secrets"]), (0, String::new()));
    let (code, output) = files.check(&["-c", "instances/a.toml", "--json"]);
    assert_eq!(code, 1);
    insta::assert_snapshot!(output);
}

fn check_deployment(name: &str) {
    let files = CheckedFiles::new(&format!("deployment-{name}"), &[]);
    let instances = format!("{DEPLOYMENTS}/{name}/instances");
    let tables = format!("{DEPLOYMENTS}/{name}/tables");
    let output = files.check(&["-c", &instances, "-t", &tables, "--without-secrets"]);
    assert_eq!(output, (0, String::new()));
}

marjoramwing_testing::cases! { check_deployment:
    consorzio_has_no_fault => ("consorzio");
    mycotrail_has_no_fault => ("mycotrail");
}
