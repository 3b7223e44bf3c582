//! What follows the end of an attempt.

use std::time::Duration;

use super::routes::Repeatability;

/// How an attempt at a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The complete response of the server, which is no failure.
    Served,
    /// The complete response of the server, which is a failure; the request ran.
    Failed,
    /// The server says that it did not run the request.
    NotRun,
    /// No byte of the request was sent.
    NotSent,
    /// The response is missing, broken or belongs to another request.
    Unknown,
}

/// Facts that decide about another attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptState {
    /// Whether the request may run more than once.
    pub repeatability: Repeatability,
    /// Backend servers that the request was sent to.
    pub sent: u32,
    /// Largest number of backend servers that it may be sent to.
    pub attempts_max: u32,
    /// Attempts that servers refused without running them.
    pub refusals: u32,
    /// Connections that failed before anything was sent.
    pub connects_failed: u32,
    /// Time left until the deadline or the route's timeout.
    pub left: Duration,
}

/// What to do after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Deliver the response.
    Deliver,
    /// Try another server, if there is one and the budget allows it.
    TryAnother,
    /// Ask a server again that refused, after a pause, if the budget allows it.
    AskAgain,
    /// Give up; the request did not run.
    RefuseNotRun,
    /// Give up; the request may have run.
    FailUnknown,
}

/// Least time for which another attempt is worth its load.
const LEAST_TIME: Duration = Duration::from_millis(50);
/// Refusals after which a request is given up. A server that refuses part of its requests
/// takes one of so many with a good chance.
const REFUSALS_MAX: u32 = 6;
/// Pause before a server that refused is asked again; a slot may be free by then.
pub const ASK_AGAIN_PAUSE: Duration = Duration::from_millis(20);
/// Connections of one request that may fail; bounds the time spent on a cut domain.
const CONNECTS_FAILED_MAX: u32 = 4;

/// Decides what follows an attempt.
pub fn next_step(end: AttemptEnd, state: AttemptState) -> NextStep {
    let may_send = state.sent < state.attempts_max && state.left > LEAST_TIME;
    let idempotent = state.repeatability == Repeatability::Idempotent;
    match end {
        AttemptEnd::Served => NextStep::Deliver,
        AttemptEnd::Failed if idempotent && may_send => NextStep::TryAnother,
        AttemptEnd::Failed => NextStep::Deliver,
        AttemptEnd::NotRun if may_send => NextStep::TryAnother,
        // The limit on attempts counts servers, and these have run nothing.
        AttemptEnd::NotRun if state.refusals < REFUSALS_MAX && state.left > LEAST_TIME => {
            NextStep::AskAgain
        }
        AttemptEnd::NotRun => NextStep::RefuseNotRun,
        AttemptEnd::NotSent if may_send && state.connects_failed < CONNECTS_FAILED_MAX => {
            NextStep::TryAnother
        }
        AttemptEnd::NotSent => NextStep::RefuseNotRun,
        AttemptEnd::Unknown if idempotent && may_send => NextStep::TryAnother,
        AttemptEnd::Unknown => NextStep::FailUnknown,
    }
}
