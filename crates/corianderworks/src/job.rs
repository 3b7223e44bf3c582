//! Caller's request in the form in which daemons queue, relay and dispatch it.

use std::sync::Arc;
use std::time::Duration;

use corianderworks_decision::ids::{CustomerKey, DaemonRun, ServiceKey};
use corianderworks_wire::message::{RelayHead, RelayPurpose};
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Response};
use http_body::Body as HttpBody;

use crate::body::Body;
use crate::headers;
use crate::refusal::Refusal;

/// Result of a job: response of a backend server, or refusal by a daemon.
pub type Reply = Result<Response<Body>, Refusal>;

/// Head of a request, with the service and limits that its route and plan determine.
#[derive(Debug, Clone)]
pub struct JobHead {
    /// Name of the service to which the request is routed.
    pub service: Arc<str>,
    /// Name of the customer, as given in `cw-customer`.
    pub customer: Arc<str>,
    /// Name of the matching route within the service.
    pub route: Arc<str>,
    /// HTTP method, which the route accepts.
    pub method: Method,
    /// Path and query as the caller sent them, still percent-encoded.
    pub target: PathAndQuery,
    /// Header fields, prepared for the next hop by [`headers::prepare_request`].
    pub headers: HeaderMap,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Priority under overload; higher values are served first.
    pub priority: u8,
    /// Time since the daemon process started by which the response must begin.
    pub deadline: Duration,
    /// Idempotency key, `None` when the caller sent none.
    pub key: Option<String>,
}

/// Request to be run by one backend server.
pub struct Job {
    /// Head, which can be copied for another attempt.
    pub head: JobHead,
    /// Body, which is streamed and can be sent once only.
    pub body: Body,
}

impl Job {
    /// Builds the message that relays the job, with the time that remains at `now`.
    pub fn to_relay(
        &self,
        request_id: u64,
        entry: DaemonRun,
        purpose: RelayPurpose,
        now: Duration,
    ) -> RelayHead {
        let head = &self.head;
        RelayHead {
            request_id,
            entry,
            service: head.service.to_string(),
            customer: head.customer.to_string(),
            route: head.route.to_string(),
            method: head.method.as_str().to_owned(),
            target: head.target.as_str().to_owned(),
            headers: headers::to_fields(&head.headers),
            idempotent: head.idempotent,
            priority: head.priority,
            deadline_ms: head.time_left(now).as_millis() as u32,
            has_body: !self.body.is_end_stream(),
            key: head.key.clone(),
            purpose,
        }
    }
}

impl JobHead {
    /// Key by which homes and placements of the service are looked up.
    pub fn service_key(&self) -> ServiceKey {
        ServiceKey::of(&self.service)
    }

    /// Key by which limits of the customer are looked up.
    pub fn customer_key(&self) -> CustomerKey {
        CustomerKey::of(&self.customer)
    }

    /// Time from `now` until the deadline, zero once it has passed.
    pub fn time_left(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Converts the head of a relayed request, `None` when method or target are malformed.
    ///
    /// The deadline is set from the remaining time, since the clocks of daemons differ.
    pub fn from_relay(head: RelayHead, now: Duration) -> Option<Self> {
        Some(Self {
            service: head.service.into(),
            customer: head.customer.into(),
            route: head.route.into(),
            method: head.method.parse().ok()?,
            target: head.target.parse().ok()?,
            headers: headers::from_fields(head.headers),
            idempotent: head.idempotent,
            priority: head.priority,
            deadline: now + Duration::from_millis(u64::from(head.deadline_ms)),
            key: head.key,
        })
    }
}
