//! Structured logs on standard output.
//!
//! A line is handed to a queue of bounded length; when the queue is full the
//! line is left out, so that a slow reader never holds up a request.

use tracing_appender::non_blocking;

/// Lines that wait for the writer.
const MAX_WAITING_LINES: usize = 8_192;

/// Starts the logs; they end, written out, when the guard is dropped.
pub(crate) fn start() -> non_blocking::WorkerGuard {
    let (writer, guard) = non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_WAITING_LINES)
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
