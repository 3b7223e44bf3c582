//! Budget of retries and hedges, so that they cannot multiply an overload.

use std::time::Duration;

use crate::dispatch_types::{Outcome, Retry};

/// Buckets of one second over which recent requests count.
const BUCKETS: usize = 10;
/// Retries that a quiet service may always make in the window. With fewer, the first failures of
/// one backend server already reach callers: the demo passed on 5 of 8.
const RETRIES_MIN: u32 = 10;

/// Counts requests and retries of the last ten seconds.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    percent: u32,
    requests: [u32; BUCKETS],
    retries: [u32; BUCKETS],
    second: u64,
}

impl RetryBudget {
    /// Creates a budget that is a percentage of recent requests.
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

    /// Records a request that arrives for the first time.
    pub fn request(&mut self, now: Duration) {
        let index = self.advance(now);
        self.requests[index] += 1;
    }

    /// Takes one retry from the budget; false when none is left.
    pub fn take(&mut self, now: Duration) -> bool {
        let index = self.advance(now);
        let requests: u32 = self.requests.iter().sum();
        let retries: u32 = self.retries.iter().sum();
        if retries >= RETRIES_MIN.max(requests * self.percent / 100) {
            return false;
        }
        self.retries[index] += 1;
        true
    }
}

/// Whether sending the request again cannot run it twice against the caller's will.
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
