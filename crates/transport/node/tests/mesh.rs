//! Tests of the links between instances: delivery in both directions, replacement of
//! unresponsive links, and refusal of unauthenticated messages.

mod support;

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use futures_util::SinkExt;
use futures_util::StreamExt;
use marjoramwing_node::peers::mesh;
use marjoramwing_node::peers::session;
use marjoramwing_node::shared;
use marjoramwing_peer::configuration;
use marjoramwing_peer::frame;
use marjoramwing_peer::handshake;
use marjoramwing_peer::membership;
use marjoramwing_peer::message;
use tokio::sync::mpsc;

const SECRET: &str = "the-deployment's-peer-secret";
const OTHER_SECRET: &str = "another-deployment's-secret";
/// Time limit for an expected message; reached only if the test fails.
const RECEIVE_TIMEOUT: time::Duration = time::Duration::from_secs(60);

struct TestInstance {
    shared: sync::Arc<shared::InstanceState>,
    mesh: mesh::PeerMesh,
    inbox: mpsc::Receiver<session::ReceivedEnvelope>,
    address: net::SocketAddr,
}

impl TestInstance {
    async fn start(name: &str, secret: &str, limits: session::LinkLimits) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let shared = support::make_shared(name, address, secret);
        let (sender, inbox) = mpsc::channel(mesh::INBOX_QUEUE);
        let mesh = mesh::PeerMesh::with_limits(sync::Arc::clone(&shared), sender, limits);
        tokio::spawn(mesh.clone().accept_links(listener));
        Self { shared, mesh, inbox, address }
    }

    async fn receive(&mut self) -> session::ReceivedEnvelope {
        tokio::time::timeout(RECEIVE_TIMEOUT, self.inbox.recv()).await.unwrap().unwrap()
    }
}

/// Relays TCP connections; on request stalls those that are open.
struct StallingRelay {
    address: net::SocketAddr,
    generation: sync::Arc<atomic::AtomicU64>,
}

impl StallingRelay {
    async fn start(target: net::SocketAddr) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let generation = sync::Arc::new(atomic::AtomicU64::new(0));
        let current = sync::Arc::clone(&generation);
        tokio::spawn(async move {
            loop {
                let (client, _) = listener.accept().await.unwrap();
                let server = tokio::net::TcpStream::connect(target).await.unwrap();
                let (client_read, client_write) = client.into_split();
                let (server_read, server_write) = server.into_split();
                tokio::spawn(forward(client_read, server_write, sync::Arc::clone(&current)));
                tokio::spawn(forward(server_read, client_write, sync::Arc::clone(&current)));
            }
        });
        Self { address, generation }
    }

    /// Stalls the open connections without closing them; new ones work.
    fn stall(&self) {
        self.generation.fetch_add(1, atomic::Ordering::SeqCst);
    }
}

async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    generation: sync::Arc<atomic::AtomicU64>,
) {
    use tokio::io::AsyncReadExt;
    use tokio::io::AsyncWriteExt;
    let opened_in = generation.load(atomic::Ordering::SeqCst);
    let mut buffer = vec![0; 65_536];
    loop {
        let count = from.read(&mut buffer).await.unwrap_or(0);
        let is_stalled = generation.load(atomic::Ordering::SeqCst) != opened_in;
        if is_stalled {
            // Holds the connection open without forwarding anything.
            std::future::pending::<()>().await;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

fn make_body(number: u32) -> message::Body {
    let body = Some(membership::Body::UpdatesOnly(membership::UpdatesOnly {}));
    let updates = Vec::new();
    let (phase, digest) = (0, 0);
    message::Body::Membership(membership::Membership {
        sequence: number,
        phase,
        digest,
        body,
        updates,
    })
}

fn short_limits() -> session::LinkLimits {
    session::LinkLimits {
        heartbeat_interval: time::Duration::from_millis(100),
        receive_timeout: time::Duration::from_millis(400),
        ..Default::default()
    }
}

#[tokio::test]
async fn one_link_carries_messages_in_both_directions() {
    let limits = session::LinkLimits::default();
    let mut one = TestInstance::start("one", SECRET, limits).await;
    let mut two = TestInstance::start("two", SECRET, limits).await;
    one.mesh.send(two.address, make_body(1));
    let received = two.receive().await;
    assert_eq!(received.from, one.shared.incarnation);
    assert_eq!(received.address, Some(one.address));
    two.mesh.send(one.address, make_body(2));
    let reply = one.receive().await;
    assert_eq!(reply.from, two.shared.incarnation);
    assert_eq!(reply.body, make_body(2));
    assert_eq!(one.shared.metrics.peer_links.get(), 1, "the reply opened a second link");
    let bytes = &one.shared.metrics.peer_bytes;
    assert!(bytes.with_label_values(&["sent"]).get() > 0);
}

#[tokio::test]
async fn largest_object_is_delivered_complete() {
    let limits = session::LinkLimits::default();
    let one = TestInstance::start("one", SECRET, limits).await;
    let mut two = TestInstance::start("two", SECRET, limits).await;
    let text = bytes::Bytes::from(vec![b' '; 1024 * 1024]);
    let object = configuration::Object::Steering.into();
    let object_text = configuration::ObjectText { object, version: 7, wide_version: None, text };
    let body = Some(configuration::Body::Object(object_text));
    let body = message::Body::Configuration(configuration::Configuration { body });
    one.mesh.send(two.address, body.clone());
    assert_eq!(two.receive().await.body, body);
}

/// Stalls a link, then sends messages to the peer until one of them arrives.
///
/// Returns false if none arrives within `tries` messages.
async fn delivers_after_stall(limits: session::LinkLimits, tries: u32) -> bool {
    let one = TestInstance::start("one", SECRET, limits).await;
    let mut two = TestInstance::start("two", SECRET, limits).await;
    let relay = StallingRelay::start(two.address).await;
    one.mesh.send(relay.address, make_body(0));
    two.receive().await;
    relay.stall();
    for number in 1..tries {
        one.mesh.send(relay.address, make_body(number));
        let wait = time::Duration::from_millis(50);
        if tokio::time::timeout(wait, two.inbox.recv()).await.is_ok() {
            return true;
        }
    }
    false
}

#[tokio::test]
async fn unresponsive_link_is_replaced() {
    assert!(delivers_after_stall(short_limits(), 1_000).await);
}

#[tokio::test]
async fn unresponsive_link_stays_without_a_receive_timeout() {
    let receive_timeout = time::Duration::from_secs(3_600);
    let limits = session::LinkLimits { receive_timeout, ..short_limits() };
    assert!(!delivers_after_stall(limits, 40).await);
}

#[tokio::test]
async fn reset_replaces_an_unresponsive_link_at_once() {
    let limits = session::LinkLimits::default();
    let one = TestInstance::start("one", SECRET, limits).await;
    let mut two = TestInstance::start("two", SECRET, limits).await;
    let relay = StallingRelay::start(two.address).await;
    one.mesh.send(relay.address, make_body(0));
    two.receive().await;
    relay.stall();
    one.mesh.reset(relay.address);
    one.mesh.send(relay.address, make_body(1));
    assert_eq!(two.receive().await.body, make_body(1));
}

#[tokio::test]
async fn idle_link_is_closed() {
    let idle_timeout = time::Duration::from_millis(200);
    let limits = session::LinkLimits { idle_timeout, ..short_limits() };
    let one = TestInstance::start("one", SECRET, limits).await;
    let mut two = TestInstance::start("two", SECRET, limits).await;
    one.mesh.send(two.address, make_body(0));
    two.receive().await;
    while one.mesh.link_count() + two.mesh.link_count() > 0 {
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn links_stay_under_their_limit() {
    let limits = session::LinkLimits { max_links: 3, ..Default::default() };
    let one = TestInstance::start("one", SECRET, limits).await;
    let mut others = Vec::new();
    for index in 0..6 {
        let mut other = TestInstance::start(&format!("other-{index}"), SECRET, limits).await;
        one.mesh.send(other.address, make_body(index));
        other.receive().await;
        assert!(one.mesh.link_count() <= 3);
        others.push(other);
    }
    while one.shared.metrics.peer_links.get() > 3 {
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn instance_with_another_secret_delivers_nothing() {
    let limits = session::LinkLimits::default();
    let one = TestInstance::start("one", OTHER_SECRET, limits).await;
    let mut two = TestInstance::start("two", SECRET, limits).await;
    one.mesh.send(two.address, make_body(1));
    while one.mesh.link_count() > 0 {
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    assert!(two.inbox.try_recv().is_err());
    assert_eq!(two.shared.metrics.peer_links.get(), 0);
}

fn make_hello(name: &str) -> message::Hello {
    message::Hello {
        version: message::PROTOCOL_VERSION,
        incarnation: 7,
        nonce: vec![1; handshake::NONCE_BYTES].into(),
        name: name.to_owned(),
        peer_address: "127.0.0.1:9".to_owned(),
        purpose: message::LinkPurpose::Messages.into(),
    }
}

#[tokio::test]
async fn message_before_the_proof_ends_the_link() {
    let mut two = TestInstance::start("two", SECRET, session::LinkLimits::default()).await;
    let stream = tokio::net::TcpStream::connect(two.address).await.unwrap();
    let codec = frame::EnvelopeCodec::for_handshake();
    let mut stream = tokio_util::codec::Framed::new(stream, codec);
    stream.send(message::Envelope::new(message::Body::Hello(make_hello("x")))).await.unwrap();
    stream.send(message::Envelope::new(make_body(1))).await.unwrap();
    while let Some(Ok(_)) = stream.next().await {}
    assert!(two.inbox.try_recv().is_err());
}

#[tokio::test]
async fn long_frame_before_the_proof_ends_the_link() {
    let mut two = TestInstance::start("two", SECRET, session::LinkLimits::default()).await;
    let stream = tokio::net::TcpStream::connect(two.address).await.unwrap();
    let mut codec = frame::EnvelopeCodec::for_handshake();
    codec.raise_frame_limit();
    let mut stream = tokio_util::codec::Framed::new(stream, codec);
    let long = make_hello(&"x".repeat(frame::MAX_HANDSHAKE_FRAME_BYTES));
    stream.send(message::Envelope::new(message::Body::Hello(long))).await.unwrap();
    while let Some(Ok(_)) = stream.next().await {}
    assert!(two.inbox.try_recv().is_err());
}
