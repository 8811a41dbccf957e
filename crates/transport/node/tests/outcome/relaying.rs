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

use crate::backend;
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
        let links = CutDialer::new();
        let dialer = sync::Arc::clone(&links);
        let cut =
            support::TestInstance::start_in_fleet("cut", "r", dialer, &addresses, DEADLINE_MS);
        let cut = cut.await;
        let dialer = sync::Arc::new(direct::TcpDialer);
        let other =
            support::TestInstance::start_in_fleet("other", "r", dialer, &addresses, DEADLINE_MS);
        let other = other.await;
        for instance in [&cut, &other] {
            let view = view::MemberView::new(vec![cut.member(), other.member()]);
            instance.shared.publish_members(view);
        }
        Self { cut, other, links, servers: started }
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

cases! { check_served:
    callers_are_served_while_connections_are_refused => (Links::Refused);
    callers_are_served_while_connections_hang => (Links::Hanging);
}
