//! Refusals: responses that the fleet gives in place of a backend server.

use std::time::Duration;

use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use serde_json::json;

use crate::body::{Body, BodyError, full};
use crate::headers::{OUTCOME, REASON};

/// Whether a refused request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ran {
    /// The request was provably not run.
    No,
    /// The request may have run.
    Unknown,
}

impl Ran {
    /// Value of the header field `cw-outcome`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::No => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The request is malformed.
    BadRequest(&'static str),
    /// The body is over the limit.
    TooLarge,
    /// The caller paused too long within the body.
    SlowBody,
    /// The customer is not in the list.
    UnknownCustomer,
    /// The plan does not allow the route.
    NotAllowed,
    /// No route matches.
    NoRoute,
    /// The method is not one of the route's.
    Method,
    /// The plan's rate is used up.
    RateLimit(Duration),
    /// The plan's concurrency is used up.
    Concurrency,
    /// No slot came free in time.
    Overload,
    /// The deadline has passed or can't be met.
    Deadline,
    /// No daemon or backend server of the service can be reached.
    Unavailable,
    /// The backend server broke off.
    BackendFailed,
    /// The request with the same key is still in flight.
    InProgress,
    /// The key was used for another request.
    KeyConflict,
    /// The daemon that issued the key is gone.
    KeyOwnerGone,
    /// The platform can't record the key.
    ClaimUnavailable,
    /// The daemon has no configuration or is shutting down.
    NotReady,
}

impl Reason {
    /// Value of the header field `cw-reason`.
    pub fn code(self) -> &'static str {
        match self {
            Self::BadRequest(_) => "bad-request",
            Self::TooLarge => "too-large",
            Self::SlowBody => "slow-body",
            Self::UnknownCustomer => "unknown-customer",
            Self::NotAllowed => "not-allowed",
            Self::NoRoute => "no-route",
            Self::Method => "method",
            Self::RateLimit(_) => "rate-limit",
            Self::Concurrency => "concurrency-limit",
            Self::Overload => "overload",
            Self::Deadline => "deadline",
            Self::Unavailable => "unavailable",
            Self::BackendFailed => "backend-failed",
            Self::InProgress => "in-progress",
            Self::KeyConflict => "key-conflict",
            Self::KeyOwnerGone => "key-owner-gone",
            Self::ClaimUnavailable => "claim-unavailable",
            Self::NotReady => "not-ready",
        }
    }

    /// Finds a reason by its code, for relayed refusals.
    pub fn from_code(code: &str) -> Option<Self> {
        const ALL: [Reason; 18] = [
            Reason::TooLarge,
            Reason::SlowBody,
            Reason::BadRequest(""),
            Reason::UnknownCustomer,
            Reason::NotAllowed,
            Reason::NoRoute,
            Reason::Method,
            Reason::RateLimit(Duration::from_secs(1)),
            Reason::Concurrency,
            Reason::Overload,
            Reason::Deadline,
            Reason::Unavailable,
            Reason::BackendFailed,
            Reason::InProgress,
            Reason::KeyConflict,
            Reason::KeyOwnerGone,
            Reason::ClaimUnavailable,
            Reason::NotReady,
        ];
        ALL.into_iter().find(|reason| reason.code() == code)
    }

    fn status(self) -> StatusCode {
        match self {
            Self::BadRequest(_) => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::UnknownCustomer => StatusCode::UNAUTHORIZED,
            Self::NotAllowed => StatusCode::FORBIDDEN,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Method => StatusCode::METHOD_NOT_ALLOWED,
            Self::RateLimit(_) | Self::Concurrency => StatusCode::TOO_MANY_REQUESTS,
            Self::Overload | Self::Unavailable | Self::ClaimUnavailable | Self::NotReady => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Self::BackendFailed | Self::KeyOwnerGone => StatusCode::BAD_GATEWAY,
            Self::InProgress | Self::KeyConflict => StatusCode::CONFLICT,
        }
    }
}

impl From<&BodyError> for Reason {
    fn from(error: &BodyError) -> Self {
        match error {
            BodyError::Truncated(_) => Self::BadRequest("body"),
            BodyError::TooLong(_) => Self::TooLarge,
            BodyError::Paused(_) => Self::SlowBody,
        }
    }
}

/// Refusal of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request may have run.
    pub ran: Ran,
    /// Why.
    pub reason: Reason,
}

impl Refusal {
    /// Refusal of a request that was provably not run.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            ran: Ran::No,
            reason,
        }
    }

    /// Refusal of a request that may have run.
    pub fn unknown(reason: Reason) -> Self {
        Self {
            ran: Ran::Unknown,
            reason,
        }
    }

    /// Builds the response to the caller.
    pub fn response(self) -> Response<Body> {
        let detail = match self.reason {
            Reason::BadRequest(detail) => detail,
            other => other.code(),
        };
        let text = json!({
            "outcome": self.ran.as_str(),
            "reason": self.reason.code(),
            "detail": detail,
        });
        let mut response = Response::new(full(text.to_string()));
        *response.status_mut() = self.reason.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(OUTCOME, HeaderValue::from_static(self.ran.as_str()));
        headers.insert(REASON, HeaderValue::from_static(self.reason.code()));
        match self.reason {
            Reason::RateLimit(after) => {
                headers.insert(RETRY_AFTER, HeaderValue::from(after.as_secs().max(1)));
            }
            Reason::Overload | Reason::Unavailable | Reason::ClaimUnavailable => {
                headers.insert(RETRY_AFTER, HeaderValue::from(1));
            }
            _ => {}
        }
        response
    }
}
