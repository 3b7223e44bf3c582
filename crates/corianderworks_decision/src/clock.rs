//! Time source, passed in so that tests can control it.

use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime};

/// Source of monotonic and wall-clock time.
pub trait Clock: Send + Sync + 'static {
    /// Monotonic time since the process started.
    fn now(&self) -> Duration;
    /// Wall-clock time, which can jump; for records only.
    fn wall(&self) -> SystemTime;
}

/// Clock of the operating system.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Creates a clock whose monotonic time starts at zero now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Clock for tests that starts at zero and advances only on `advance`.
#[derive(Debug, Default)]
pub struct ManualClock {
    now: Mutex<Duration>,
}

impl ManualClock {
    /// Advances the monotonic and the wall-clock time.
    pub fn advance(&self, duration: Duration) {
        *self.now.lock().unwrap_or_else(|e| e.into_inner()) += duration;
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Duration {
        *self.now.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.now()
    }
}
