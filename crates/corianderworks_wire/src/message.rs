//! Messages that daemons send each other.

use bytes::Bytes;
use corianderworks_decision::ids::{CustomerKey, DaemonRun, ServiceKey, UpstreamKey};
use serde::{Deserialize, Serialize};

/// First message on a bidirectional stream: what the sender wants.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    /// Relays a request to a home of its service.
    Relay(RelayHead),
    /// Asks for the newest configuration manifest.
    Version,
    /// Asks for one chunk by the hash of its content.
    Chunk([u8; 32]),
    /// Asks for allowance of a customer.
    Grant(GrantAsk),
    /// Asks what became of an idempotency key.
    Key(String),
    /// Asks a permit holder to eject an upstream.
    Eject(EjectAsk),
}

/// Answer to an [`Ask`] other than a relay.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// Newest manifest, absent when the daemon has none.
    Version(Option<Bytes>),
    /// Content of a chunk, absent when the daemon lacks it.
    Chunk(Option<Bytes>),
    /// Allowance of a customer.
    Grant(GrantAnswer),
    /// State of a key.
    Key(KeyState),
    /// Whether the ejection was made.
    Eject(bool),
}

/// Head of a relayed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayHead {
    /// Number of the request at the entry, to match the answer.
    pub request_id: u64,
    /// Entry that relays.
    pub entry: DaemonRun,
    /// Name of the service.
    pub service: String,
    /// Name of the customer.
    pub customer: String,
    /// Name of the route.
    pub route: String,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Header fields after the entry's rules.
    pub headers: Vec<(String, Bytes)>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Priority under load, higher is served first.
    pub priority: u8,
    /// Time left for the request, in milliseconds.
    pub deadline_ms: u32,
    /// Idempotency key, if the caller sent one.
    pub key: Option<String>,
    /// Why the request is relayed.
    pub purpose: RelayPurpose,
}

/// Why a request is relayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayPurpose {
    /// The receiver is a home of the service and dispatches to its own upstreams.
    Dispatch,
    /// The receiver minted the key and alone decides on the request.
    KeyOwner,
}

/// Frame of a relayed body, in either direction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayFrame {
    /// Head of the answer.
    Answer(RelayAnswer),
    /// Part of a body.
    Body(Bytes),
    /// Trailer fields.
    Trailers(Vec<(String, Bytes)>),
    /// The body is whole.
    End,
    /// The body is cut off.
    Abort(String),
}

/// Head of a relayed answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayAnswer {
    /// Number of the request at the entry.
    pub request_id: u64,
    /// HTTP status.
    pub status: u16,
    /// Header fields.
    pub headers: Vec<(String, Bytes)>,
    /// Free slots of the home for the service, so that the entry needs no other report.
    pub free_slots: u16,
    /// Requests that wait at the home for the service.
    pub queued: u16,
}

/// Request for allowance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantAsk {
    /// Customer.
    pub customer: CustomerKey,
    /// Requests admitted on credit since the last ask.
    pub credit: u32,
    /// Requests wanted for the next period.
    pub wanted: u32,
}

/// Allowance of a customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantAnswer {
    /// Requests allowed.
    pub allowed: u32,
    /// Lifetime of the allowance in milliseconds.
    pub lifetime_ms: u32,
    /// Time until a new ask makes sense, in milliseconds.
    pub retry_after_ms: u32,
}

/// What became of an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyState {
    /// The request was not handed to a backend server and never will be.
    NotRun,
    /// The request is with a backend server.
    Running,
    /// The request ran and was answered with this status.
    Done(u16),
    /// The request may have run.
    Unknown,
}

/// Request to a permit holder to eject an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EjectAsk {
    /// Service.
    pub service: ServiceKey,
    /// Upstream.
    pub upstream: UpstreamKey,
}
