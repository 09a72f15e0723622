//! Log output: a separate thread writes the lines to standard error, so that the serving thread never waits for a
//! reader that has stopped or a disk that stalls. Lines that do not fit into the queue are dropped and counted.
use std::io;
use std::sync::OnceLock;
use tracing::level_filters::LevelFilter;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

/// Capacity of the queue of lines to be written.
const MAX_PENDING_LINES: usize = 1_024;

static DROPPED_LINES: OnceLock<ErrorCounter> = OnceLock::new();

/// Starts logging at this level. Queued lines are written when the guard is dropped, unless standard error stalls.
pub fn start(level: LevelFilter) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_PENDING_LINES)
        .thread_name("cottondyke-log")
        .finish(io::stderr());
    let _ = DROPPED_LINES.set(writer.error_counter());
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_ansi(false)
        .with_writer(writer)
        .init();
    guard
}

/// How many lines were dropped since the start.
pub fn dropped_lines() -> usize {
    DROPPED_LINES.get().map_or(0, ErrorCounter::dropped_lines)
}
