//! Runs the binary as a process against a simulated platform inside the test.

use std::fs;
use std::io::BufRead;
use std::net;
use std::path;
use std::process;
use std::time;

use marjoramwing_objects::object;
use marjoramwing_standins::platform;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

const BINARY: &str = env!("CARGO_BIN_EXE_marjoramwing");
const ADMIN_SECRET: &str = "admin-secret-of-tests";
/// Timeout of every wait.
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Slots of the backend server of [`start_platform`].
pub(crate) const SERVER_SLOTS: u32 = 9;
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Writes a settings file of an instance that listens on free ports.
pub(crate) fn write_settings(name: &str, store: net::SocketAddr, extra: &str) -> path::PathBuf {
    let directory = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&directory).unwrap();
    let file = directory.join("instance.toml");
    let text = format!(
        r#"
        [instance]
        name = "west-a-1"
        site = "west-a"
        region = "west"
        failure_domain = "west-a"
        [listen]
        callers = "127.0.0.1:0"
        peers = "127.0.0.1:0"
        admin = "127.0.0.1:0"
        [store]
        address = "{store}"
        [secrets]
        peer_env = "PEER"
        admin_env = "ADMIN"
        {extra}
        "#
    );
    fs::write(&file, text).unwrap();
    file
}

/// Returns the command that runs an instance.
pub(crate) fn serve_command(settings: &path::Path) -> process::Command {
    let mut command = process::Command::new(BINARY);
    command.args(["serve", "-c"]).arg(settings).env_clear();
    command.env("PEER", "peer-secret-of-tests").env("ADMIN", ADMIN_SECRET);
    command.stdout(process::Stdio::piped()).stderr(process::Stdio::piped());
    command
}

/// Starts a simulated platform whose tables have one route to one backend server.
pub(crate) async fn start_platform(backend: net::SocketAddr) -> net::SocketAddr {
    let server = platform::PlatformServer::default();
    let pools = format!(
        r#"{{"pools": [{{"name": "main", "servers":
        [{{"address": "{backend}", "failure_domain": "west-a", "slots": {SERVER_SLOTS}}}]}}]}}"#
    );
    let steering = r#"{"sites": [{"name": "west-a", "region": "west", "failure_domain": "west-a"}],
        "lookup_ttl_ms": 3000}"#;
    let tables = object::ObjectKind::Tables;
    server.put(tables, "pools", pools.into());
    server.put(tables, "steering", steering.into());
    server.put(tables, "teams", r#"{"teams": []}"#.into());
    server.put(tables, "keys", r#"{"keys": []}"#.into());
    let routes = r#"{"routes": [{"name": "all", "path": "/", "pools": ["main"], "access": "open",
        "deadline_ms": 60000}]}"#;
    server.put(tables, "routes", routes.into());
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move { axum::serve(listener, server.router()).await });
    address
}

/// A running instance; killed on drop.
pub(crate) struct InstanceProcess {
    child: process::Child,
    log: std::sync::Arc<std::sync::Mutex<Vec<serde_json::Value>>>,
    pub(crate) callers: net::SocketAddr,
    pub(crate) admin: net::SocketAddr,
}

impl InstanceProcess {
    /// Starts an instance and waits until it has logged its addresses.
    pub(crate) async fn start(settings: &path::Path) -> Self {
        let mut child = serve_command(settings).spawn().unwrap();
        let log = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
        let lines = std::io::BufReader::new(child.stdout.take().unwrap()).lines();
        let collected = std::sync::Arc::clone(&log);
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if let Ok(event) = serde_json::from_str(&line) {
                    collected.lock().unwrap().push(event);
                }
            }
        });
        let unset = "127.0.0.1:0".parse().unwrap();
        let mut instance = Self { child, log, callers: unset, admin: unset };
        // `INSTANCE_STARTED`.
        let started = instance.wait_for_event(1001).await;
        let address = |role: &str| started[role].as_str().unwrap().parse().unwrap();
        (instance.callers, instance.admin) = (address("callers"), address("admin"));
        instance
    }

    /// Waits until the log contains an event, and returns its fields.
    pub(crate) async fn wait_for_event(&self, number: u16) -> serde_json::Value {
        let find = || {
            let log = self.log.lock().unwrap();
            let mut fields = log.iter().map(|event| &event["fields"]);
            fields.find(|fields| fields["event"] == number).cloned()
        };
        wait_until(&format!("event {number}"), async || find()).await
    }

    /// Waits until this number of requests is open at the instance.
    pub(crate) async fn wait_for_open_requests(&self, count: u32) {
        let line = format!("marjoramwing_open_requests {count}\n");
        let poll = async || self.read_metrics().await.contains(&line).then_some(());
        wait_until("the open requests", poll).await;
    }

    async fn read_metrics(&self) -> String {
        let request = format!(
            "GET /metrics HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {ADMIN_SECRET}\r\n\
             Connection: close\r\n\r\n"
        );
        let mut stream = tokio::net::TcpStream::connect(self.admin).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).await.unwrap();
        text
    }

    /// Sends SIGTERM.
    pub(crate) fn terminate(&self) {
        let kill = format!("kill -TERM {}", self.child.id());
        assert!(process::Command::new("sh").args(["-c", &kill]).status().unwrap().success());
    }

    /// Waits for the process to end and returns its exit code.
    pub(crate) async fn wait_for_exit(&mut self) -> i32 {
        wait_until("exit", async || self.child.try_wait().unwrap()).await.code().unwrap()
    }
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Polls until `poll` returns a value.
pub(crate) async fn wait_until<T>(what: &str, mut poll: impl AsyncFnMut() -> Option<T>) -> T {
    let deadline = time::Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = poll().await {
            return value;
        }
        assert!(time::Instant::now() < deadline, "timed out waiting for {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
