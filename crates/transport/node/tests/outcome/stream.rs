//! A connection writes only what its gate lets pass.

use std::io::Read;
use std::io::Write;
use std::net;
use std::sync;
use std::time;

use marjoramwing_dispatch::exchange;
use marjoramwing_dispatch::gate;
use marjoramwing_entity::time::Timestamp;
use marjoramwing_node::backends::stream;
use marjoramwing_node::clock;
use marjoramwing_testing::cases;
use tokio::io::AsyncWriteExt;

/// What the other end does with a kept connection.
type Meanwhile = fn(&mut net::TcpStream);

async fn make_pair() -> (stream::GatedStream, sync::Arc<gate::SendGate>, net::TcpStream) {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let near = net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    near.set_nonblocking(true).unwrap();
    let (far, _) = listener.accept().unwrap();
    let near = tokio::net::TcpStream::from_std(near).unwrap();
    let gate = sync::Arc::new(gate::SendGate::default());
    let clock = clock::MonotonicClock::start();
    (stream::GatedStream::new(near, sync::Arc::clone(&gate), clock), gate, far)
}

fn check_kept(meanwhile: Meanwhile, expected: Option<exchange::AttemptState>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let (mut near, gate, mut far) = make_pair().await;
        assert!(gate.arm(Timestamp::NEVER));
        near.write_all(b"first").await.unwrap();
        assert!(gate.finish());
        far.read_exact(&mut [0; 5]).unwrap();
        meanwhile(&mut far);
        assert!(gate.arm(Timestamp::NEVER));
        let written = near.write_all(b"second").await;
        assert_eq!(written.err().map(|_| gate.close()), expected);
        drop(near);
        far.set_read_timeout(Some(time::Duration::from_secs(10))).unwrap();
        let mut seen = Vec::new();
        let _ = far.read_to_end(&mut seen);
        assert_eq!(seen, if expected.is_none() { b"second".as_slice() } else { b"" });
    });
}

cases! { check_kept:
    quiet_connection_is_used => (|_| {}, None);
    late_answer_bars_the_next_request =>
        (|far| far.write_all(b"late").unwrap(), Some(exchange::AttemptState::NotSent));
    closed_end_bars_the_next_request =>
        (|far| far.shutdown(net::Shutdown::Write).unwrap(), Some(exchange::AttemptState::NotSent));
}

#[test]
fn closed_gate_writes_nothing() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let (mut near, gate, mut far) = make_pair().await;
        assert!(gate.arm(Timestamp::ZERO), "the lease has ended");
        assert!(near.write_all(b"late").await.is_err());
        assert_eq!(gate.close(), exchange::AttemptState::NotSent);
        drop(near);
        let mut seen = Vec::new();
        far.read_to_end(&mut seen).unwrap();
        assert!(seen.is_empty());
    });
}
