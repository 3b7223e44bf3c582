//! Decides after each attempt whether a request is retried.

use std::time::Duration;

use super::routes::Idempotency;

/// How an attempt at a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A complete, successful response.
    Served,
    /// A complete response that indicates a failure; the request was run.
    Failed,
    /// The server refused the request without running it.
    NotRun,
    /// The attempt failed before any byte of the request was sent.
    NotSent,
    /// The response is missing, malformed or belongs to another request.
    Unknown,
}

/// State of a request that determines whether another attempt is made.
#[derive(Debug, Clone, Copy)]
pub struct AttemptState {
    /// Whether the request may run more than once.
    pub idempotency: Idempotency,
    /// Number of backend servers that the request was sent to.
    pub sent: u32,
    /// Maximum number of backend servers that the request may be sent to.
    pub attempts_max: u32,
    /// Number of attempts that servers refused without running the request.
    pub refusals: u32,
    /// Number of attempts whose connection failed before anything was sent.
    pub failed_connects: u32,
    /// Time until the caller's deadline or the route's timeout.
    pub time_left: Duration,
}

/// Action after the end of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Forward the response to the caller.
    Deliver,
    /// Try another server, if one is available and the retry budget allows it.
    TryAnotherServer,
    /// Retry a server that refused, after [`REFUSED_RETRY_DELAY`], if the retry budget allows it.
    RetryRefused,
    /// Tell the caller that the request was not run.
    RefuseNotRun,
    /// Tell the caller that the request may have been run.
    FailUnknown,
}

/// Minimum remaining time for another attempt; with less, it is not worth its load.
const TIME_LEFT_MIN: Duration = Duration::from_millis(50);
/// Maximum number of refusals of a request. A server that refuses only part of its requests is
/// likely to accept one of this many.
const REFUSALS_MAX: u32 = 6;
/// Delay before a server that refused is tried again, so that a slot may become free.
pub const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of failed connections per request; bounds the time spent on servers of an
/// unreachable domain.
const FAILED_CONNECTS_MAX: u32 = 4;

/// Returns the action after an attempt with this end.
pub fn next_step(end: AttemptEnd, state: AttemptState) -> NextStep {
    let may_send = state.sent < state.attempts_max && state.time_left > TIME_LEFT_MIN;
    let idempotent = state.idempotency == Idempotency::Idempotent;
    match end {
        AttemptEnd::Served => NextStep::Deliver,
        AttemptEnd::Failed if idempotent && may_send => NextStep::TryAnotherServer,
        AttemptEnd::Failed => NextStep::Deliver,
        AttemptEnd::NotRun if may_send => NextStep::TryAnotherServer,
        // `attempts_max` limits the number of servers; servers that refused may be tried again
        // because they didn't run the request.
        AttemptEnd::NotRun if state.refusals < REFUSALS_MAX && state.time_left > TIME_LEFT_MIN => {
            NextStep::RetryRefused
        }
        AttemptEnd::NotRun => NextStep::RefuseNotRun,
        AttemptEnd::NotSent if may_send && state.failed_connects < FAILED_CONNECTS_MAX => {
            NextStep::TryAnotherServer
        }
        AttemptEnd::NotSent => NextStep::RefuseNotRun,
        AttemptEnd::Unknown if idempotent && may_send => NextStep::TryAnotherServer,
        AttemptEnd::Unknown => NextStep::FailUnknown,
    }
}
