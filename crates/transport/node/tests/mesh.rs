//! Links carry both ways, replace silent ones, and carry nothing unproven.

mod support;

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use futures_util::SinkExt;
use futures_util::StreamExt;
use marjoramwing_node::peers::carrier;
use marjoramwing_node::peers::mesh;
use marjoramwing_node::shared;
use marjoramwing_peer::configuration;
use marjoramwing_peer::frame;
use marjoramwing_peer::handshake;
use marjoramwing_peer::membership;
use marjoramwing_peer::message;
use tokio::sync::mpsc;

const SECRET: &str = "the-deployment's-peer-secret";
const OTHER_SECRET: &str = "another-deployment's-secret";
/// Longest wait for what must come; only a failure waits that long.
const PATIENCE: time::Duration = time::Duration::from_secs(60);

struct Instance {
    shared: sync::Arc<shared::SharedTables>,
    mesh: mesh::PeerMesh,
    inbox: mpsc::Receiver<carrier::ReceivedEnvelope>,
    address: net::SocketAddr,
}

impl Instance {
    async fn start(name: &str, secret: &str, limits: carrier::LinkLimits) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let shared = support::make_shared(name, address, secret);
        let (sender, inbox) = mpsc::channel(mesh::INBOX_QUEUE);
        let mesh = mesh::PeerMesh::with_limits(sync::Arc::clone(&shared), sender, limits);
        tokio::spawn(mesh.clone().accept_links(listener));
        Self { shared, mesh, inbox, address }
    }

    async fn receive(&mut self) -> carrier::ReceivedEnvelope {
        tokio::time::timeout(PATIENCE, self.inbox.recv()).await.unwrap().unwrap()
    }
}

/// Passes connections on until told to swallow what the open ones carry.
struct SilencingRelay {
    address: net::SocketAddr,
    generation: sync::Arc<atomic::AtomicU64>,
}

impl SilencingRelay {
    async fn start(target: net::SocketAddr) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let generation = sync::Arc::new(atomic::AtomicU64::new(0));
        let current = sync::Arc::clone(&generation);
        tokio::spawn(async move {
            loop {
                let (near, _) = listener.accept().await.unwrap();
                let far = tokio::net::TcpStream::connect(target).await.unwrap();
                let (near_read, near_write) = near.into_split();
                let (far_read, far_write) = far.into_split();
                tokio::spawn(pass_on(near_read, far_write, sync::Arc::clone(&current)));
                tokio::spawn(pass_on(far_read, near_write, sync::Arc::clone(&current)));
            }
        });
        Self { address, generation }
    }

    /// Lets the open connections go silent; new ones work.
    fn silence(&self) {
        self.generation.fetch_add(1, atomic::Ordering::SeqCst);
    }
}

async fn pass_on(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    generation: sync::Arc<atomic::AtomicU64>,
) {
    use tokio::io::AsyncReadExt;
    use tokio::io::AsyncWriteExt;
    let born = generation.load(atomic::Ordering::SeqCst);
    let mut buffer = vec![0; 65_536];
    loop {
        let count = from.read(&mut buffer).await.unwrap_or(0);
        let is_silent = generation.load(atomic::Ordering::SeqCst) != born;
        if is_silent {
            // Holds the connection open without a word.
            std::future::pending::<()>().await;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

fn body(number: u32) -> message::Body {
    let body = Some(membership::Body::Note(membership::Note {}));
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

fn quick_limits() -> carrier::LinkLimits {
    carrier::LinkLimits {
        heartbeat: time::Duration::from_millis(100),
        silence: time::Duration::from_millis(400),
        ..Default::default()
    }
}

#[tokio::test]
async fn one_link_carries_both_ways() {
    let limits = carrier::LinkLimits::default();
    let mut one = Instance::start("one", SECRET, limits).await;
    let mut two = Instance::start("two", SECRET, limits).await;
    one.mesh.send(two.address, body(1));
    let received = two.receive().await;
    assert_eq!(received.from, one.shared.incarnation);
    assert_eq!(received.address, Some(one.address));
    two.mesh.send(one.address, body(2));
    let answered = one.receive().await;
    assert_eq!(answered.from, two.shared.incarnation);
    assert_eq!(answered.body, body(2));
    assert_eq!(one.shared.metrics.peer_links.get(), 1, "the answer opened no second link");
    let bytes = &one.shared.metrics.peer_bytes;
    assert!(bytes.with_label_values(&["sent"]).get() > 0);
}

#[tokio::test]
async fn largest_object_of_the_store_passes_whole() {
    let limits = carrier::LinkLimits::default();
    let one = Instance::start("one", SECRET, limits).await;
    let mut two = Instance::start("two", SECRET, limits).await;
    let text = bytes::Bytes::from(vec![b' '; 1024 * 1024]);
    let object = configuration::Object::Steering.into();
    let carried = configuration::ObjectText { object, version: 7, text };
    let body = Some(configuration::Body::Object(carried));
    let body = message::Body::Configuration(configuration::Configuration { body });
    one.mesh.send(two.address, body.clone());
    assert_eq!(two.receive().await.body, body);
}

/// Sends numbered messages until one comes that was sent after the silence.
async fn deliver_after_silence(limits: carrier::LinkLimits, tries: u32) -> bool {
    let one = Instance::start("one", SECRET, limits).await;
    let mut two = Instance::start("two", SECRET, limits).await;
    let relay = SilencingRelay::start(two.address).await;
    one.mesh.send(relay.address, body(0));
    two.receive().await;
    relay.silence();
    for number in 1..tries {
        one.mesh.send(relay.address, body(number));
        let wait = time::Duration::from_millis(50);
        if tokio::time::timeout(wait, two.inbox.recv()).await.is_ok() {
            return true;
        }
    }
    false
}

#[tokio::test]
async fn silent_link_is_replaced() {
    assert!(deliver_after_silence(quick_limits(), 1_000).await);
}

#[tokio::test]
async fn silent_link_stays_without_heartbeats() {
    let silence = time::Duration::from_secs(3_600);
    let limits = carrier::LinkLimits { silence, ..quick_limits() };
    assert!(!deliver_after_silence(limits, 40).await);
}

#[tokio::test]
async fn reset_replaces_a_silent_link_at_once() {
    let limits = carrier::LinkLimits::default();
    let one = Instance::start("one", SECRET, limits).await;
    let mut two = Instance::start("two", SECRET, limits).await;
    let relay = SilencingRelay::start(two.address).await;
    one.mesh.send(relay.address, body(0));
    two.receive().await;
    relay.silence();
    one.mesh.reset(relay.address);
    one.mesh.send(relay.address, body(1));
    assert_eq!(two.receive().await.body, body(1));
}

#[tokio::test]
async fn idle_link_is_closed() {
    let idle = time::Duration::from_millis(200);
    let limits = carrier::LinkLimits { idle, ..quick_limits() };
    let one = Instance::start("one", SECRET, limits).await;
    let mut two = Instance::start("two", SECRET, limits).await;
    one.mesh.send(two.address, body(0));
    two.receive().await;
    while one.mesh.link_count() + two.mesh.link_count() > 0 {
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn links_stay_under_their_limit() {
    let limits = carrier::LinkLimits { max_links: 3, ..Default::default() };
    let one = Instance::start("one", SECRET, limits).await;
    let mut others = Vec::new();
    for index in 0..6 {
        let mut other = Instance::start(&format!("other-{index}"), SECRET, limits).await;
        one.mesh.send(other.address, body(index));
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
    let limits = carrier::LinkLimits::default();
    let one = Instance::start("one", OTHER_SECRET, limits).await;
    let mut two = Instance::start("two", SECRET, limits).await;
    one.mesh.send(two.address, body(1));
    while one.mesh.link_count() > 0 {
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    assert!(two.inbox.try_recv().is_err());
    assert_eq!(two.shared.metrics.peer_links.get(), 0);
}

fn hello(name: &str) -> message::Hello {
    message::Hello {
        version: message::PROTOCOL_VERSION,
        incarnation: 7,
        nonce: vec![1; handshake::NONCE_BYTES].into(),
        name: name.to_owned(),
        peer_address: "127.0.0.1:9".to_owned(),
    }
}

#[tokio::test]
async fn message_before_the_proof_ends_the_link() {
    let mut two = Instance::start("two", SECRET, carrier::LinkLimits::default()).await;
    let stream = tokio::net::TcpStream::connect(two.address).await.unwrap();
    let codec = frame::EnvelopeCodec::for_handshake();
    let mut stream = tokio_util::codec::Framed::new(stream, codec);
    stream.send(message::Envelope::new(message::Body::Hello(hello("x")))).await.unwrap();
    stream.send(message::Envelope::new(body(1))).await.unwrap();
    while let Some(Ok(_)) = stream.next().await {}
    assert!(two.inbox.try_recv().is_err());
}

#[tokio::test]
async fn long_frame_before_the_proof_ends_the_link() {
    let mut two = Instance::start("two", SECRET, carrier::LinkLimits::default()).await;
    let stream = tokio::net::TcpStream::connect(two.address).await.unwrap();
    let mut codec = frame::EnvelopeCodec::for_handshake();
    codec.allow_messages();
    let mut stream = tokio_util::codec::Framed::new(stream, codec);
    let long = hello(&"x".repeat(frame::MAX_HANDSHAKE_FRAME_BYTES));
    stream.send(message::Envelope::new(message::Body::Hello(long))).await.unwrap();
    while let Some(Ok(_)) = stream.next().await {}
    assert!(two.inbox.try_recv().is_err());
}
