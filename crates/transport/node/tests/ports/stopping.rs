//! Requests that have arrived when a planned stop closes their connection.

use std::time;

use crate::harness;

const REQUEST: &str = "GET /kept HTTP/1.1\r\nHost: a\r\n\r\n";

/// Guards against the loss of a request that has arrived on an idle connection when the stop
/// closes it; `served_before` requests were answered on the connection before.
#[tokio::main(flavor = "current_thread")]
async fn check_stop(callers: &str, served_before: usize) {
    let port = harness::CallerPort::start(callers).await;
    let mut stream = port.connect().await;
    for _ in 0..served_before {
        stream.write(REQUEST).await;
        stream.read_until("whole").await;
    }
    // The connection waits for a request.
    tokio::time::sleep(time::Duration::from_millis(20)).await;
    port.shared.leave();
    stream.write(REQUEST).await;
    port.stop.cancel();
    let response = stream.read_to_end().await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response.contains("connection: close\r\n"), "{response}");
    assert_eq!(port.record.received().len(), served_before + 1);
}

marjoramwing_testing::cases! { check_stop:
    new_connection => ("", 0);
    kept_connection => ("", 1);
    new_pipelined_connection => ("pipelined = 16", 0);
    kept_pipelined_connection => ("pipelined = 16", 1);
}
