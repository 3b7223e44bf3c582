//! Source of time, passed in so that tests can set it.

use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime};

/// Source of time.
pub trait Clock: Send + Sync + 'static {
    /// Monotonic time since the process started.
    fn now(&self) -> Duration;
    /// Wall-clock time, for records only.
    fn wall(&self) -> SystemTime;
}

/// Clock of the operating system.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Starts counting monotonic time from now.
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

/// Clock that only moves when told to.
#[derive(Debug, Default)]
pub struct ManualClock {
    now: Mutex<Duration>,
}

impl ManualClock {
    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        *self.now.lock().unwrap_or_else(|e| e.into_inner()) += by;
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
