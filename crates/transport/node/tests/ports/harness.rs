//! Serves a caller port on a free TCP port, with one backend server that records requests.

use std::fs;
use std::net;
use std::path;
use std::sync;
use std::time;

use marjoramwing_configuration::candidate;
use marjoramwing_configuration::selector;
use marjoramwing_node::callers::server;
use marjoramwing_node::shared;
use marjoramwing_settings::settings;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio_util::sync as cancellation;

use crate::ledger;

/// Time limit for one wait in a test.
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Key of the team `etna`.
pub(crate) const KEY: &str = "etna-1.0123456789abcdef0123456789abcdef";

/// A request that the backend server received completely.
#[derive(Debug, Clone)]
pub(crate) struct ReceivedRequest {
    pub(crate) target: String,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: String,
}

/// Requests that the backend server received completely, in order.
#[derive(Debug, Clone, Default)]
pub(crate) struct RequestRecord {
    requests: sync::Arc<sync::Mutex<Vec<ReceivedRequest>>>,
}

impl RequestRecord {
    /// Returns the received requests.
    pub(crate) fn received(&self) -> Vec<ReceivedRequest> {
        self.requests.lock().unwrap().clone()
    }

    /// Returns the only received request.
    ///
    /// # Panics
    ///
    /// Panics if there is not exactly one.
    pub(crate) fn only(&self) -> ReceivedRequest {
        let [request] = &self.received()[..] else { panic!("received: {:?}", self.received()) };
        request.clone()
    }
}

/// A caller port whose route `/shop` requires a key, while `/` does not.
pub(crate) struct CallerPort {
    pub(crate) address: net::SocketAddr,
    pub(crate) record: RequestRecord,
    pub(crate) shared: sync::Arc<shared::InstanceState>,
    /// Begins the end of a planned stop, in which no new connections are accepted.
    pub(crate) stop: cancellation::CancellationToken,
}

impl CallerPort {
    /// Starts a port; `callers` is added to the `[callers]` table of the settings.
    pub(crate) async fn start(callers: &str) -> Self {
        let record = RequestRecord::default();
        let backend = start_backend(record.clone()).await;
        let shared = sync::Arc::new(shared::InstanceState::new(make_settings(callers)));
        apply_tables(&shared, backend);
        ledger::start_ledger(&shared);
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let stop = cancellation::CancellationToken::new();
        tokio::spawn(server::serve_callers(sync::Arc::clone(&shared), listener, stop.clone()));
        Self { address, record, shared, stop }
    }

    /// Opens a connection to the port.
    pub(crate) async fn connect(&self) -> CallerStream {
        CallerStream(tokio::net::TcpStream::connect(self.address).await.unwrap())
    }

    /// Sends bytes on a new connection and returns all bytes received until it closes.
    pub(crate) async fn send(&self, text: &str) -> String {
        let mut stream = self.connect().await;
        stream.write(text).await;
        stream.read_to_end().await
    }

    /// Checks that a valid request on a new connection is served.
    pub(crate) async fn check_serves(&self) {
        let response =
            self.send("GET /next HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
}

/// A caller's connection.
pub(crate) struct CallerStream(tokio::net::TcpStream);

impl CallerStream {
    pub(crate) async fn write(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.unwrap();
    }

    /// Reads until the port closes or resets the connection.
    pub(crate) async fn read_to_end(&mut self) -> String {
        let mut bytes = Vec::new();
        let read = tokio::time::timeout(WAIT_TIMEOUT, self.0.read_to_end(&mut bytes));
        let _ = read.await.expect("the port neither responds nor closes");
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Reads until the received text contains `end`.
    pub(crate) async fn read_until(&mut self, end: &str) -> String {
        let mut text = String::new();
        while !text.contains(end) {
            let mut bytes = [0; 1024];
            let read = tokio::time::timeout(WAIT_TIMEOUT, self.0.read(&mut bytes));
            let length = read.await.expect("the port does not respond").unwrap();
            assert!(length > 0, "closed after: {text}");
            text.push_str(&String::from_utf8_lossy(&bytes[..length]));
        }
        text
    }
}

/// Shared secret of peers and of operators.
pub(crate) const SECRET: &str = "operators-secret-of-tests";

/// File with the secret, referenced by the settings.
static SECRET_FILE: sync::LazyLock<path::PathBuf> = sync::LazyLock::new(|| {
    let file = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("caller-port-secret");
    fs::write(&file, SECRET).unwrap();
    file
});

pub(crate) fn make_settings(callers: &str) -> settings::InstanceSettings {
    let secret = SECRET_FILE.display();
    let text = format!(
        r#"
        [instance]
        name = "one"
        site = "west"
        region = "west"
        failure_domain = "west-a"
        [listen]
        callers = "127.0.0.1:1"
        peers = "127.0.0.1:2"
        admin = "127.0.0.1:3"
        [store]
        address = "127.0.0.1:4"
        [secrets]
        peer_file = "{secret}"
        admin_file = "{secret}"
        [callers]
        {callers}
        "#
    );
    settings::InstanceSettings::try_from(text.as_str()).unwrap()
}

pub(crate) fn apply_tables(shared: &shared::InstanceState, backend: net::SocketAddr) {
    let hash = marjoramwing_tables::credential::KeyHash::of(KEY);
    let texts = [
        (
            candidate::TableObject::Pools,
            format!(
                r#"{{"pools": [{{"name": "main", "servers":
                [{{"address": "{backend}", "failure_domain": "west-a", "slots": 100}}]}}]}}"#
            ),
        ),
        (
            candidate::TableObject::Routes,
            r#"{"routes": [
                {"name": "shop", "path": "/shop", "pools": ["main"], "max_body_bytes": 100},
                {"name": "rest", "path": "/", "pools": ["main"], "access": "open"}]}"#
                .to_owned(),
        ),
        (
            candidate::TableObject::Teams,
            r#"{"teams": [{"name": "etna", "rate": 1000, "burst": 1000}]}"#.to_owned(),
        ),
        (
            candidate::TableObject::Keys,
            format!(r#"{{"keys": [{{"id": "etna-1", "team": "etna", "sha256": "{hash}"}}]}}"#),
        ),
        (candidate::TableObject::Steering, r#"{"sites": []}"#.to_owned()),
    ];
    let mut selector = selector::VersionSelector::default();
    for (table, text) in texts {
        selector.offer(table, 1, text.into());
    }
    shared.apply(selector.select().expect("the tables are valid"));
}

async fn start_backend(record: RequestRecord) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let router = axum::Router::new().fallback(record_request).with_state(record);
    tokio::spawn(async move { axum::serve(listener, router).await });
    address
}

async fn record_request(
    axum::extract::State(record): axum::extract::State<RequestRecord>,
    request: axum::extract::Request,
) -> axum::response::Response {
    let (parts, body) = request.into_parts();
    let Ok(body) = axum::body::to_bytes(body, usize::MAX).await else {
        return http::Response::builder().status(400).body(axum::body::Body::empty()).unwrap();
    };
    record.requests.lock().unwrap().push(ReceivedRequest {
        target: parts.uri.to_string(),
        headers: parts.headers,
        body: String::from_utf8(body.to_vec()).unwrap(),
    });
    http::Response::builder()
        .header("connection", "x-hop")
        .header("x-hop", "1")
        .header("keep-alive", "timeout=5")
        .header("proxy-authenticate", "Basic")
        .header("marjoramwing-outcome", "not-run")
        .header("marjoramwing-team", "forged")
        .header("x-end-to-end", "1")
        .body(axum::body::Body::from("whole"))
        .unwrap()
}
