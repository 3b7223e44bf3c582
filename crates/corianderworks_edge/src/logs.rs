//! Log lines on standard output: JSON, bounded in rate, never blocking.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Lines that wait for standard output; more are dropped and counted.
const BUFFERED_LINES_MAX: usize = 4_096;
/// Lines per second of one kind; enough for all requests of an ordinary VM, and a bound on
/// the processor time and bytes of logs at ten times that rate.
const LINES_PER_S: u64 = 100;
/// Filter in use unless `RUST_LOG` is set.
const DEFAULT_FILTER: &str = "info,quinn=warn,hyper=warn";

/// Starts logs. Lines are lost if the guard is dropped.
///
/// # Errors
///
/// Fails if logs are started already.
pub fn start() -> Result<(WorkerGuard, DroppedLines), Box<dyn std::error::Error + Send + Sync>> {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(BUFFERED_LINES_MAX)
        .finish(std::io::stdout());
    let dropped = DroppedLines(writer.clone());
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| DEFAULT_FILTER.into());
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_target(false)
        .with_writer(writer)
        .try_init()?;
    Ok((guard, dropped))
}

/// Counter of lines that standard output did not take in time.
#[derive(Debug, Clone)]
pub struct DroppedLines(NonBlocking);

impl DroppedLines {
    /// Number of dropped lines so far.
    pub fn count(&self) -> usize {
        self.0.error_counter().dropped_lines()
    }
}

/// Bound on the rate of one kind of lines.
#[derive(Debug, Default)]
pub struct LineRateLimiter {
    current_second: AtomicU64,
    line_count: AtomicU64,
    omitted: AtomicU64,
}

impl LineRateLimiter {
    /// Returns whether a line may be written, and how many were left out before it.
    pub fn try_acquire(&self, now: Duration) -> Option<u64> {
        let current_second = now.as_secs();
        if self.current_second.swap(current_second, Ordering::Relaxed) != current_second {
            self.line_count.store(0, Ordering::Relaxed);
        }
        if self.line_count.fetch_add(1, Ordering::Relaxed) < LINES_PER_S {
            return Some(self.omitted.swap(0, Ordering::Relaxed));
        }
        self.omitted.fetch_add(1, Ordering::Relaxed);
        None
    }
}
