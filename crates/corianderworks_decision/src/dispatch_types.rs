//! Events, views and actions that the dispatcher of a service exchanges with its daemon.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{CustomerKey, DaemonKey, DaemonRun, UpstreamKey};

/// Number of one request at this dispatcher, chosen by the daemon and never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Number of an ejection permit of a service, counted from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PermitNumber(pub u32);

/// One occupied slot of an upstream; `finish` gives it back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Lease {
    /// The upstream that runs the request.
    pub upstream: UpstreamKey,
    /// Number of the lease, unique in this dispatcher.
    pub slot: u64,
}

/// Which of the two metrics of section 1.2 the deployment weights higher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Prefer {
    /// Short detection time.
    #[default]
    Detection,
    /// Few false ejections.
    Stability,
}

/// Settings of one service at a home.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatchConfig {
    /// Share of the configured upstreams that ejection must leave, in percent.
    pub floor_percent: u32,
    /// Weights of the health evidence.
    pub prefer: Prefer,
    /// Queued requests per owned slot.
    pub queue_per_slot: u32,
    /// Retries and hedges, in percent of recent requests.
    pub retry_percent: u32,
    /// Allows hedged requests.
    pub hedge: bool,
    /// Time over which a cold server's share rises to its full value.
    pub slow_start: Duration,
}

impl Default for DispatchConfig {
    fn default() -> Self {
        Self {
            floor_percent: 70,
            prefer: Prefer::Detection,
            queue_per_slot: 2,
            retry_percent: 10,
            hedge: true,
            slow_start: Duration::from_secs(5),
        }
    }
}

/// Life-cycle state of an upstream as the VM list and drain signals show it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamState {
    /// Takes requests.
    Live,
    /// Drains: no new requests.
    Leaving,
    /// Starts and does not count as capacity yet.
    Cold,
    /// No longer listed.
    Gone,
}

/// An upstream of the service as this home sees it.
///
/// The whole service is passed, so that every holder computes the same floor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamView {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// This home's share of the slots; `None` when it is no owner, 0 when it only observes.
    pub slots_share: Option<u32>,
    /// All slots of the upstream; 0 when unknown.
    pub total_slots: u32,
    /// Failure domain.
    pub domain: String,
    /// Life-cycle state.
    pub state: UpstreamState,
    /// The other owner.
    pub co_owner: Option<DaemonKey>,
}

/// A request that waits for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestView {
    /// Its number.
    pub ticket: Ticket,
    /// The customer, for fairness.
    pub customer: CustomerKey,
    /// Plan priority; higher is served first.
    pub priority: u8,
    /// Point in monotonic time at which the caller stops waiting.
    pub deadline: Duration,
    /// True when the request may run twice.
    pub idempotent: bool,
    /// Upstreams that this request was already sent to.
    pub tried: Vec<UpstreamKey>,
}

/// Answer to a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admit {
    /// Send it now.
    Run(Lease),
    /// Keep it until `Action::Start` or `Action::Refuse` names its ticket.
    Wait,
    /// Refuse it; it was not run.
    Refuse(Reason),
}

/// Why a request was refused without being run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The queue is full of requests with the same or a higher priority.
    QueueFull,
    /// A request with a higher priority, or of a customer with less queued, took its place.
    Shed,
    /// The deadline cannot be met any more.
    Late,
    /// No upstream of this home takes requests.
    NoUpstream,
}

/// How a request at an upstream ended, with the time since it was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response that is no failure.
    Success {
        /// Time since the request was sent.
        latency: Duration,
    },
    /// A complete response with a status of a server fault.
    Error {
        /// Status of the response.
        status: u16,
        /// Time since the request was sent.
        latency: Duration,
    },
    /// No response within the request's time.
    Stalled {
        /// Time since the request was sent.
        latency: Duration,
    },
    /// The response ended before it was complete.
    Truncated {
        /// Time since the request was sent.
        latency: Duration,
    },
    /// No connection could be opened; the request was not run.
    ConnectFailed,
    /// The server refused the request before running it.
    NotRun {
        /// Time since the request was sent.
        latency: Duration,
    },
    /// A complete response from a server that announces that it drains.
    Drained {
        /// Time since the request was sent.
        latency: Duration,
    },
    /// The caller or a faster hedge cancelled the request.
    Cancelled {
        /// Time since the request was sent.
        latency: Duration,
    },
}

/// Whether a failed request is sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retry {
    /// Admit it again with the upstream added to `tried`.
    Retry,
    /// Return the failure.
    GiveUp,
}

/// Phase of an ejection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The upstream receives nothing.
    Out,
    /// Owners send single trial requests.
    Trial,
}

/// The use of one permit, sent by its holder to all homes at least every second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The permit.
    pub permit: PermitNumber,
    /// Increases with each announcement of this holder.
    pub sequence: u64,
    /// The ejected upstream; `None` while the permit is unused.
    pub upstream: Option<UpstreamKey>,
    /// Phase of the ejection.
    pub phase: Phase,
    /// True when the permit can be used now.
    pub free: bool,
    /// The holder.
    pub holder: DaemonRun,
    /// Newest stamp that the holder received from each home.
    ///
    /// A home counts the TTL from its own stamp, so a delayed announcement is never honoured
    /// for longer than the TTL after it was sent.
    pub echoes: Vec<(DaemonRun, Duration)>,
}

/// One owner's recent evidence on one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEvidence {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Evidence of failure, in thousandths of the ejection threshold.
    pub score_milli: u32,
    /// Further evidence that a single silent connection could explain, in the same unit.
    pub held_back_milli: u32,
    /// Requests behind the evidence.
    pub failures: u32,
    /// Those that are stuck for long.
    pub stuck: u32,
    /// Age of the evidence's first failure.
    pub failing_for_ms: Option<u32>,
    /// Age of the last complete, timely response.
    pub success_age_ms: Option<u32>,
    /// Age of the last response or sign that was not clearly fast.
    pub slow_age_ms: Option<u32>,
    /// True when the score is high or was a moment ago.
    pub elevated: bool,
    /// Successful trial requests since the trial began.
    pub trials_passed: u32,
    /// True when a trial request failed.
    pub trial_failed: bool,
}

/// What a home sends to the other homes of the service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// The sender.
    pub from: DaemonRun,
    /// The sender's monotonic time, returned in announcements.
    pub stamp: Duration,
    /// Evidence on the sender's upstreams.
    pub upstreams: Vec<UpstreamEvidence>,
}

/// Kind of evidence behind a verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Evidence {
    /// Responses with a server fault, or failed connections.
    Errors,
    /// Requests without a response.
    Stalls,
    /// Responses much slower than those of the siblings.
    Slowness,
    /// Incomplete responses.
    Truncation,
    /// Another holder announced the ejection.
    Announced,
}

/// What the daemon does next.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a queued request.
    Start {
        /// The request.
        ticket: Ticket,
        /// Its slot.
        lease: Lease,
    },
    /// Refuse a queued request with "not run".
    Refuse {
        /// The request.
        ticket: Ticket,
        /// The reason.
        reason: Reason,
    },
    /// Cancel an idempotent request that is stuck, then call `finish` with `Stalled`.
    Abandon {
        /// The request.
        ticket: Ticket,
        /// Its slot.
        lease: Lease,
    },
    /// Send to all homes of the service.
    Announce(Announcement),
    /// Ask a permit holder, or all homes, to eject an upstream.
    AskEject {
        /// The holder of a free permit, if one is known.
        holder: Option<DaemonKey>,
        /// The upstream.
        upstream: UpstreamKey,
    },
    /// Send nothing more on connections opened at or before this time.
    RetireConnections {
        /// The upstream.
        upstream: UpstreamKey,
        /// Newest connection to retire, in monotonic time.
        opened_until: Duration,
    },
    /// Open a new connection and request the health endpoint.
    Probe {
        /// The upstream.
        upstream: UpstreamKey,
    },
    /// The upstream stopped receiving requests from this home.
    Ejected {
        /// The upstream.
        upstream: UpstreamKey,
        /// The evidence.
        evidence: Evidence,
    },
    /// The upstream receives requests again.
    Restored {
        /// The upstream.
        upstream: UpstreamKey,
    },
}

/// Standing of an upstream at this home.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// Receives requests.
    InUse,
    /// Receives requests only when no other upstream can.
    RankedLast,
    /// Fails only from here; traffic moves to the other owner.
    PathFault,
    /// Receives trial requests.
    Trial,
    /// Receives nothing.
    Ejected,
    /// Leaves or is gone.
    Leaving,
}

/// Why an upstream is out, since when and on what evidence.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct UpstreamReport {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Its failure domain.
    pub domain: String,
    /// Its standing.
    pub standing: Standing,
    /// Start of the standing, in monotonic time.
    pub since: Duration,
    /// The evidence, when it is out or ranked last.
    pub evidence: Option<Evidence>,
    /// The permit in use and its holder.
    pub permit: Option<(PermitNumber, DaemonRun)>,
    /// Score in thousandths of the ejection threshold.
    pub score_milli: u32,
    /// Requests in flight from this home.
    pub in_flight: u32,
    /// Requests that this home may have in flight.
    pub share: u32,
}

/// Free slots and queue length of this home.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct Load {
    /// Slots that a request can take now.
    pub free_slots: u32,
    /// Requests in the queue.
    pub queued: u32,
}

/// A scheduler of one service, driven by its daemon or by an experiment.
pub trait Schedule {
    /// Replaces the view of the service's upstreams.
    fn set_upstreams(&mut self, now: Duration, views: &[UpstreamView]) -> Vec<Action>;
    /// Places a request that arrives.
    fn admit(&mut self, now: Duration, request: RequestView) -> Admit;
    /// Removes a queued request.
    fn cancel(&mut self, now: Duration, ticket: Ticket);
    /// Gives back a slot and records how the request ended.
    fn finish(&mut self, now: Duration, lease: Lease, outcome: Outcome) -> Vec<Action>;
    /// Does what is due; called about every 50 ms.
    fn tick(&mut self, now: Duration) -> Vec<Action>;
    /// Decides whether a failed request is sent again.
    fn may_retry(&mut self, now: Duration, request: &RequestView, outcome: Outcome) -> Retry;
    /// Free slots and queue length.
    fn load(&self, now: Duration) -> Load;
    /// Standing of every upstream.
    fn explain(&self, now: Duration) -> Vec<UpstreamReport>;
}
