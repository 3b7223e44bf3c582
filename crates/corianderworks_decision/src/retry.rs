//! Budget for retries and hedges, which keeps them from amplifying an overload.

use std::time::Duration;

use crate::dispatch_types::{Outcome, Retry};

/// Length of the sliding window in one-second buckets.
const BUCKETS: usize = 10;
/// Retries that are allowed in the window however few requests arrive. With fewer, the first
/// failures of one backend server already reached callers: the demo passed only 5 of 8 times.
const MIN_RETRIES: u32 = 10;

/// Limits retries and hedges to a percentage of the requests of the last ten seconds.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    percent: u32,
    requests: [u32; BUCKETS],
    retries: [u32; BUCKETS],
    second: u64,
}

impl RetryBudget {
    /// Creates a budget of `percent` of the requests in the window.
    pub fn new(percent: u32) -> Self {
        Self {
            percent,
            requests: [0; BUCKETS],
            retries: [0; BUCKETS],
            second: 0,
        }
    }

    fn advance(&mut self, now: Duration) -> usize {
        let second = now.as_secs();
        let passed = second.saturating_sub(self.second).min(BUCKETS as u64);
        for step in 0..passed {
            let index = ((second - step) % BUCKETS as u64) as usize;
            self.requests[index] = 0;
            self.retries[index] = 0;
        }
        self.second = self.second.max(second);
        (self.second % BUCKETS as u64) as usize
    }

    /// Counts a new request; retries and hedges of it are not counted here.
    pub fn record_request(&mut self, now: Duration) {
        let index = self.advance(now);
        self.requests[index] += 1;
    }

    /// Number of retries that are left at `now`.
    pub fn left(&mut self, now: Duration) -> u32 {
        self.advance(now);
        let requests: u32 = self.requests.iter().sum();
        let retries: u32 = self.retries.iter().sum();
        let allowed = MIN_RETRIES.max(requests * self.percent / 100);
        allowed.saturating_sub(retries)
    }

    /// Takes one retry from the budget, or returns `false` if none is left.
    pub fn take(&mut self, now: Duration) -> bool {
        if self.left(now) == 0 {
            return false;
        }
        let index = self.advance(now);
        self.retries[index] += 1;
        true
    }
}

/// Returns `Retry` if the request failed and may be sent again: the backend server did not run
/// it, or the caller allows a second run (`idempotent`).
pub fn safe_to_retry(idempotent: bool, outcome: Outcome) -> Retry {
    let failed = match outcome {
        Outcome::NotRun { .. } | Outcome::ConnectFailed => return Retry::Retry,
        Outcome::Success { .. } | Outcome::Drained { .. } | Outcome::Cancelled { .. } => false,
        Outcome::Error { status, .. } => status >= 500,
        Outcome::Stalled { .. } | Outcome::Truncated { .. } => true,
    };
    if idempotent && failed {
        Retry::Retry
    } else {
        Retry::GiveUp
    }
}
