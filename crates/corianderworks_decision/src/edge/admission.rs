//! Refuses a request that can't be answered in time, and says when to return.
//!
//! Load answered: a burst, or a service that lost servers, where requests would wait in the
//! queues of backend servers until their deadline passes. A request that can't finish is
//! refused before it takes a place from one that can.

use std::time::Duration;

use super::load_balancer::Choice;

/// Part of the expected time that must be left. Service times vary widely, so a request
/// with somewhat less time than expected still has a fair chance.
const LEAST_PART_OF_EXPECTED: f64 = 0.5;
/// Shortest and longest time after which a refused caller is asked to return.
const RETURN_MIN: Duration = Duration::from_millis(200);
const RETURN_MAX: Duration = Duration::from_millis(3_000);

/// Decision about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Send it to the chosen server.
    Admit,
    /// Refuse it; the caller may return after this time.
    Refuse {
        /// Time until capacity is expected to be free.
        retry_after: Duration,
    },
}

/// Decides whether a request with `left` time is sent to the chosen server.
///
/// `spread` in 0..1 distributes the returns of callers that are refused together.
pub fn admit(choice: Option<&Choice>, left: Duration, spread: f64) -> Admission {
    let Some(choice) = choice else {
        return Admission::Refuse {
            retry_after: retry_after(RETURN_MIN * 2, spread),
        };
    };
    if choice.expected_latency.mul_f64(LEAST_PART_OF_EXPECTED) <= left {
        return Admission::Admit;
    }
    Admission::Refuse {
        retry_after: retry_after(choice.expected_latency.saturating_sub(left), spread),
    }
}

/// Returns a time for a refused caller to return, between 1 and 2 times `base`.
pub fn retry_after(base: Duration, spread: f64) -> Duration {
    base.clamp(RETURN_MIN, RETURN_MAX).mul_f64(1.0 + spread)
}
