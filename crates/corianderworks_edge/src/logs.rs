//! Logging to standard output as JSON lines, without blocking the daemon. Frequent lines are
//! rate-limited.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Maximum number of lines buffered for standard output; further lines are dropped and counted.
const BUFFERED_LINES_MAX: usize = 4_096;
/// Maximum rate of lines per limiter. It covers all requests of an ordinary VM, and bounds the CPU
/// time and size of the logs at ten times that request rate.
const LINES_PER_S: u64 = 100;
/// Filter used unless `RUST_LOG` is set.
const DEFAULT_FILTER: &str = "info,quinn=warn,hyper=warn";

/// Installs the global logger. Lines written after the guard is dropped are lost.
///
/// # Errors
///
/// Fails if a global logger is already installed.
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

/// Counter of lines dropped because standard output was too slow.
#[derive(Debug, Clone)]
pub struct DroppedLines(NonBlocking);

impl DroppedLines {
    /// Returns the number of lines dropped since the start of the daemon.
    pub fn count(&self) -> usize {
        self.0.error_counter().dropped_lines()
    }
}

/// Limits the number of log lines of one kind per second.
#[derive(Debug, Default)]
pub struct LineRateLimiter {
    current_second: AtomicU64,
    line_count: AtomicU64,
    /// Lines omitted since the last one written.
    omitted: AtomicU64,
    /// Lines omitted since the start.
    omitted_total: AtomicU64,
}

impl LineRateLimiter {
    /// Returns the number of lines omitted since the last one written, or `None` if this line must
    /// be omitted too. `now` is the time of the daemon's clock.
    pub fn try_acquire(&self, now: Duration) -> Option<u64> {
        let current_second = now.as_secs();
        if self.current_second.swap(current_second, Ordering::Relaxed) != current_second {
            self.line_count.store(0, Ordering::Relaxed);
        }
        if self.line_count.fetch_add(1, Ordering::Relaxed) < LINES_PER_S {
            return Some(self.omitted.swap(0, Ordering::Relaxed));
        }
        self.omitted.fetch_add(1, Ordering::Relaxed);
        self.omitted_total.fetch_add(1, Ordering::Relaxed);
        None
    }

    /// Returns the number of lines omitted since the start.
    pub fn omitted_total(&self) -> u64 {
        self.omitted_total.load(Ordering::Relaxed)
    }
}
