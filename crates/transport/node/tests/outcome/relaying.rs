//! Instances that have lost their links to the backend servers.

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time as duration;

use futures_util::FutureExt;
use futures_util::future;
use marjoramwing_membership::view;
use marjoramwing_node::backends::direct;
use marjoramwing_node::peers::relay;
use marjoramwing_testing::cases;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

use crate::backend;
use crate::quarantine;
use crate::support;

const DEADLINE_MS: u64 = 4_000;
/// Time after the loss of the links from which on callers must be served as before.
const DETECTION_TIME: duration::Duration = duration::Duration::from_millis(1_500);

/// How an instance meets the backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Links {
    Open,
    Refused,
    Hanging,
}

/// Connects to backend servers unless the links are cut.
#[derive(Debug)]
pub(crate) struct CutDialer(atomic::AtomicU8);

impl CutDialer {
    fn new() -> sync::Arc<Self> {
        sync::Arc::new(Self(atomic::AtomicU8::new(Links::Open as u8)))
    }

    /// Creates a dialer whose connections are refused.
    pub(crate) fn refusing() -> sync::Arc<Self> {
        let dialer = Self::new();
        dialer.set(Links::Refused);
        dialer
    }

    fn set(&self, links: Links) {
        self.0.store(links as u8, atomic::Ordering::SeqCst);
    }
}

impl direct::DirectDialer for CutDialer {
    fn dial(
        &self,
        address: net::SocketAddr,
    ) -> future::BoxFuture<'static, io::Result<tokio::net::TcpStream>> {
        let links = self.0.load(atomic::Ordering::SeqCst);
        if links == Links::Refused as u8 {
            return future::ready(Err(io::ErrorKind::ConnectionRefused.into())).boxed();
        }
        if links == Links::Hanging as u8 {
            return future::pending().boxed();
        }
        tokio::net::TcpStream::connect(address).boxed()
    }
}

/// Two instances that know each other, the links of the first, and the servers of both.
struct CutFleet {
    cut: support::TestInstance,
    other: support::TestInstance,
    links: sync::Arc<CutDialer>,
    servers: Vec<backend::ScriptedServer>,
}

impl CutFleet {
    async fn start(servers: usize) -> Self {
        let mut started = Vec::new();
        for _ in 0..servers {
            started.push(backend::ScriptedServer::start(&[]).await);
        }
        Self::start_with(started).await
    }

    async fn start_with(started: Vec<backend::ScriptedServer>) -> Self {
        let addresses: Vec<_> = started.iter().map(|server| server.address).collect();
        Self { servers: started, ..Self::start_at(&addresses, DEADLINE_MS).await }
    }

    async fn start_at(addresses: &[net::SocketAddr], deadline_ms: u64) -> Self {
        let links = CutDialer::new();
        let dialer = sync::Arc::clone(&links);
        let cut = support::TestInstance::start_in_fleet("cut", "r", dialer, addresses, deadline_ms);
        let cut = cut.await;
        let dialer = sync::Arc::new(direct::TcpDialer);
        let other =
            support::TestInstance::start_in_fleet("other", "r", dialer, addresses, deadline_ms);
        let other = other.await;
        for instance in [&cut, &other] {
            let view = view::MemberView::new(vec![cut.member(), other.member()]);
            instance.shared.publish_members(view);
        }
        Self { cut, other, links, servers: Vec::new() }
    }
}

/// Guards against callers that are refused by an instance without links to the backend servers,
/// although other instances reach them.
fn check_served(links: Links) {
    support::block_on(async {
        let fleet = CutFleet::start(4).await;
        fleet.links.set(links);
        let started = std::time::Instant::now();
        while started.elapsed() < DETECTION_TIME {
            let _ = fleet.cut.send("GET", "/open", "early", "").await;
        }
        for number in 0..20 {
            let method = if number % 2 == 0 { "GET" } else { "POST" };
            let id = format!("id-{number}");
            let response = fleet.cut.send(method, "/open", &id, "a body").await;
            assert_eq!(response.status, 200, "{method} {number}: {response:?}");
            let runs = fleet.servers.iter().flat_map(backend::ScriptedServer::runs);
            assert_eq!(runs.filter(|run| run.id == id).count(), 1);
        }
        assert_eq!(fleet.other.send("GET", "/open", "other", "").await.status, 200);
    });
}

/// Guards against bodies that are sent through a region in which they may not be served.
#[test]
fn regions_of_the_request_bind_the_relaying_instance() {
    support::block_on(async {
        let fleet = CutFleet::start(2).await;
        fleet.links.set(Links::Refused);
        let server = fleet.servers[0].address;
        for (region, is_allowed) in [("r", true), ("elsewhere", false)] {
            let regions = [sync::Arc::from(region)];
            let dialed = relay::dial(&fleet.cut.shared, server, Some(&regions)).await;
            assert_eq!(dialed.is_ok(), is_allowed, "{region}");
        }
    });
}

/// Guards against an instance that connects others to any address they name.
#[test]
fn only_known_servers_are_relayed_to() {
    support::block_on(async {
        let fleet = CutFleet::start(1).await;
        let unknown = backend::ScriptedServer::start(&[]).await;
        assert!(relay::dial(&fleet.cut.shared, unknown.address, None).await.is_err());
        assert_eq!(unknown.connections(), 0);
    });
}

/// Guards against connections that go through one instance after another.
#[test]
fn instance_without_links_relays_for_no_other() {
    support::block_on(async {
        let fleet = CutFleet::start(2).await;
        fleet.links.set(Links::Refused);
        let server = fleet.servers[0].address;
        assert!(relay::dial(&fleet.other.shared, server, None).await.is_err());
    });
}

/// Guards against a request that goes on at its server after the caller has left, or against one that
/// ends at the server but not at the caller.
#[test]
fn end_of_either_side_ends_a_relayed_connection() {
    support::block_on(async {
        let steps = [backend::ServerStep::NeverRespond, backend::ServerStep::CloseAfterRun];
        let server = backend::ScriptedServer::start(&steps).await;
        let fleet = CutFleet::start_with(vec![server.clone()]).await;
        fleet.links.set(Links::Refused);
        let request =
            support::make_request("POST", "/open", "left", axum::body::Body::from("a body"));
        let call = fleet.cut.try_call(request);
        assert!(tokio::time::timeout(duration::Duration::from_millis(300), call).await.is_err());
        let waiting = server.clone();
        support::wait_until(move || waiting.closed() == 1).await;
        let response = fleet.cut.send("POST", "/open", "closed", "a body").await;
        assert_eq!((response.status, response.outcome()), (502, "unknown"));
        assert_eq!(server.runs().len(), 2);
        let relaying = sync::Arc::clone(&fleet.other.shared);
        support::wait_until(move || relaying.relays.relayed() == 0).await;
    });
}

/// Guards against requests that take the way through another instance after the links are back.
#[test]
fn direct_connections_are_used_again_once_they_work() {
    support::block_on(async {
        let fleet = CutFleet::start(3).await;
        fleet.links.set(Links::Refused);
        for number in 0..10 {
            let response = fleet.cut.send("GET", "/open", &format!("cut-{number}"), "").await;
            assert_eq!(response.status, 200);
        }
        fleet.links.set(Links::Open);
        tokio::time::sleep(duration::Duration::from_millis(2_500)).await;
        let relayed = fleet.cut.shared.metrics.relayed_connections.get();
        assert!(relayed > 0);
        for number in 0..10 {
            let response = fleet.cut.send("GET", "/open", &format!("back-{number}"), "").await;
            assert_eq!(response.status, 200);
        }
        assert!(fleet.cut.shared.metrics.relayed_connections.get() <= relayed + 1);
    });
}

/// Guards against an instance without links that goes on ending servers through another one, since it
/// cannot tell by its own links that they end.
#[test]
fn request_that_ends_servers_is_held_by_an_instance_without_links() {
    support::block_on(async {
        let mut servers = Vec::new();
        for _ in 0..16 {
            servers.push(quarantine::FragileServer::start().await);
        }
        let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
        let mut fleet = CutFleet::start_at(&addresses, DEADLINE_MS).await;
        quarantine::join_pools(&mut fleet.cut);
        quarantine::join_pools(&mut fleet.other);
        fleet.links.set(Links::Refused);
        for number in 0..12 {
            let id = format!("d{number}");
            let response = fleet.cut.send("GET", "/open/deadly", &id, "").await;
            assert!([502, 503].contains(&response.status), "{response:?}");
        }
        let ended = quarantine::count_ended(&servers);
        assert!(ended <= quarantine::MAX_ENDED, "{ended} servers ended");
    });
}

/// Time for which one end takes no bytes; longer than an unacknowledged short request is believed.
const STALL: duration::Duration = duration::Duration::from_millis(2_500);
/// More than fits into the buffers between two ends.
const LARGE_BYTES: usize = 24 * 1024 * 1024;

/// Reads a request head, stalls, reads the body and responds with as many bytes.
async fn serve_after_stall(listener: tokio::net::TcpListener) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let id = support::read_request_id(&mut stream).await;
    tokio::time::sleep(STALL).await;
    let mut body = vec![0; LARGE_BYTES];
    stream.read_exact(&mut body).await.unwrap();
    let marker = marjoramwing_platform::headers::NAMES.response_marker.as_ref().unwrap();
    let response = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {LARGE_BYTES}\r\nrequest-id: {id}\r\n{marker}: s\r\n\r\n"
    );
    stream.write_all(response.as_bytes()).await.unwrap();
    stream.write_all(&body).await.unwrap();
}

/// Guards against a connection that is taken for dead while its server, or the caller, takes no bytes
/// for a while.
fn check_stall(links: Links) {
    support::block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addresses = [listener.local_addr().unwrap()];
        let server = tokio::spawn(serve_after_stall(listener));
        let mut fleet = CutFleet::start_at(&addresses, 30_000).await;
        fleet.links.set(links);
        for instance in [&mut fleet.cut, &mut fleet.other] {
            instance.edit(|documents| {
                let routes = &mut documents.routes.routes;
                routes.iter_mut().for_each(|route| route.max_body_bytes = 64 * 1024 * 1024);
            });
        }
        let mut caller = tokio::net::TcpStream::connect(fleet.cut.address).await.unwrap();
        let head = format!(
            "POST /open HTTP/1.1\r\nhost: test\r\nrequest-id: one\r\ncontent-length: {LARGE_BYTES}\r\n\r\n"
        );
        caller.write_all(head.as_bytes()).await.unwrap();
        caller.write_all(&vec![b'x'; LARGE_BYTES]).await.unwrap();
        // The response fills all buffers meanwhile.
        tokio::time::sleep(2 * STALL).await;
        let mut received = 0;
        let mut buffer = vec![0; 1024 * 1024];
        while received < LARGE_BYTES {
            match caller.read(&mut buffer).await.unwrap() {
                0 => break,
                length => received += length,
            }
        }
        assert!(received >= LARGE_BYTES, "{received} bytes arrived");
        server.await.unwrap();
    });
}

/// Responds without a length, then resets the connection within the body.
async fn serve_reset(listener: tokio::net::TcpListener) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let id = support::read_request_id(&mut stream).await;
    let marker = marjoramwing_platform::headers::NAMES.response_marker.as_ref().unwrap();
    let response = format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\n{marker}: s\r\n\r\nhalf");
    stream.write_all(response.as_bytes()).await.unwrap();
    tokio::time::sleep(duration::Duration::from_millis(100)).await;
    marjoramwing_node::socket::reset_on_close(&stream);
}

/// Guards against a response without a length that was reset on the way and looks complete.
fn check_reset(links: Links) {
    support::block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addresses = [listener.local_addr().unwrap()];
        let server = tokio::spawn(serve_reset(listener));
        let fleet = CutFleet::start_at(&addresses, DEADLINE_MS).await;
        fleet.links.set(links);
        let response = fleet.cut.send("POST", "/open", "one", "a body").await;
        assert_eq!((response.status, response.outcome()), (502, "unknown"), "{response:?}");
        server.await.unwrap();
    });
}

cases! { check_reset:
    reset_response_does_not_look_complete => (Links::Open);
    reset_response_does_not_look_complete_behind_another_instance => (Links::Refused);
}

cases! { check_stall:
    stalls_do_not_end_a_direct_connection => (Links::Open);
    stalls_do_not_end_a_relayed_connection => (Links::Refused);
}

cases! { check_served:
    callers_are_served_while_connections_are_refused => (Links::Refused);
    callers_are_served_while_connections_hang => (Links::Hanging);
}
