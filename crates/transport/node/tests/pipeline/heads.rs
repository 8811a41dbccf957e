//! The wait of a pipelined connection for a request head.

use std::time;

use marjoramwing_node::callers::handler;
use marjoramwing_node::pipeline::connection;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio_util::sync as cancellation;

use crate::support;

const HEAD_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// Starts a connection and returns its caller's side.
async fn start_connection()
-> (tokio::net::TcpStream, tokio::task::JoinHandle<connection::ConnectionEnd>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let caller = tokio::net::TcpStream::connect(address).await.unwrap();
    let (stream, peer) = listener.accept().await.unwrap();
    let shared = support::make_shared("i", address, "a secret of this test");
    let handler = handler::RequestHandler { shared, router: axum::Router::new(), peer };
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
/// would hold its connection for hours if each read restarted the limit.
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
