//! Admission control: refuses requests that are unlikely to finish in time.
//!
//! Designed for bursts and for services that lost servers, where requests would wait in the
//! queues of backend servers until their deadline. A request that can't finish in time is
//! refused before it takes the slot of one that can, and the refusal says when to retry.

use std::time::Duration;

use super::load_balancer::Choice;

/// Share of the expected latency that a request must have left. Service times vary widely, so
/// a request with somewhat less time than expected is still fairly likely to finish.
const EXPECTED_LATENCY_SHARE_MIN: f64 = 0.5;
/// Bounds of the retry-after time of a refused request, before jitter.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(200);
const RETRY_AFTER_MAX: Duration = Duration::from_millis(3_000);

/// Decision whether a request is sent to a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Send the request to the chosen server.
    Admit,
    /// Refuse the request.
    Refuse {
        /// Time after which the caller may retry, when capacity is expected to be free.
        retry_after: Duration,
    },
}

/// Decides whether a request with `time_left` until its deadline is sent to the chosen server.
/// Without a choice, the request is refused.
///
/// `jitter` in 0..1 distributes the retries of callers that are refused at the same time.
pub fn admit(choice: Option<&Choice>, time_left: Duration, jitter: f64) -> Admission {
    let Some(choice) = choice else {
        return Admission::Refuse {
            retry_after: retry_after(RETRY_AFTER_MIN * 2, jitter),
        };
    };
    if choice.expected_latency.mul_f64(EXPECTED_LATENCY_SHARE_MIN) <= time_left {
        return Admission::Admit;
    }
    Admission::Refuse {
        retry_after: retry_after(choice.expected_latency.saturating_sub(time_left), jitter),
    }
}

/// Returns the retry-after time of a refused request: `base`, limited to the allowed range, times
/// 1 to 2 depending on `jitter`.
pub fn retry_after(base: Duration, jitter: f64) -> Duration {
    base.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
        .mul_f64(1.0 + jitter)
}

/// Returns the retry-after time of a request whose service takes requests again after `pause`. An
/// earlier retry would only be refused once more.
pub fn retry_after_pause(pause: Duration, jitter: f64) -> Duration {
    pause + RETRY_AFTER_MIN.mul_f64(1.0 + jitter)
}
