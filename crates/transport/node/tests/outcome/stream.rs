//! A gated stream writes only what its send gate permits.

use std::io::Read;
use std::io::Write;
use std::net;
use std::sync;
use std::time;

use marjoramwing_dispatch::exchange;
use marjoramwing_dispatch::gate;
use marjoramwing_entity::time::Timestamp;
use marjoramwing_node::backends::inbound;
use marjoramwing_node::backends::stream;
use marjoramwing_node::clock;
use marjoramwing_testing::cases;
use tokio::io::AsyncWriteExt;

/// Action of the peer on an idle connection.
type PeerAction = fn(&mut net::TcpStream);

async fn make_pair() -> (stream::GatedStream, sync::Arc<gate::SendGate>, net::TcpStream) {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let client = net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    client.set_nonblocking(true).unwrap();
    let (peer, _) = listener.accept().unwrap();
    let client = tokio::net::TcpStream::from_std(client).unwrap();
    let gate = sync::Arc::new(gate::SendGate::default());
    let clock = clock::MonotonicClock::start();
    let allowance = stream::ReadAllowance::default();
    let framing = inbound::InboundFraming::Direct;
    let gated =
        stream::GatedStream::new(client, framing, sync::Arc::clone(&gate), allowance, clock);
    (gated, gate, peer)
}

fn check_reused(peer_action: PeerAction, expected: Option<exchange::AttemptState>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let (mut client, gate, mut peer) = make_pair().await;
        assert!(gate.arm(Timestamp::NEVER));
        client.write_all(b"first").await.unwrap();
        assert!(gate.finish());
        peer.read_exact(&mut [0; 5]).unwrap();
        peer_action(&mut peer);
        assert!(gate.arm(Timestamp::NEVER));
        let written = client.write_all(b"second").await;
        assert_eq!(written.err().map(|_| gate.close()), expected);
        drop(client);
        peer.set_read_timeout(Some(time::Duration::from_secs(10))).unwrap();
        let mut received = Vec::new();
        let _ = peer.read_to_end(&mut received);
        assert_eq!(received, if expected.is_none() { b"second".as_slice() } else { b"" });
    });
}

cases! { check_reused:
    idle_connection_is_reused => (|_| {}, None);
    late_response_prevents_reuse =>
        (|peer| peer.write_all(b"late").unwrap(), Some(exchange::AttemptState::NotSent));
    peer_shutdown_prevents_reuse =>
        (|peer| peer.shutdown(net::Shutdown::Write).unwrap(), Some(exchange::AttemptState::NotSent));
}

#[test]
fn expired_gate_writes_nothing() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let (mut client, gate, mut peer) = make_pair().await;
        assert!(
            gate.arm(Timestamp::ZERO),
            "arming succeeds although the latest send time has passed"
        );
        assert!(client.write_all(b"late").await.is_err());
        assert_eq!(gate.close(), exchange::AttemptState::NotSent);
        drop(client);
        let mut received = Vec::new();
        peer.read_to_end(&mut received).unwrap();
        assert!(received.is_empty());
    });
}
