//! A caller's request on its way to a backend server.

use std::sync::Arc;
use std::time::Duration;

use corianderworks_decision::ids::{CustomerKey, DaemonRun, ServiceKey};
use corianderworks_wire::message::{RelayHead, RelayPurpose};
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Response};

use crate::body::Body;
use crate::headers;
use crate::refusal::Refusal;

/// Result of a job: a backend server's response or a refusal.
pub type Reply = Result<Response<Body>, Refusal>;

/// What is known of a request besides its body.
#[derive(Debug, Clone)]
pub struct JobHead {
    /// Service.
    pub service: Arc<str>,
    /// Customer.
    pub customer: Arc<str>,
    /// Route.
    pub route: Arc<str>,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: PathAndQuery,
    /// Header fields, already prepared for the next hop.
    pub headers: HeaderMap,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Priority under load, higher is served first.
    pub priority: u8,
    /// Time since the process started by which the response must begin.
    pub deadline: Duration,
    /// Idempotency key.
    pub key: Option<String>,
}

/// A caller's request on its way to a backend server.
pub struct Job {
    /// What is known of the request.
    pub head: JobHead,
    /// Its body.
    pub body: Body,
}

impl JobHead {
    /// Key of the service.
    pub fn service_key(&self) -> ServiceKey {
        ServiceKey::of(&self.service)
    }

    /// Key of the customer.
    pub fn customer_key(&self) -> CustomerKey {
        CustomerKey::of(&self.customer)
    }

    /// Time left until the deadline.
    pub fn time_left(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Builds the message that relays the job.
    pub fn to_relay(
        &self,
        request_id: u64,
        entry: DaemonRun,
        purpose: RelayPurpose,
        now: Duration,
    ) -> RelayHead {
        RelayHead {
            request_id,
            entry,
            service: self.service.to_string(),
            customer: self.customer.to_string(),
            route: self.route.to_string(),
            method: self.method.as_str().to_owned(),
            target: self.target.as_str().to_owned(),
            headers: headers::to_fields(&self.headers),
            has_body: true,
            idempotent: self.idempotent,
            priority: self.priority,
            deadline_ms: self.time_left(now).as_millis() as u32,
            key: self.key.clone(),
            purpose,
        }
    }

    /// Reads a relayed job; `None` when method or target are malformed.
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
