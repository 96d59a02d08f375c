//! Logging to standard output by a separate thread.
//!
//! Invariants: a request never waits for the log; lines that do not fit in the queue are dropped
//! and counted.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use spdlog::ErrorHandler;
use spdlog::Logger;
use spdlog::ThreadPool;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::AsyncPoolSink;
use spdlog::sink::OverflowPolicy;
use spdlog::sink::StdStreamSink;

/// The most lines queued for the writing thread.
const QUEUE_LINES: usize = 2_048;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns how many lines were dropped because the queue was full, since the start of the process.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Sets the process's default logger: JSON lines on standard output.
///
/// # Errors
///
/// Fails if the logger cannot be built.
pub fn init() -> spdlog::Result<()> {
    let mut output = StdStreamSink::builder().stdout();
    output = output.formatter(JsonFormatter::new());
    let pool = ThreadPool::builder()
        .capacity(QUEUE_LINES.try_into().expect("the capacity is not zero"))
        .build()?;
    let queue = AsyncPoolSink::builder()
        .thread_pool(Arc::new(pool))
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(ErrorHandler::new(|_| {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }))
        .sink(output.build_arc()?)
        .build_arc()?;
    let logger = Logger::builder().sink(queue).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
