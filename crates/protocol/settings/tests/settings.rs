//! Invalid settings give all faults at once, each with its path and remedy.

use std::path;

use marjoramwing_settings::settings;

const INVALID: &str = r#"
[instance]
name = "Palermo A"
site = "palermo-a"
region = ""
failure_domain = "palermo-a"

[listen]
callers = "localhost:7101"
peers = "127.0.0.1:7201"
admin = "127.0.0.1:7201"

[store]
address = "127.0.0.1:7000"
timeout_ms = 1

[secrets]
peer_env = "MARJORAMWING_TEST_NOT_SET"

[callers]
max_header_bytes = 1
"#;

#[test]
fn all_faults_are_reported_together() {
    let faults = settings::InstanceSettings::try_from(INVALID).unwrap_err();
    insta::assert_snapshot!(faults, @r"
    instance.name: `Palermo A` is not a name; use 1 to 63 of a-z, 0-9, `-`, `_` and `.`
    instance.region: `` is not a name; use 1 to 63 of a-z, 0-9, `-`, `_` and `.`
    listen.callers: `localhost:7101` is not an address; write an IP address and port such as 10.0.0.1:7100
    store.timeout_ms: 1 is out of range; use 50 to 60000
    secrets.peer_env: the environment variable `MARJORAMWING_TEST_NOT_SET` is not set; export it before the start
    secrets: needs exactly one of `admin_file` and `admin_env`; set one and remove the other
    callers.max_header_bytes: 1 is out of range; use 8192 to 1048576
    ");
}

fn check_fault(line: &str, replacement: &str, expected: &str) {
    let text = INVALID.replace(line, replacement);
    assert_ne!(text, INVALID);
    let faults = settings::InstanceSettings::try_from(text.as_str()).unwrap_err();
    assert!(faults.to_string().contains(expected), "{faults}");
}

marjoramwing_testing::cases! { check_fault:
    wildcard_address => (
        "localhost:7101",
        "0.0.0.0:7101",
        "listen.callers: `0.0.0.0:7101` is no address that others can reach",
    );
    key_age_below_the_minimum => (
        "[callers]",
        "[keys]\nmax_age_ms = 500\n[callers]",
        "keys.max_age_ms: 500 is out of range; use 10000 to 600000",
    );
    contact_that_is_no_address => (
        "[callers]",
        "[peers]\ncontacts = [\"10.0.0.1:7200\", \"nowhere\"]\n[callers]",
        "peers.contacts[1]: `nowhere` is not an address",
    );
    unknown_choice_for_undecided_keys => (
        "[callers]",
        "[keys]\nundecided = \"maybe\"\n[callers]",
        "unknown variant `maybe`, expected `refuse` or `serve`",
    );
}

#[test]
fn misspelt_member_is_refused() {
    let text = INVALID.replace("max_header_bytes", "max_headers");
    let faults = settings::InstanceSettings::try_from(text.as_str()).unwrap_err();
    assert!(faults.to_string().contains("unknown field `max_headers`"));
}

#[test]
fn missing_file_is_reported() {
    let faults = settings::InstanceSettings::load(path::Path::new("no/such.toml")).unwrap_err();
    assert!(faults.to_string().starts_with("no/such.toml: cannot be read"));
}
