//! Rate limit for messages.

use std::time::Duration;

/// Token bucket that holds up to `burst` tokens and is refilled at a rate of `per_second`.
#[derive(Debug)]
pub(super) struct TokenBucket {
    burst: f64,
    per_second: f64,
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    pub(super) fn new(burst: u32, per_second: u32) -> Self {
        Self {
            burst: f64::from(burst),
            per_second: f64::from(per_second),
            tokens: f64::from(burst),
            refilled_at: Duration::ZERO,
        }
    }

    /// Takes the token for one message; returns `false` if none is available.
    pub(super) fn take(&mut self, now: Duration) -> bool {
        let refill = now.saturating_sub(self.refilled_at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + refill).min(self.burst);
        self.refilled_at = now;
        let taken = self.tokens >= 1.0;
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }
}
