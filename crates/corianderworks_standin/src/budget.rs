//! Rate limit for calls to the platform stand-in.

use std::time::Duration;

/// Token bucket whose refill rate is reduced by pending calls.
#[derive(Debug)]
pub struct Budget {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Duration,
}

impl Budget {
    /// Creates a full bucket with a rate of `rate_per_s` calls per second. Its capacity is
    /// the calls of the time `burst`, but at least one call.
    pub fn new(rate_per_s: u32, burst: Duration) -> Self {
        let rate_per_s = f64::from(rate_per_s);
        let burst = (rate_per_s * burst.as_secs_f64()).max(1.0);
        Self {
            rate_per_s,
            burst,
            tokens: burst,
            refilled_at: Duration::ZERO,
        }
    }

    /// Takes one call at time `now`; returns false if none is left. Each pending call
    /// uses up one call per second of the rate.
    pub fn try_take(&mut self, now: Duration, pending: usize) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let rate = (self.rate_per_s - pending as f64).max(0.0);
        self.tokens = (self.tokens + elapsed * rate).min(self.burst);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
