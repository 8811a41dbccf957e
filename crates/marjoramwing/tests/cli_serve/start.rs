//! Settings that cannot be applied prevent the start; the message names them.

use std::fs;
use std::net;
use std::path;

use crate::process;

/// Address of the store for tests that never connect to it.
fn unused_store() -> net::SocketAddr {
    "127.0.0.1:1".parse().unwrap()
}

/// Runs an instance without the environment variable `unset`; returns its exit code and
/// standard error.
fn fail_to_start(settings: &path::Path, unset: &str) -> (i32, String) {
    let output = process::serve_command(settings).env_remove(unset).output().unwrap();
    (output.status.code().unwrap(), String::from_utf8(output.stderr).unwrap())
}

#[test]
fn all_ports_in_use_are_reported_together() {
    let taken = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let other = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let settings = process::write_settings("ports", unused_store(), "");
    let text = fs::read_to_string(&settings).unwrap();
    let text = text.replacen("127.0.0.1:0", &taken.local_addr().unwrap().to_string(), 1);
    let text = text.replacen("127.0.0.1:0", &other.local_addr().unwrap().to_string(), 1);
    fs::write(&settings, text).unwrap();
    let (code, message) = fail_to_start(&settings, "");
    assert_eq!(code, 1);
    for setting in ["listen.callers", "listen.peers"] {
        assert!(message.contains(&format!("{setting}: cannot listen on")), "{message}");
    }
    assert!(!message.contains("listen.admin"), "{message}");
    assert!(message.contains("free the port or change the setting"), "{message}");
}

#[test]
fn missing_secret_is_reported() {
    let settings = process::write_settings("secret", unused_store(), "");
    let (code, message) = fail_to_start(&settings, "PEER");
    assert_eq!(code, 1);
    assert!(message.contains("secrets.peer_env: the environment variable `PEER` is not set"));
}

#[test]
fn unreadable_secret_and_invalid_number_are_reported_together() {
    let extra = "[callers]\nmax_connections = 0";
    let settings = process::write_settings("numbers", unused_store(), extra);
    let text = fs::read_to_string(&settings).unwrap();
    fs::write(&settings, text.replace("admin_env = \"ADMIN\"", "admin_file = \"no/such\""))
        .unwrap();
    let (code, message) = fail_to_start(&settings, "");
    assert_eq!(code, 1);
    assert!(message.contains("secrets.admin_file: the secret file no/such"), "{message}");
    assert!(message.contains("callers.max_connections: 0 is out of range"), "{message}");
}

#[test]
fn unreadable_settings_are_reported() {
    let (code, message) = fail_to_start(path::Path::new("no/such.toml"), "");
    assert_eq!(code, 1);
    assert!(message.contains("no/such.toml: cannot be read"), "{message}");
}
