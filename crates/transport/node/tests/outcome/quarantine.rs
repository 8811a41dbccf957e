//! Requests that end the backend servers that run them.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time as duration;

use marjoramwing_dispatch::fingerprint;
use marjoramwing_dispatch::suspect;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio_util::sync as cancellation;

use crate::backend;
use crate::support;

const DEADLINE_MS: u64 = 2_000;
/// Servers that one request may end in all, however often it comes.
pub(crate) const MAX_ENDED: usize = 5;
/// Time from the start of a deadly request to the end of its server.
const RUN_TIME: duration::Duration = duration::Duration::from_millis(30);

/// A server whose process ends when it runs a request for `/open/deadly`.
#[derive(Debug, Clone)]
pub(crate) struct FragileServer {
    pub(crate) address: net::SocketAddr,
    ended: cancellation::CancellationToken,
    runs: sync::Arc<atomic::AtomicUsize>,
}

impl FragileServer {
    pub(crate) async fn start() -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let ended = cancellation::CancellationToken::new();
        let server = Self { address, ended, runs: sync::Arc::default() };
        let accepting = server.clone();
        tokio::spawn(async move {
            let accept = accepting.accept(listener);
            accepting.ended.run_until_cancelled(accept).await;
        });
        server
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.ended.is_cancelled()
    }

    async fn accept(&self, listener: tokio::net::TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let server = self.clone();
            tokio::spawn(async move {
                server.ended.run_until_cancelled(server.serve(stream)).await;
            });
        }
    }

    async fn serve(&self, mut stream: tokio::net::TcpStream) -> Option<()> {
        let mut unread = Vec::new();
        loop {
            while !unread.ends_with(b"\r\n\r\n") {
                unread.push(stream.read_u8().await.ok()?);
            }
            self.runs.fetch_add(1, atomic::Ordering::Relaxed);
            let head = String::from_utf8(std::mem::take(&mut unread)).unwrap();
            if head.contains("/open/deadly") {
                tokio::time::sleep(RUN_TIME).await;
                self.ended.cancel();
                return None;
            }
            let id = head.lines().find_map(|line| line.strip_prefix("request-id: ")).unwrap();
            let marker = marjoramwing_platform::headers::NAMES.response_marker.as_ref().unwrap();
            let response = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nrequest-id: {id}\r\n\
                 {marker}: s\r\n\r\nok"
            );
            stream.write_all(response.as_bytes()).await.ok()?;
        }
    }
}

/// Puts all servers into one pool, which every route uses.
pub(crate) fn join_pools(instance: &mut support::TestInstance) {
    instance.edit(|documents| {
        let pools = &mut documents.pools.pools;
        let servers: Vec<_> = pools.drain(1..).flat_map(|pool| pool.servers).collect();
        pools[0].servers.extend(servers);
        let first = sync::Arc::clone(&pools[0].name);
        documents.routes.routes.iter_mut().for_each(|route| route.pools = vec![first.clone()]);
    });
}

async fn start_servers(count: usize) -> (support::TestInstance, Vec<FragileServer>) {
    let mut servers = Vec::new();
    for _ in 0..count {
        servers.push(FragileServer::start().await);
    }
    let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
    let mut instance = support::TestInstance::start_on_platform(&addresses, DEADLINE_MS).await;
    join_pools(&mut instance);
    (instance, servers)
}

pub(crate) fn count_ended(servers: &[FragileServer]) -> usize {
    servers.iter().filter(|server| server.has_ended()).count()
}

/// Guards against server after server ended by one request, which was retried on another server and
/// served anew each time that a caller sent it again.
#[test]
fn request_that_ends_servers_is_held() {
    support::block_on(async {
        let (instance, servers) = start_servers(16).await;
        for number in 0..12 {
            let response = instance.send("GET", "/open/deadly", &format!("d{number}"), "").await;
            assert!([502, 503].contains(&response.status), "{response:?}");
        }
        let ended = count_ended(&servers);
        assert!(ended <= MAX_ENDED, "{ended} servers ended");
        let other = instance.send("GET", "/open/other", "o", "").await;
        assert_eq!(other.status, 200, "{other:?}");
    });
}

/// Guards against copies that were sent before the servers ended, which wait in the queue of another
/// server and end it later.
#[test]
fn copies_that_wait_at_servers_are_withdrawn_once_the_request_is_held() {
    support::block_on(async {
        let server = backend::ScriptedServer::start(&[backend::ServerStep::NeverRespond]).await;
        let addresses = [server.address];
        let instance = support::TestInstance::start_on_platform(&addresses, DEADLINE_MS).await;
        let request =
            support::make_request("GET", "/open/deadly", "early", axum::body::Body::empty());
        let shared = sync::Arc::clone(&instance.shared);
        let others = async {
            support::wait_until(|| server.runs().len() == 1).await;
            let content = fingerprint::RequestContent {
                method: "GET",
                host: "test",
                target: "/open/deadly",
                team: "",
                body: fingerprint::ContentBody::Whole(b""),
            };
            let content = shared.fingerprints.fingerprint(&content);
            for ended in ["a", "b"] {
                let crash = suspect::CrashId::new(ended, 1);
                let sender = suspect::SenderId::of("");
                let address = server.address;
                shared.quarantine.record_crash(content, sender, crash, address, shared.now());
            }
            support::wait_until(|| server.closed() == 1).await;
        };
        let (response, ()) = futures_util::future::join(instance.call(request), others).await;
        assert_eq!((response.status, response.outcome()), (502, "unknown"));
        let response = instance.send("GET", "/open/deadly", "late", "").await;
        assert_eq!((response.status, response.outcome()), (503, "not-run"));
        assert_eq!(server.runs().len(), 1);
    });
}
