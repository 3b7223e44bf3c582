//! Slow callers: the share of the VM that connections may take, minimum progress, and which
//! connection is closed first.
//!
//! Without pressure only a caller that makes no progress for the idle timeout is closed. Under
//! pressure, that is, when more than the soft limit of memory or descriptors is taken, the
//! connections are compared by their progress in the last [`INTERVAL`].

use std::cmp::Ordering;
use std::time::Duration;

use super::routes::CallerLimits;

/// Interval over which the progress of a connection is measured.
pub const INTERVAL: Duration = Duration::from_millis(1_000);
/// Smallest progress in an [`INTERVAL`] with which a connection isn't closed for another one, in
/// bytes. 1 KB/s is a thousandth of the link of the smallest VM.
pub const PROGRESS_MIN_BYTES: u64 = 1_024;
/// Part of the held memory that a connection has to move in an [`INTERVAL`] so that it isn't closed
/// for another one. The largest body, of 64 MB, takes 51 s on the link of the smallest VM and may
/// take 128 s.
const PROGRESS_MIN_DIVISOR: u64 = 128;

/// Descriptors that are kept for files, the store, the other daemons, readiness and metrics.
const RESERVED_DESCRIPTORS: usize = 200;
/// Parts of 8 of the VM's memory that all connections may take together. The rest is for the
/// process without callers, the state of the fleet and the overhead of the allocator.
const MEMORY_SHARE_EIGHTHS: usize = 5;

/// Limits on what all connections of a VM take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VmLimits {
    /// All memory that is accounted for, in bytes.
    pub memory_bytes: usize,
    /// Bodies of requests, in bytes.
    pub request_body_bytes: usize,
    /// Bodies of responses that are held until they are written, in bytes.
    pub response_body_bytes: usize,
    /// Heads, buffers and the state of connections and requests, in bytes.
    pub connection_bytes: usize,
    /// Connections of callers.
    pub caller_descriptors: usize,
    /// Connections to backend servers.
    pub server_descriptors: usize,
}

impl VmLimits {
    /// Derives the limits from the memory, in bytes, and the descriptors of the VM.
    pub fn new(memory_bytes: usize, descriptors: usize) -> Self {
        let reserved = RESERVED_DESCRIPTORS.min(descriptors / 2);
        let usable = descriptors - reserved;
        Self {
            memory_bytes: memory_bytes / 8 * MEMORY_SHARE_EIGHTHS,
            request_body_bytes: memory_bytes / 2,
            response_body_bytes: memory_bytes / 4,
            connection_bytes: memory_bytes / 5,
            caller_descriptors: usable / 2,
            server_descriptors: usable / 2,
        }
    }

    /// Returns the number of requests that may be at backend servers. The other connections to
    /// servers are for second attempts.
    pub fn requests(&self) -> usize {
        self.server_descriptors * 3 / 4
    }
}

/// Returns the use of a resource above which there is pressure.
pub fn soft_limit(limit: usize) -> usize {
    limit / 4 * 3
}

/// What a connection of a caller is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No request has begun.
    Idle,
    /// The head of a request is read.
    Head,
    /// The body of a request is read.
    Body,
    /// A request is processed, and no response is written.
    Waiting,
    /// A response is written.
    Reply,
}

impl Phase {
    /// All phases.
    pub const ALL: [Self; 5] = [
        Self::Idle,
        Self::Head,
        Self::Body,
        Self::Waiting,
        Self::Reply,
    ];

    /// Returns the name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Head => "head",
            Self::Body => "body",
            Self::Waiting => "waiting",
            Self::Reply => "reply",
        }
    }
}

/// Returns the longest time without any progress in a phase, also without pressure, or `None` if
/// the caller isn't expected to make any. The head has to be complete in this time.
pub fn stall_timeout(phase: Phase, limits: &CallerLimits) -> Option<Duration> {
    match phase {
        Phase::Head => Some(limits.header_timeout),
        Phase::Idle | Phase::Body | Phase::Reply => Some(limits.idle_timeout),
        Phase::Waiting => None,
    }
}

/// Resource of the VM that is nearly used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resource {
    /// Memory of the process.
    Memory,
    /// Connections of callers.
    Connections,
    /// Requests at backend servers, which take a connection each.
    Requests,
}

/// Connection of a caller with what it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    /// Identifies the connection.
    pub id: u64,
    /// Phase in which it was during the whole interval.
    pub phase: Phase,
    /// Bytes read from or written to the caller in the interval.
    pub progress_bytes: u64,
    /// Memory that it holds, in bytes.
    pub held_bytes: usize,
    /// Requests at backend servers, including those whose responses are streamed.
    pub requests: usize,
    /// Whether a request runs at a backend server that must not run again.
    pub runs_unrepeatable: bool,
}

/// How a connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Closing {
    /// No request of it runs: requests that have begun get a refusal.
    Graceful,
    /// A response is cut, so that the caller sees that it is incomplete.
    Abort,
}

/// Returns the connections that may be closed for others, the first one first.
///
/// The order is that of the progress relative to what is held. A connection that waits for the
/// daemon isn't slow and is never closed. For a new connection, those without a request are closed
/// first, because nothing is lost. One whose request can't be repeated is closed last.
pub fn closing_order(resource: Resource, holders: &[Holder]) -> Vec<(Holder, Closing)> {
    let is_closed_for =
        |h: &&Holder| is_slow(h) && (resource != Resource::Requests || h.requests > 0);
    let mut slow: Vec<_> = holders.iter().filter(is_closed_for).copied().collect();
    slow.sort_by(|a, b| compare(resource, a, b));
    slow.into_iter().map(|h| (h, closing(h.phase))).collect()
}

fn is_slow(holder: &Holder) -> bool {
    let held_share = holder.held_bytes as u64 / PROGRESS_MIN_DIVISOR;
    holder.phase != Phase::Waiting && holder.progress_bytes < held_share.max(PROGRESS_MIN_BYTES)
}

fn closing(phase: Phase) -> Closing {
    match phase {
        Phase::Idle | Phase::Head | Phase::Body | Phase::Waiting => Closing::Graceful,
        Phase::Reply => Closing::Abort,
    }
}

fn compare(resource: Resource, a: &Holder, b: &Holder) -> Ordering {
    let held = |h: &Holder| match resource {
        Resource::Memory => h.held_bytes.max(1),
        Resource::Connections => 1,
        Resource::Requests => h.requests.max(1),
    };
    let loses_response =
        |h: &Holder| resource == Resource::Connections && closing(h.phase) == Closing::Abort;
    // a.progress / a.held < b.progress / b.held, without a division.
    let a_progress = u128::from(a.progress_bytes) * held(b) as u128;
    let b_progress = u128::from(b.progress_bytes) * held(a) as u128;
    (a.runs_unrepeatable.cmp(&b.runs_unrepeatable))
        .then(loses_response(a).cmp(&loses_response(b)))
        .then(a_progress.cmp(&b_progress))
        .then(held(b).cmp(&held(a)))
        .then(a.id.cmp(&b.id))
}

/// What is done with a request that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestAdmission {
    /// It is processed.
    Start,
    /// It waits until earlier responses of its connection are written; nothing more is read.
    Wait,
    /// It is refused without having run.
    Refuse,
}

/// What a VM and a connection hold when a request is to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestUse {
    /// Requests of all connections at backend servers.
    pub requests: usize,
    /// Limit of these requests.
    pub requests_max: usize,
    /// Whether memory is used beyond the soft limit.
    pub memory_pressure: bool,
    /// Responses of the connection that aren't written yet.
    pub pending_replies: usize,
    /// Memory that the connection holds, in bytes.
    pub held_bytes: usize,
    /// Memory that one connection may hold and still start another request, in bytes.
    pub held_bytes_max: usize,
}

/// Decides whether a request starts. Under pressure a connection has one request at a time, so that
/// callers who pipeline leave the reserve above the soft limit to others.
pub fn admit_request(request_use: RequestUse) -> RequestAdmission {
    let pressure = request_use.memory_pressure
        || request_use.requests >= soft_limit(request_use.requests_max)
        || request_use.held_bytes >= request_use.held_bytes_max;
    if pressure && request_use.pending_replies > 0 {
        return RequestAdmission::Wait;
    }
    match request_use.requests < request_use.requests_max {
        true => RequestAdmission::Start,
        false => RequestAdmission::Refuse,
    }
}
