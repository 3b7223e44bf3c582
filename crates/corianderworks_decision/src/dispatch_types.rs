//! Inputs, outputs and settings of a service's dispatcher, and the messages between its homes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{CustomerKey, DaemonKey, DaemonRun, UpstreamKey};

/// Identifier of one request at this dispatcher, chosen by the daemon and never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Number of an ejection permit of a service, counted from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PermitNumber(pub u32);

/// An acquired slot of an upstream, released by `finish`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Lease {
    /// Upstream that runs the request.
    pub upstream: UpstreamKey,
    /// Number of the lease, counted from 1 and never reused by this dispatcher.
    pub number: u64,
}

/// Which of the two ejection metrics of section 1.2 the deployment prioritises.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Prefer {
    /// Short detection time, at the cost of more false ejections.
    #[default]
    Detection,
    /// Few false ejections, at the cost of a longer detection time.
    Stability,
}

/// Scheduling and ejection settings of one service at a home.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatchConfig {
    /// Share of the configured upstreams that ejection must leave in use, in percent.
    pub floor_percent: u32,
    /// Preference that selects the weights and thresholds of the health evidence.
    pub prefer: Prefer,
    /// Maximum number of queued requests per slot of this home.
    pub queue_per_slot: u32,
    /// Budget for retries and hedged requests together, in percent of recent requests.
    pub retry_percent: u32,
    /// Whether idempotent requests may be hedged.
    pub hedge: bool,
    /// Time over which the share of a new, cold or restored server rises to its full value.
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

/// Life-cycle state of an upstream according to the VM list and drain signals.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamState {
    /// Accepts requests and counts as capacity.
    Live,
    /// Draining: receives no new requests.
    Leaving,
    /// Starting: accepts requests but does not count as capacity yet.
    Cold,
    /// No longer in the VM list.
    Gone,
}

/// An upstream of the service as seen by this home.
///
/// All upstreams of the service are passed, so that every permit holder computes the same floor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamView {
    /// Key derived from the service, name and address.
    pub upstream: UpstreamKey,
    /// This home's share of the slots; `None` when it is no owner, 0 when it only observes.
    pub slots_share: Option<u32>,
    /// All slots of the upstream; 0 when unknown.
    pub total_slots: u32,
    /// Failure domain that the upstream runs in.
    pub domain: String,
    /// Life-cycle state; permits become unusable while upstreams are not `Live`.
    pub state: UpstreamState,
    /// The other daemon that owns slots of this upstream, if any.
    pub co_owner: Option<DaemonKey>,
}

/// A request to be scheduled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestView {
    /// Identifies the request in `Action`s and in `cancel`.
    pub ticket: Ticket,
    /// Customer that the request counts toward in the round robin of the queue.
    pub customer: CustomerKey,
    /// Plan priority; higher is served first.
    pub priority: u8,
    /// Monotonic time at which the caller stops waiting.
    pub deadline: Duration,
    /// True when the request may run more than once and can be sent again.
    pub idempotent: bool,
    /// Upstreams that this request was already sent to; empty on the first attempt.
    pub tried: Vec<UpstreamKey>,
}

/// Result of `Schedule::admit`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Send the request now.
    Run(Lease),
    /// The request is queued until `Action::Start` or `Action::Refuse` names its ticket.
    Wait,
    /// Refuse the request; it was not run.
    Refuse(Reason),
}

/// Why a request was refused without being run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The queue is full of requests with the same or a higher priority.
    QueueFull,
    /// Evicted from the queue by a request with a higher priority or of a customer with fewer
    /// queued requests.
    Shed,
    /// The request can no longer complete before its deadline.
    Late,
    /// No upstream with slots at this home accepts requests.
    NoUpstream,
}

/// How a request that was sent to an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response that is not a failure.
    Success {
        /// Time since the request was sent.
        latency: Duration,
    },
    /// A complete response with an error status; statuses below 500 do not count as failures.
    Error {
        /// HTTP status code.
        status: u16,
        /// Time since the request was sent.
        latency: Duration,
    },
    /// The response did not arrive within the request's time limit.
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
    /// A complete response that carries a drain signal.
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

/// Result of `Schedule::may_retry`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retry {
    /// Admit the request again with the upstream added to `tried`.
    Retry,
    /// Return the failure to the caller.
    GiveUp,
}

/// Phase of an ejection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The upstream receives no requests.
    Out,
    /// The owners send trial requests, one at a time each.
    Trial,
}

/// Current use of one permit, sent by its holder to all homes at least every second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Permit that this announcement is about; a holder announces each of its permits.
    pub permit: PermitNumber,
    /// Increases with each announcement of this holder, so that late ones can be ignored.
    pub sequence: u64,
    /// The ejected upstream; `None` while the permit is unused.
    pub upstream: Option<UpstreamKey>,
    /// Phase of the ejection; `Out` while the permit is unused.
    pub phase: Phase,
    /// True when the permit can be used now.
    pub free: bool,
    /// Daemon run that holds the permit.
    pub holder: DaemonRun,
    /// Latest stamp that the holder received from each home.
    ///
    /// A home counts the TTL from its own stamp, so a delayed announcement never takes effect for
    /// longer than the TTL after it was sent.
    pub echoes: Vec<(DaemonRun, Duration)>,
}

/// Recent health evidence of one owner on one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEvidence {
    /// Upstream that the sender has slots of.
    pub upstream: UpstreamKey,
    /// Evidence of failure, in thousandths of the ejection threshold.
    pub score_milli: u32,
    /// Further evidence that a single unresponsive connection could explain, in the same unit.
    pub held_back_milli: u32,
    /// Number of failed requests that the evidence is based on.
    pub failures: u32,
    /// Number of requests overdue for long enough to count as stuck.
    pub stuck: u32,
    /// Age of the first failure of the evidence in milliseconds, `None` without evidence.
    pub failing_for_ms: Option<u32>,
    /// Age of the last complete response in time in milliseconds, `None` before the first.
    pub success_age_ms: Option<u32>,
    /// Age in milliseconds of the last response that took more than half of the slow threshold
    /// (`UpstreamHealth::slow_threshold`) or of the last evidence of an overdue request, `None`
    /// before the first.
    pub slow_age_ms: Option<u32>,
    /// True when the score is high or was high in the last seconds.
    pub elevated: bool,
    /// Successful trial requests in the current phase.
    pub trials_passed: u32,
    /// True when a trial request failed in the current phase.
    pub trial_failed: bool,
}

/// Health report that a home sends to the other homes of the service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// Daemon run that sent the report.
    pub from: DaemonRun,
    /// Monotonic time of the sender, echoed in announcements.
    pub stamp: Duration,
    /// Evidence on upstreams of the sender; a complete report covers all that it has slots of.
    pub upstreams: Vec<UpstreamEvidence>,
}

/// Kind of failure that an upstream was suspected or ejected for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Evidence {
    /// Server errors, refused requests or failed connections.
    Errors,
    /// Requests without a response.
    Stalls,
    /// Responses much slower than those of the service's other upstreams.
    Slowness,
    /// Incomplete responses.
    Truncation,
    /// The ejection was announced by another permit holder.
    Announced,
}

/// What the daemon must do next.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a queued request.
    Start {
        /// Queued request to send.
        ticket: Ticket,
        /// Slot to release with `finish`.
        lease: Lease,
    },
    /// Refuse a queued request with "not run".
    Refuse {
        /// Queued request to refuse.
        ticket: Ticket,
        /// Reason returned to the caller.
        reason: Reason,
    },
    /// Cancel a stuck idempotent request, then call `finish` with `Stalled`; `may_retry` then
    /// permits a retry unless another request took the last one.
    Abandon {
        /// Running request to cancel.
        ticket: Ticket,
        /// Slot to release with `finish`.
        lease: Lease,
    },
    /// Send the announcement to all homes of the service.
    Announce(Announcement),
    /// Ask a permit holder to eject an upstream.
    AskEject {
        /// Holder of a free permit; `None` asks all homes.
        holder: Option<DaemonKey>,
        /// Upstream to eject.
        upstream: UpstreamKey,
    },
    /// Send no further requests on connections opened at or before this time.
    RetireConnections {
        /// Upstream whose connections are retired.
        upstream: UpstreamKey,
        /// Opening time of the newest connection to retire, in monotonic time.
        opened_until: Duration,
    },
    /// Open a new connection and request the health endpoint; reported with `probe_result`.
    Probe {
        /// Upstream to probe.
        upstream: UpstreamKey,
    },
    /// The upstream stopped receiving regular requests from this home.
    Ejected {
        /// Upstream that was ejected.
        upstream: UpstreamKey,
        /// Kind of failure; `Announced` when this home has no evidence of its own.
        evidence: Evidence,
    },
    /// The upstream receives regular requests again.
    Restored {
        /// Upstream that was restored.
        upstream: UpstreamKey,
    },
}

/// Whether, and how, an upstream receives requests from this home.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// Receives requests.
    InUse,
    /// Unhealthy but not ejected, while no permit is available; receives requests only when no
    /// other upstream can run them soon.
    RankedLast,
    /// Fails only on the path from this home, so its traffic is left to the other owner.
    PathFault,
    /// Ejected, receives only trial requests.
    Trial,
    /// Ejected, receives no requests.
    Ejected,
    /// Draining or no longer listed; receives no new requests.
    Leaving,
}

/// State of an upstream as reported by `Schedule::explain`.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct UpstreamReport {
    /// Upstream that this report describes.
    pub upstream: UpstreamKey,
    /// Failure domain that the upstream runs in.
    pub domain: String,
    /// Whether the upstream currently receives requests.
    pub standing: Standing,
    /// Monotonic time at which the standing last changed.
    pub since: Duration,
    /// Kind of failure, while the upstream is suspected or ejected.
    pub evidence: Option<Evidence>,
    /// Permit under which the upstream is ejected, and its holder.
    pub permit: Option<(PermitNumber, DaemonRun)>,
    /// Evidence score in thousandths of the ejection threshold.
    pub score_milli: u32,
    /// Requests in flight from this home.
    pub in_flight: u32,
    /// Maximum number of requests in flight from this home.
    pub share: u32,
}

/// Load of a service at this home.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct Load {
    /// Free slots of upstreams in use.
    pub free_slots: u32,
    /// Requests in the queue, of all priorities.
    pub queued: u32,
}

/// Request scheduler of one service, driven by its daemon or by an experiment.
pub trait Schedule {
    /// Replaces the set of the service's upstreams; upstreams absent from `views` are removed.
    fn set_upstreams(&mut self, now: Duration, views: &[UpstreamView]) -> Vec<Action>;
    /// Starts, queues or refuses a new request or a retry.
    fn admit(&mut self, now: Duration, request: RequestView) -> Admission;
    /// Removes a queued request; a running one ends with `finish` instead.
    fn cancel(&mut self, now: Duration, ticket: Ticket);
    /// Releases a slot and records how the request ended.
    fn finish(&mut self, now: Duration, lease: Lease, outcome: Outcome) -> Vec<Action>;
    /// Performs time-based work such as refusing late requests; called about every 50 ms.
    fn tick(&mut self, now: Duration) -> Vec<Action>;
    /// Decides whether a failed request is sent again, and charges a retry to the retry budget.
    fn may_retry(&mut self, now: Duration, request: &RequestView, outcome: Outcome) -> Retry;
    /// Returns the number of free slots and the queue length.
    fn load(&self, now: Duration) -> Load;
    /// Reports the state of every upstream.
    fn explain(&self, now: Duration) -> Vec<UpstreamReport>;
}
