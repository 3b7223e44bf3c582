//! Call budget of the platform.

use std::time::Duration;

/// Token bucket whose rate can be reduced by calls that are pending.
#[derive(Debug)]
pub struct Budget {
    per_s: f64,
    burst: f64,
    tokens: f64,
    refilled: Duration,
}

impl Budget {
    /// Bucket of `per_s` calls a second that saves up `burst` of that time.
    pub fn new(per_s: u32, burst: Duration) -> Self {
        let per_s = f64::from(per_s);
        let burst = (per_s * burst.as_secs_f64()).max(1.0);
        Self {
            per_s,
            burst,
            tokens: burst,
            refilled: Duration::ZERO,
        }
    }

    /// Takes one call at `now`; each pending call takes one a second as well.
    pub fn take(&mut self, now: Duration, pending: usize) -> bool {
        let elapsed = now.saturating_sub(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        let rate = (self.per_s - pending as f64).max(0.0);
        self.tokens = (self.tokens + elapsed * rate).min(self.burst);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
