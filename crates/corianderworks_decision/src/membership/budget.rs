//! Limit of a message rate, with room for bursts.

use std::time::Duration;

/// Messages that may be sent: `burst` at once and `per_second` in the long run.
#[derive(Debug)]
pub(super) struct Budget {
    burst: f64,
    per_second: f64,
    left: f64,
    at: Duration,
}

impl Budget {
    pub(super) fn new(burst: u32, per_second: u32) -> Self {
        Self {
            burst: f64::from(burst),
            per_second: f64::from(per_second),
            left: f64::from(burst),
            at: Duration::ZERO,
        }
    }

    /// Takes one message from the budget if there is one left.
    pub(super) fn take(&mut self, now: Duration) -> bool {
        let refill = now.saturating_sub(self.at).as_secs_f64() * self.per_second;
        self.left = (self.left + refill).min(self.burst);
        self.at = now;
        let taken = self.left >= 1.0;
        if taken {
            self.left -= 1.0;
        }
        taken
    }
}
