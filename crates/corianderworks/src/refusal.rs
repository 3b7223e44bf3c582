//! Refusals: responses that the fleet gives in place of a backend server.

use std::time::Duration;

use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response};
use serde_json::json;

use crate::body::{Body, BodyError, full};
use crate::headers::{OUTCOME, REASON};
use crate::reasons::{Reason, RefusalOutcome};

impl From<&BodyError> for Reason {
    fn from(error: &BodyError) -> Self {
        match error {
            BodyError::Truncated(_) => Self::BadRequest,
            BodyError::TooLong(_) => Self::TooLarge,
            BodyError::Paused(_) => Self::SlowBody,
        }
    }
}

/// Refusal of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request may have run.
    pub outcome: RefusalOutcome,
    /// Why.
    pub reason: Reason,
    /// Time after which the request may succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Refusal of a request that was provably not run.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            outcome: RefusalOutcome::NotRun,
            reason,
            retry_after: usual_retry_after(reason),
        }
    }

    /// Refusal of a request that may have run.
    pub fn unknown(reason: Reason) -> Self {
        Self {
            outcome: RefusalOutcome::Unknown,
            ..Self::not_run(reason)
        }
    }

    /// The same refusal after an attempt that may have run.
    pub fn after_attempt(self) -> Self {
        Self {
            outcome: RefusalOutcome::Unknown,
            ..self
        }
    }

    /// Builds the response to the caller.
    pub fn response(self) -> Response<Body> {
        let (outcome, reason) = (self.outcome.name(), self.reason.name());
        let text = json!({ "outcome": outcome, "reason": reason });
        let mut response = Response::new(full(text.to_string()));
        *response.status_mut() = self.reason.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(OUTCOME, HeaderValue::from_static(outcome));
        headers.insert(REASON, HeaderValue::from_static(reason));
        if let Some(after) = self.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(after.as_secs().max(1)));
        }
        response
    }
}

/// Time after which a request that was refused for a passing reason may succeed.
fn usual_retry_after(reason: Reason) -> Option<Duration> {
    match reason {
        Reason::Rate
        | Reason::QueueFull
        | Reason::Shed
        | Reason::BackendShed
        | Reason::NoUpstream
        | Reason::ClaimBudget
        | Reason::PlatformDown
        | Reason::DaemonFull => Some(Duration::from_secs(1)),
        _ => None,
    }
}
