//! Structured logging to standard output.
//!
//! Lines go through a bounded queue; if it is full, a line is dropped, so that a
//! slow reader never blocks a request.

use tracing_appender::non_blocking;

/// Capacity of the queue, in lines.
const MAX_QUEUED_LINES: usize = 8_192;

/// Initializes logging; dropping the guard flushes the queue.
pub(crate) fn start() -> non_blocking::WorkerGuard {
    let (writer, guard) = non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let filter = tracing_subscriber::EnvFilter::try_from_env("MARJORAMWING_LOG")
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer)
        .with_target(false)
        .json()
        .init();
    guard
}
