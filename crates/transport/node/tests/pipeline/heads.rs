//! The wait of a pipelined connection for a request head.

use std::time;

use marjoramwing_node::pipeline::connection;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

use crate::harness;

const HEAD_TIMEOUT: time::Duration = time::Duration::from_millis(200);

async fn start_connection() -> harness::TestConnection {
    harness::TestConnection::start(axum::Router::new(), HEAD_TIMEOUT).await
}

/// A caller that sends one byte of a head at a time, each within the time limit of one read,
/// would hold its connection for hours if each read restarted the limit.
#[tokio::test]
async fn head_of_one_byte_at_a_time_ends_its_connection() {
    let harness::TestConnection { mut caller, served, stop: _stop, .. } = start_connection().await;
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
    let mut connection = start_connection().await;
    let head = b"GET / HTTP/1.1\r\nhost: a.example\r\n\r\n";
    for (index, part) in head.chunks(head.len().div_ceil(2)).enumerate() {
        tokio::time::sleep(HEAD_TIMEOUT * 7 / 10).await;
        let written = connection.caller.write_all(part).await;
        written.unwrap_or_else(|error| panic!("part {index}: {error}"));
    }
    let mut status_line = [0; 12];
    connection.caller.read_exact(&mut status_line).await.unwrap();
    assert_eq!(&status_line, b"HTTP/1.1 404");
}
