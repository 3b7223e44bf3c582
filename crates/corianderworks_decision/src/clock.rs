//! Time source, passed in so that tests can control it.

use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime};

/// Source of monotonic and wall-clock time.
pub trait Clock: Send + Sync + 'static {
    /// Monotonic time since the process started.
    fn now(&self) -> Duration;
    /// Monotonic time from an arbitrary start, including the time for which the process or the
    /// machine was suspended. [`Clock::now`] may leave out that time.
    fn since_boot(&self) -> Duration;
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

    fn since_boot(&self) -> Duration {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        // The kernel returns no negative parts.
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or_default();
        Duration::from_secs(seconds) + Duration::from_nanos(nanoseconds)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Clock for tests that starts at zero and advances only on `advance` and `suspend`.
#[derive(Debug, Default)]
pub struct ManualClock {
    now: Mutex<Duration>,
    suspended: Mutex<Duration>,
}

impl ManualClock {
    /// Advances all times.
    pub fn advance(&self, duration: Duration) {
        *self.now.lock().unwrap_or_else(|e| e.into_inner()) += duration;
    }

    /// Advances only the time that includes suspension.
    pub fn suspend(&self, duration: Duration) {
        *self.suspended.lock().unwrap_or_else(|e| e.into_inner()) += duration;
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Duration {
        *self.now.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn since_boot(&self) -> Duration {
        self.now() + *self.suspended.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.now()
    }
}
