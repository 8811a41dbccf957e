//! Tests that callers connect from the client addresses of the profile.

use std::net;

use marjoramwing_standins::profile;
use marjoramwing_standins::run;

#[tokio::test(flavor = "multi_thread")]
async fn connections_come_from_the_clients_address() {
    let any_port = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    let listener = tokio::net::TcpListener::bind(any_port).await.unwrap();
    let server = listener.local_addr().unwrap();
    let client = "127.11.0.2";
    let load: profile::LoadProfile = serde_json::from_value(serde_json::json!({
        "instances": [server],
        "backends": [],
        "teams": [{
            "team": "alpha", "client": client, "rate": 50.0,
            "limit_rate": 50.0, "limit_burst": 10,
            "requests": [{"method": "GET", "path": "/", "pool": "reads", "answer_bytes": 1}],
        }],
        "phases": [{"name": "only", "seconds": 1}],
        "seed": 1,
    }))
    .unwrap();
    let target = profile::CallTarget::Servers([("reads".to_owned(), vec![server])].into());
    let running = tokio::spawn(run::run_load(load, target, run::OperatorAction::None));
    let (_, peer) = listener.accept().await.unwrap();
    running.abort();
    assert_eq!(peer.ip().to_string(), client);
}
