//! Counts that decay exponentially.

use std::time::Duration;

/// Returns the remaining weight of a value of the given age; `decay` is the time constant.
pub(super) fn decay_factor(age: Duration, decay: Duration) -> f64 {
    (-age.as_secs_f64() / decay.as_secs_f64()).exp()
}

/// Exponentially decayed number of events. All calls must use the same time constant.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DecayedCount {
    /// Number as of `at`.
    count: f64,
    at: Duration,
}

impl DecayedCount {
    /// Counts an event.
    pub(super) fn record(&mut self, decay: Duration, now: Duration) {
        self.count = self.at_time(decay, now) + 1.0;
        self.at = now;
    }

    /// Returns the number of events, decayed to `now`.
    pub(super) fn at_time(&self, decay: Duration, now: Duration) -> f64 {
        self.count * decay_factor(now.saturating_sub(self.at), decay)
    }
}
