//! Messages that daemons exchange over QUIC streams and datagrams.
//!
//! A caller's request arrives at its entry daemon. The homes of a service are the daemons that
//! dispatch its requests to the upstreams.

use bytes::Bytes;
use corianderworks_decision::dispatcher::{Announcement, EvidenceReport};
use corianderworks_decision::ids::{CustomerKey, DaemonKey, DaemonRun, ServiceKey, UpstreamKey};
use corianderworks_decision::membership::{Ack, Gossip, MemberMessage, Ping, PingReq};
use serde::{Deserialize, Serialize};

/// First message on a bidirectional stream, sent by the daemon that opened it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Relays a caller's request to another daemon; relay frames follow.
    Relay(RelayHead),
    /// Requests the newest manifest of the configuration.
    Version,
    /// Requests one chunk of the configuration by the hash of its content.
    Chunk([u8; 32]),
    /// Requests a page of the VM list, for a daemon that starts while the platform is down.
    Vms(u32),
    /// Requests an allowance: a number of requests that the entry may admit for a customer.
    Grant(GrantAsk),
    /// Requests the state of an idempotency key.
    Key(String),
}

/// Response to a [`PeerRequest`] other than a relay.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// Newest manifest; `None` if the daemon has no configuration.
    Version(Option<Bytes>),
    /// Content of the chunk; `None` if the daemon does not have it.
    Chunk(Option<Bytes>),
    /// Page of the VM list as JSON; `None` after the last page.
    Vms(Option<Bytes>),
    /// Allowance of the customer; `None` if the daemon does not manage this customer's limits.
    Grant(Option<GrantAnswer>),
    /// State of the idempotency key.
    Key(KeyState),
}

/// Head of a relayed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayHead {
    /// Number that the entry gave the request, repeated in the response.
    pub request_id: u64,
    /// Daemon that accepted the request from the caller and relays it.
    pub entry: DaemonRun,
    /// Name of the service that the route selected.
    pub service: String,
    /// Name of the customer whose limits apply to the request.
    pub customer: String,
    /// Name of the route that matched the request.
    pub route: String,
    /// HTTP method of the caller's request.
    pub method: String,
    /// Path and query of the request target.
    pub target: String,
    /// Header fields, already rewritten by the entry.
    pub headers: Vec<(String, Bytes)>,
    /// Whether a body follows. A request without one can be sent again.
    pub has_body: bool,
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// Priority under load; higher values are served first.
    pub priority: u8,
    /// Remaining time until the request's deadline, in milliseconds.
    pub deadline_ms: u32,
    /// Idempotency key, if the caller sent one.
    pub key: Option<String>,
    /// Role of the receiver for this request.
    pub purpose: RelayPurpose,
}

/// Reason for relaying a request, which determines what the receiver does with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayPurpose {
    /// The receiver is a home of the service and dispatches the request to its own upstreams.
    Dispatch,
    /// The receiver issued the idempotency key and is the only daemon that decides on the
    /// request.
    KeyOwner,
}

/// Frame of a relayed request after its [`RelayHead`], or of the response to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayFrame {
    /// Head of the response; the first frame towards the entry.
    Answer(RelayAnswer),
    /// Part of a body, at most [`BODY_FRAME_MAX_BYTES`](crate::codec::BODY_FRAME_MAX_BYTES)
    /// long.
    Body(Bytes),
    /// Trailer fields, followed by [`End`](Self::End).
    Trailers(Vec<(String, Bytes)>),
    /// End of a complete body.
    End,
    /// The sender aborted the body, for the given reason.
    Abort(String),
}

/// Head of the response to a relayed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayAnswer {
    /// Number from the [`RelayHead`] of the request.
    pub request_id: u64,
    /// HTTP status code.
    pub status: u16,
    /// Header fields of the response.
    pub headers: Vec<(String, Bytes)>,
    /// Free slots of the responding home for the service, so that the entry needs no separate
    /// load report.
    pub free_slots: u16,
    /// Requests queued at the responding home for the service.
    pub queued: u16,
}

/// Request for an allowance of a customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantAsk {
    /// Customer for whose requests the allowance is.
    pub customer: CustomerKey,
    /// Requests admitted on credit, that is without an allowance, since the previous message.
    /// The home deducts them.
    pub credit: u32,
    /// Requests that the allowance should cover in the next period.
    pub wanted: u32,
}

/// Allowance granted for a customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantAnswer {
    /// Number of requests that the entry may admit.
    pub allowed: u32,
    /// Time until the unused rest of the allowance expires, in milliseconds.
    pub lifetime_ms: u32,
    /// Time to wait before another request for an allowance is useful, in milliseconds.
    pub retry_after_ms: u32,
}

/// State of the request with an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyState {
    /// The request was not sent to a backend server and never will be.
    NotRun,
    /// The request is being processed.
    Running,
    /// The request was executed; the backend server responded with this status.
    Done(u16),
    /// The request may or may not have been executed.
    Unknown,
}

/// Maximum size of an encoded datagram in bytes, which fits the minimum path MTU of QUIC.
pub const DATAGRAM_MAX_BYTES: usize = 1_200;

/// Message in one QUIC datagram. Datagrams may be lost or reordered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// Direct probe of a member.
    Ping(Ping),
    /// Acknowledgement of a probe.
    Ack(Ack),
    /// Request to probe a third member on behalf of the sender.
    PingReq(PingReq),
    /// Membership updates, and synchronisation of member tables.
    Gossip(Gossip),
    /// Free slots and queue length of a home.
    LoadReport(LoadReport),
    /// Health evidence that a home collected about the upstreams of a service.
    Evidence(Evidence),
    /// State of an ejection permit.
    Announce(Announce),
    /// Request to the holder of an ejection permit to eject an upstream.
    AskEject(AskEject),
    /// An upstream announced that it is draining.
    Draining(Draining),
}

impl Datagram {
    /// Converts into a message of the failure detector; `None` for all other messages.
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

/// Load of a home for one service, for entries that choose between homes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Home that sends the report.
    pub from: DaemonKey,
    /// Service that the figures are about.
    pub service: ServiceKey,
    /// Free slots of the sender for this service.
    pub free_slots: u16,
    /// Requests queued at the sender for this service.
    pub queued: u16,
}

/// Health evidence that a home collected about the upstreams of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Service to which the upstreams belong.
    pub service: ServiceKey,
    /// Evidence for each reported upstream.
    pub report: EvidenceReport,
}

/// State of an ejection permit, announced and renewed by its holder. A permit allows its holder
/// to eject one upstream at a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announce {
    /// Service for which the permit is valid.
    pub service: ServiceKey,
    /// Permit, its holder and the upstream ejected under it, if any.
    pub announcement: Announcement,
}

/// Request to the holder of an ejection permit to eject an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AskEject {
    /// Home that requests the ejection.
    pub from: DaemonKey,
    /// Service to which the upstream belongs.
    pub service: ServiceKey,
    /// Upstream to eject.
    pub upstream: UpstreamKey,
}

/// Notice that an upstream announced that it is draining.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Draining {
    /// Service to which the upstream belongs.
    pub service: ServiceKey,
    /// Upstream that receives no new requests from now on.
    pub upstream: UpstreamKey,
}
