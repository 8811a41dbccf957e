//! Shared instance state for tests of the node's sockets.

use std::env;
use std::fs;
use std::net;
use std::process;
use std::sync;

use marjoramwing_node::shared;
use marjoramwing_settings::settings;

/// Creates the state of an instance whose peer and admin secrets are `secret`.
pub(crate) fn make_shared(
    name: &str,
    peers: net::SocketAddr,
    secret: &str,
) -> sync::Arc<shared::InstanceState> {
    let file_name = format!("marjoramwing-{}-{}", process::id(), peers.port());
    let file = env::temp_dir().join(file_name);
    fs::write(&file, secret).unwrap();
    let path = file.clone();
    let file = file.display();
    let text = format!(
        r#"
        [instance]
        name = "{name}"
        site = "s"
        region = "r"
        failure_domain = "d"
        [listen]
        callers = "127.0.0.1:1"
        peers = "{peers}"
        admin = "127.0.0.1:2"
        [store]
        address = "127.0.0.1:3"
        [secrets]
        peer_file = "{file}"
        admin_file = "{file}"
        "#
    );
    let settings = settings::InstanceSettings::try_from(text.as_str()).unwrap();
    fs::remove_file(path).unwrap();
    sync::Arc::new(shared::InstanceState::new(settings))
}
