//! Ends of relayed connections, by the backend server or by the death of the relaying instance.

use std::net;
use std::sync;
use std::time as duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use marjoramwing_membership::member;
use marjoramwing_membership::view;
use marjoramwing_node::backends::direct;
use marjoramwing_node::peers::link;
use marjoramwing_peer::handshake;
use marjoramwing_peer::message;
use marjoramwing_peer::relay;
use marjoramwing_testing::cases;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

use crate::relaying;
use crate::support;

const DEADLINE_MS: u64 = 4_000;
/// Time in which bytes on loopback arrive.
const ARRIVAL_TIME: duration::Duration = duration::Duration::from_millis(200);
/// Length of a response that is buffered before any part of it is forwarded.
const SMALL: usize = 4 * 1024;
/// Length of a response of which parts are forwarded before its end.
const LARGE: usize = 256 * 1024;

/// How a backend server states the end of its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyEnd {
    Length,
    Close,
}

/// A backend server that sends its whole response and keeps the connection until it is told to close.
struct PausedServer {
    listener: net::TcpListener,
    address: net::SocketAddr,
}

impl PausedServer {
    fn bind() -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        Self { listener, address }
    }

    /// Serves one request, and closes the connection after `close` has ended.
    async fn serve(self, length: usize, end: BodyEnd, close: impl Future<Output = ()>) {
        let listener = tokio::net::TcpListener::from_std(self.listener).unwrap();
        let (mut stream, _) = listener.accept().await.unwrap();
        let id = support::read_request_id(&mut stream).await;
        let marker = marjoramwing_platform::headers::NAMES.response_marker.as_ref().unwrap();
        let framing = match end {
            BodyEnd::Length => format!("content-length: {length}\r\n"),
            BodyEnd::Close => String::new(),
        };
        let head = format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\n{marker}: s\r\n{framing}\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(&vec![b'x'; length]).await.unwrap();
        close.await;
    }
}

/// An instance on a runtime of its own, which ends like a process that is killed: the system closes
/// its sockets.
struct RelayingInstance {
    runtime: Option<tokio::runtime::Runtime>,
    member: member::Member,
}

impl RelayingInstance {
    fn start(server: net::SocketAddr) -> Self {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(1).enable_all().build().unwrap();
        let dialer = sync::Arc::new(direct::TcpDialer);
        let instance = runtime.block_on(support::TestInstance::start_in_fleet(
            "relaying",
            "r",
            dialer,
            &[server],
            DEADLINE_MS,
        ));
        Self { runtime: Some(runtime), member: instance.member() }
    }
}

impl Drop for RelayingInstance {
    fn drop(&mut self) {
        self.runtime.take().into_iter().for_each(tokio::runtime::Runtime::shutdown_background);
    }
}

/// Starts an instance without links of its own that asks `relaying` for connections to the server.
async fn start_cut(server: net::SocketAddr, relaying: member::Member) -> support::TestInstance {
    let (links, servers) = (relaying::CutDialer::refusing(), [server]);
    let cut = support::TestInstance::start_in_fleet("cut", "r", links, &servers, DEADLINE_MS);
    let cut = cut.await;
    cut.shared.publish_members(view::MemberView::new(vec![cut.member(), relaying]));
    cut
}

/// Guards against a response without a length that is cut by the death of the relaying instance and
/// looks complete.
fn check_killed(length: usize, expected: (u16, Option<usize>)) {
    let server = PausedServer::bind();
    let relaying = RelayingInstance::start(server.address);
    support::block_on(async {
        let cut = start_cut(server.address, relaying.member.clone()).await;
        tokio::spawn(server.serve(length, BodyEnd::Close, std::future::pending()));
        let call = cut.send("POST", "/open", "one", "");
        let kill = async {
            tokio::time::sleep(ARRIVAL_TIME).await;
            drop(relaying);
        };
        let (response, ()) = tokio::join!(call, kill);
        let body = response.body.as_ref().map(bytes::Bytes::len);
        assert_eq!((response.status, body.filter(|_| response.status == 200)), expected);
    });
}

/// Guards against a response without a length that is refused although the server ended it.
fn check_ended_by_server(length: usize) {
    let server = PausedServer::bind();
    let relaying = RelayingInstance::start(server.address);
    support::block_on(async {
        let cut = start_cut(server.address, relaying.member.clone()).await;
        tokio::spawn(server.serve(length, BodyEnd::Close, tokio::time::sleep(ARRIVAL_TIME)));
        let response = cut.send("POST", "/open", "one", "").await;
        let body = response.body.as_ref().map(bytes::Bytes::len);
        assert_eq!((response.status, body), (200, Some(length)));
    });
    drop(relaying);
}

/// Opens a connection as earlier builds do, which read no blocks, and sends a request on it.
async fn open_without_blocks(
    cut: &support::TestInstance,
    peer: net::SocketAddr,
    server: net::SocketAddr,
) -> tokio::net::TcpStream {
    let stream = tokio::net::TcpStream::connect(peer).await.unwrap();
    let (role, purpose) = (handshake::LinkRole::Opener, message::LinkPurpose::Relay);
    let link = link::authenticate(&cut.shared, stream, role, purpose).await.unwrap();
    let mut stream = link.stream;
    let request = relay::RelayRequest { server: server.to_string(), accepts_blocks: false };
    let request = message::Envelope::new(message::Body::RelayRequest(request));
    stream.send(request).await.unwrap();
    let Some(message::Body::RelayResult(result)) = stream.next().await.unwrap().unwrap().body
    else {
        panic!("no result");
    };
    assert_eq!((result.outcome(), result.sends_blocks), (relay::RelayOutcome::Connected, false));
    let mut stream = stream.into_parts().io;
    stream.write_all(b"GET /open HTTP/1.1\r\nrequest-id: one\r\n\r\n").await.unwrap();
    stream
}

/// Guards against an opener of an earlier build that takes the death of the relaying instance for the
/// end of a response, or the server's own end for a fault.
fn check_earlier_opener(is_killed: bool) {
    let server = PausedServer::bind();
    let mut relaying = Some(RelayingInstance::start(server.address));
    let member = relaying.as_ref().unwrap().member.clone();
    support::block_on(async {
        let cut = start_cut(server.address, member.clone()).await;
        let address = server.address;
        let close = async move {
            match is_killed {
                true => std::future::pending().await,
                false => tokio::time::sleep(ARRIVAL_TIME).await,
            }
        };
        tokio::spawn(server.serve(SMALL, BodyEnd::Close, close));
        let mut stream = open_without_blocks(&cut, member.peer_address, address).await;
        let mut received = Vec::new();
        let kill = async {
            tokio::time::sleep(ARRIVAL_TIME).await;
            relaying.take_if(|_| is_killed);
        };
        let (read, ()) = tokio::join!(stream.read_to_end(&mut received), kill);
        assert!(received.ends_with(&[b'x'; SMALL]), "{} bytes", received.len());
        let is_reset = read.is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionReset);
        assert_eq!(is_reset, is_killed);
    });
}

/// Relays one connection as earlier builds do, which do not mark the end.
async fn relay_without_blocks(
    shared: sync::Arc<marjoramwing_node::shared::InstanceState>,
    listener: tokio::net::TcpListener,
    server: net::SocketAddr,
) {
    let (stream, _) = listener.accept().await.unwrap();
    let (role, purpose) = (handshake::LinkRole::Acceptor, message::LinkPurpose::Messages);
    let link = link::authenticate(&shared, stream, role, purpose).await.unwrap();
    let mut stream = link.stream;
    stream.next().await.unwrap().unwrap();
    let outcome = relay::RelayOutcome::Connected.into();
    let result = relay::RelayResult { outcome, sends_blocks: false };
    let result = message::Envelope::new(message::Body::RelayResult(result));
    stream.send(result).await.unwrap();
    let mut opener = stream.into_parts().io;
    let mut server = tokio::net::TcpStream::connect(server).await.unwrap();
    let _ = tokio::io::copy_bidirectional(&mut opener, &mut server).await;
}

/// Guards against a response without a length through an instance of an earlier build, whose end
/// nothing tells from the death of that instance, and against one with a length that is refused.
fn check_earlier_relay(end: BodyEnd, status: u16) {
    support::block_on(async {
        let server = PausedServer::bind();
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (dialer, servers) = (sync::Arc::new(direct::TcpDialer), [server.address]);
        let earlier =
            support::TestInstance::start_in_fleet("earlier", "r", dialer, &servers, DEADLINE_MS);
        let earlier = earlier.await;
        let peer_address = listener.local_addr().unwrap();
        let member = member::Member { peer_address, ..earlier.member() };
        let cut = start_cut(server.address, member).await;
        let shared = sync::Arc::clone(&earlier.shared);
        tokio::spawn(relay_without_blocks(shared, listener, server.address));
        tokio::spawn(server.serve(SMALL, end, tokio::time::sleep(ARRIVAL_TIME)));
        let response = cut.send("POST", "/open", "one", "").await;
        assert_eq!(response.status, status, "{response:?}");
    });
}

cases! { check_killed:
    death_of_the_relaying_instance_does_not_complete_a_small_response => (SMALL, (502, None));
    death_of_the_relaying_instance_does_not_complete_a_large_response => (LARGE, (200, None));
}

cases! { check_ended_by_server:
    relayed_response_ends_with_its_connection => (SMALL);
    large_relayed_response_ends_with_its_connection => (LARGE);
}

cases! { check_earlier_opener:
    opener_of_an_earlier_build_sees_a_reset_at_the_death_of_the_relaying_instance => (true);
    opener_of_an_earlier_build_sees_the_end_by_the_server => (false);
}

cases! { check_earlier_relay:
    response_with_a_length_through_an_instance_of_an_earlier_build => (BodyEnd::Length, 200);
    response_without_a_length_through_an_instance_of_an_earlier_build => (BodyEnd::Close, 502);
}
