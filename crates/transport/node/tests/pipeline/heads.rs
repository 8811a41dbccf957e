//! The wait of a pipelined connection for a request head.

use std::sync;
use std::time;

use marjoramwing_node::callers::handler;
use marjoramwing_node::pipeline::connection;
use marjoramwing_node::shared;
use marjoramwing_settings::document;
use marjoramwing_settings::secret;
use marjoramwing_settings::settings;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio_util::sync as cancellation;

const HEAD_TIMEOUT: time::Duration = time::Duration::from_millis(200);

fn make_shared() -> sync::Arc<shared::InstanceState> {
    let text = r#"{"instance": {"name": "i", "site": "s", "region": "r", "failure_domain": "d"},
        "listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2", "admin": "127.0.0.1:3"},
        "store": {"address": "127.0.0.1:4"},
        "secrets": {"peer_file": "/dev/zero", "admin_file": "/dev/zero"}}"#;
    let mut raw: document::SettingsDocument = serde_json::from_str(text).unwrap();
    let file = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("Cargo.toml");
    (raw.secrets.peer_file, raw.secrets.admin_file) = (Some(file.clone()), Some(file));
    let mut settings = settings::InstanceSettings::try_from(&raw).unwrap();
    settings.peer_secret = secret::SharedSecret::from_bytes(b"peer");
    settings.admin_secret = secret::SharedSecret::from_bytes(b"admin");
    sync::Arc::new(shared::InstanceState::new(settings))
}

/// Starts a connection and returns its caller's side.
async fn start_connection()
-> (tokio::net::TcpStream, tokio::task::JoinHandle<connection::ConnectionEnd>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let caller = tokio::net::TcpStream::connect(address).await.unwrap();
    let (stream, peer) = listener.accept().await.unwrap();
    let handler =
        handler::RequestHandler { shared: make_shared(), router: axum::Router::new(), peer };
    let limits = connection::PipelineLimits {
        max_head_bytes: 16 * 1024,
        head_timeout: HEAD_TIMEOUT,
        write_timeout: HEAD_TIMEOUT,
        max_open: 4,
    };
    let connection = connection::PipelinedConnection::new(stream, handler, limits);
    let served = tokio::spawn(connection.serve(cancellation::CancellationToken::new()));
    (caller, served)
}

/// A caller that sends one byte of a head at a time, each within the time limit of one read,
/// would hold its connection for hours if each read started the limit anew.
#[tokio::test]
async fn head_of_one_byte_at_a_time_ends_its_connection() {
    let (mut caller, served) = start_connection().await;
    let drip = async {
        caller.write_all(b"GET / HTTP/1.1\r\nx-a: ").await.unwrap();
        while caller.write_all(b"a").await.is_ok() {
            tokio::time::sleep(HEAD_TIMEOUT / 8).await;
        }
    };
    let (end, ()) = futures_util::future::join(served, drip).await;
    assert!(matches!(end.unwrap(), connection::ConnectionEnd::Idle));
}

/// A connection that was idle for most of its time limit still has all of it for a head.
#[tokio::test]
async fn first_byte_of_a_head_restarts_the_time_limit() {
    let (mut caller, _served) = start_connection().await;
    let head = b"GET / HTTP/1.1\r\nhost: a.example\r\n\r\n";
    for (index, part) in head.chunks(head.len().div_ceil(2)).enumerate() {
        tokio::time::sleep(HEAD_TIMEOUT * 7 / 10).await;
        caller.write_all(part).await.unwrap_or_else(|error| panic!("part {index}: {error}"));
    }
    let mut status_line = [0; 12];
    caller.read_exact(&mut status_line).await.unwrap();
    assert_eq!(&status_line, b"HTTP/1.1 404");
}
