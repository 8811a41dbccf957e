//! Memory of an instance while backend servers, or callers, send bodies in the smallest chunks.
//!
//! The tests read the peak memory of their own process, so they run one at a time and apart from others.

use std::fs;
use std::sync;

use marjoramwing_platform::headers;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

#[path = "../support/ledger.rs"]
mod ledger;
#[expect(dead_code, reason = "shared with the tests of outcomes, which use all of it")]
#[path = "../outcome/support.rs"]
mod support;

const OPEN: usize = 8;
const DEADLINE_MS: u64 = 60_000;
/// Payload of a small body, in bytes; such bodies are buffered.
const BUFFERED_BYTES: usize = 64 * 1024;
/// Most memory that one open body may take, in bytes: buffers of several stages, each of a small body.
const MAX_BYTES_EACH: usize = 8 * BUFFERED_BYTES;
const CHUNK: &[u8] = b"1\r\na\r\n";

static MEASURING: sync::Mutex<()> = sync::Mutex::new(());

/// Returns a value of this process in bytes, by its name in the status of the process.
fn read_status(name: &str) -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap();
    line.trim_matches([':', '\t', ' ']).trim_end_matches(" kB").parse::<usize>().unwrap() * 1024
}

/// Measures how far the memory of this process rises.
struct PeakMeter {
    before: usize,
}

impl PeakMeter {
    fn start() -> Self {
        // Sets the peak to the present size.
        fs::write("/proc/self/clear_refs", "5").unwrap();
        Self { before: read_status("VmRSS") }
    }

    /// Asserts that memory rose no further than open bodies may take.
    fn assert_small_bodies(&self) {
        let rise = read_status("VmHWM").saturating_sub(self.before);
        assert!(rise <= OPEN * MAX_BYTES_EACH, "{rise} bytes for {OPEN} bodies");
    }
}

/// Runs a test while no other one runs.
fn run_alone(test: impl Future<Output = ()>) {
    let _measuring = MEASURING.lock().unwrap_or_else(sync::PoisonError::into_inner);
    support::block_on(test);
}

/// Responds to each request with chunks of one byte until the connection is closed.
async fn flood(listener: tokio::net::TcpListener) {
    let marker = headers::NAMES.response_marker.as_ref().unwrap();
    while let Ok((mut stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            let id = support::read_request_id(&mut stream).await;
            let framing = "transfer-encoding: chunked";
            let head =
                format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\n{marker}: s\r\n{framing}\r\n\r\n");
            stream.write_all(head.as_bytes()).await.unwrap();
            let chunks = CHUNK.repeat(1_000);
            while stream.write_all(&chunks).await.is_ok() {}
        });
    }
}

/// Guards against an instance that runs out of memory while servers send bodies without end in small
/// chunks and callers do not read.
#[test]
fn endless_small_chunks_of_responses_take_little_memory() {
    run_alone(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let servers = [listener.local_addr().unwrap()];
        tokio::spawn(flood(listener));
        let mut instance = support::TestInstance::start_on_platform(&servers, DEADLINE_MS).await;
        instance.edit(|documents| documents.pools.pools[0].servers[0].slots = OPEN as u32);
        let meter = PeakMeter::start();
        let mut callers = Vec::new();
        for number in 0..OPEN {
            let mut caller = tokio::net::TcpStream::connect(instance.address).await.unwrap();
            let request = format!("GET /open HTTP/1.1\r\nhost: a\r\nrequest-id: r{number}\r\n\r\n");
            caller.write_all(request.as_bytes()).await.unwrap();
            callers.push(caller);
        }
        for caller in &mut callers {
            // The head follows once the start of the body is buffered.
            let mut status = [0; 12];
            caller.read_exact(&mut status).await.unwrap();
            assert_eq!(&status, b"HTTP/1.1 200");
        }
        meter.assert_small_bodies();
    });
}

/// Guards against an instance that runs out of memory while callers send bodies in small chunks.
#[test]
fn small_chunks_of_requests_take_little_memory() {
    run_alone(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let servers = [listener.local_addr().unwrap()];
        let instance = support::TestInstance::start_on_platform(&servers, DEADLINE_MS).await;
        let meter = PeakMeter::start();
        let mut callers = tokio::task::JoinSet::new();
        for number in 0..OPEN {
            let address = instance.address;
            callers.spawn(async move {
                let mut caller = tokio::net::TcpStream::connect(address).await.unwrap();
                let framing = "transfer-encoding: chunked";
                let head = format!(
                    "POST /open HTTP/1.1\r\nhost: a\r\nrequest-id: r{number}\r\n{framing}\r\n\r\n"
                );
                caller.write_all(head.as_bytes()).await.unwrap();
                let chunks = CHUNK.repeat(256);
                for _ in 0..BUFFERED_BYTES / 256 {
                    caller.write_all(&chunks).await.unwrap();
                }
                // One byte more than is buffered without a length.
                caller.write_all(CHUNK).await.unwrap();
                let mut status = [0; 12];
                caller.read_exact(&mut status).await.unwrap();
                assert_eq!(&status, b"HTTP/1.1 411");
            });
        }
        callers.join_all().await;
        meter.assert_small_bodies();
    });
}
