//! Messages that daemons send each other.

use bytes::Bytes;
use corianderworks_decision::dispatcher::{Announcement, EvidenceReport};
use corianderworks_decision::ids::{CustomerKey, DaemonKey, DaemonRun, ServiceKey, UpstreamKey};
use corianderworks_decision::membership::{Ack, Gossip, MemberMessage, Ping, PingReq};
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
    /// Asks for a page of the VM list, for a daemon that starts while the platform is down.
    Vms(u32),
    /// Asks for allowance of a customer.
    Grant(GrantAsk),
    /// Asks what became of an idempotency key.
    Key(String),
}

/// Answer to an [`Ask`] other than a relay.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// Newest manifest, absent when the daemon has none.
    Version(Option<Bytes>),
    /// Content of a chunk, absent when the daemon lacks it.
    Chunk(Option<Bytes>),
    /// Page of the VM list as JSON, absent past the last page.
    Vms(Option<Bytes>),
    /// Allowance of a customer, absent when the daemon is no limit home of it.
    Grant(Option<GrantAnswer>),
    /// State of a key.
    Key(KeyState),
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
    /// Whether a body follows; a request without one can be sent again.
    pub has_body: bool,
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

/// Largest encoded datagram in bytes, which fits the smallest path MTU of QUIC.
pub const DATAGRAM_MAX_BYTES: usize = 1_200;

/// Message in one QUIC datagram, which may be lost or reordered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// Probe of a member.
    Ping(Ping),
    /// Answer to a probe.
    Ack(Ack),
    /// Request for an indirect probe.
    PingReq(PingReq),
    /// News of members and synchronisation of member tables.
    Gossip(Gossip),
    /// Load of a home.
    LoadReport(LoadReport),
    /// Evidence of a home on the upstreams of a service.
    Evidence(Evidence),
    /// Ejection under a permit.
    Announce(Announce),
    /// Request to a permit holder to eject an upstream.
    AskEject(AskEject),
    /// An upstream said that it drains.
    Draining(Draining),
}

impl Datagram {
    /// Returns the message of the failure detector, if it is one.
    pub fn into_member(self) -> Option<MemberMessage> {
        match self {
            Self::Ping(m) => Some(MemberMessage::Ping(m)),
            Self::Ack(m) => Some(MemberMessage::Ack(m)),
            Self::PingReq(m) => Some(MemberMessage::PingReq(m)),
            Self::Gossip(m) => Some(MemberMessage::Gossip(m)),
            Self::LoadReport(_)
            | Self::Evidence(_)
            | Self::Announce(_)
            | Self::AskEject(_)
            | Self::Draining(_) => None,
        }
    }
}

impl From<MemberMessage> for Datagram {
    fn from(message: MemberMessage) -> Self {
        match message {
            MemberMessage::Ping(m) => Self::Ping(m),
            MemberMessage::Ack(m) => Self::Ack(m),
            MemberMessage::PingReq(m) => Self::PingReq(m),
            MemberMessage::Gossip(m) => Self::Gossip(m),
        }
    }
}

/// Load of a home for one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The sender.
    pub from: DaemonKey,
    /// Service.
    pub service: ServiceKey,
    /// Free slots of the sender.
    pub free_slots: u16,
    /// Requests queued at the sender.
    pub queued: u16,
}

/// Evidence of a home on the upstreams of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Service.
    pub service: ServiceKey,
    /// Evidence.
    pub report: EvidenceReport,
}

/// Ejection under a permit, renewed by its holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announce {
    /// Service.
    pub service: ServiceKey,
    /// Use of the permit.
    pub announcement: Announcement,
}

/// Request to a permit holder to eject an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AskEject {
    /// The sender.
    pub from: DaemonKey,
    /// Service.
    pub service: ServiceKey,
    /// Upstream.
    pub upstream: UpstreamKey,
}

/// An upstream said that it drains.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Draining {
    /// Service.
    pub service: ServiceKey,
    /// Upstream.
    pub upstream: UpstreamKey,
}
