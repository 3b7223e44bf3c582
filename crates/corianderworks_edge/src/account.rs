//! Account of what connections hold: memory and descriptors, by connection and for the whole VM.
//!
//! Guards release what they hold on drop. The platform kills a process that exceeds the memory of
//! its VM. [`corianderworks_decision::edge::progress`] decides; this module counts, and tells
//! connections to close.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use corianderworks_decision::edge::progress::{
    Closing, Holder, INTERVAL, Phase, RequestAdmission, RequestUse, Resource, VmLimits,
    admit_request, closing_order, soft_limit,
};
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::metrics::Metrics;

/// Memory of a connection of a caller without requests, in bytes: its read buffer, its tasks and its
/// socket. 500 idle connections took 9.2 KB each of resident memory.
const CONNECTION_BYTES: usize = 16 * 1024;
/// Memory of a request at a backend server apart from its head and its bodies, in bytes: the buffer
/// of the connection to the server, the next part of a streamed response and the tasks.
const REQUEST_BYTES: usize = 40 * 1024;
/// One connection starts no further pipelined request while it holds the limit of the responses
/// divided by this number.
const CONNECTION_SHARE_DIVISOR: usize = 8;
/// Shortest time between two attempts to free descriptors or memory for new connections.
const RELIEF_INTERVAL: Duration = Duration::from_millis(20);

/// What memory is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryKind {
    /// Bodies of requests.
    RequestBody,
    /// Bodies and heads of responses until they are written.
    ResponseBody,
    /// Heads of requests, buffers, and the state of connections and requests.
    Connection,
}

impl MemoryKind {
    const ALL: [Self; 3] = [Self::RequestBody, Self::ResponseBody, Self::Connection];

    fn name(self) -> &'static str {
        match self {
            Self::RequestBody => "request-body",
            Self::ResponseBody => "response-body",
            Self::Connection => "connection",
        }
    }

    fn limit_bytes(self, limits: &VmLimits) -> usize {
        match self {
            Self::RequestBody => limits.request_body_bytes,
            Self::ResponseBody => limits.response_body_bytes,
            Self::Connection => limits.connection_bytes,
        }
    }
}

/// Memory and descriptors that connections hold.
#[derive(Debug)]
pub struct Account {
    limits: VmLimits,
    memory_bytes: [AtomicUsize; MemoryKind::ALL.len()],
    caller_descriptors: AtomicUsize,
    server_descriptors: AtomicUsize,
    requests: AtomicUsize,
    /// Whether memory was refused since connections were last closed for it. Without that, a single
    /// large body would close idle connections, or be closed itself.
    memory_refused: AtomicBool,
    connections: Mutex<Connections>,
    metrics: Metrics,
}

#[derive(Debug, Default)]
struct Connections {
    next_id: u64,
    by_id: HashMap<u64, Tracked>,
    relieved_at: Option<Duration>,
}

/// Connection with the interval over which its progress is measured.
#[derive(Debug)]
struct Tracked {
    shared: Arc<ConnectionUse>,
    phase: Phase,
    interval_started: Duration,
    progress_at_start: u64,
    /// Progress in the last complete interval; `None` if the phase changed in it.
    progress_bytes: Option<u64>,
    closing: bool,
}

/// What one connection of a caller holds and does.
#[derive(Debug)]
struct ConnectionUse {
    reading: AtomicU8,
    writing: AtomicBool,
    progress_bytes: AtomicU64,
    held_bytes: AtomicUsize,
    requests: AtomicUsize,
    unrepeatable: AtomicUsize,
    pending_replies: AtomicUsize,
    close: watch::Sender<Option<Closing>>,
}

impl ConnectionUse {
    fn held(&self, resource: Resource) -> usize {
        match resource {
            Resource::Memory => self.held_bytes.load(Ordering::Relaxed),
            Resource::Connections => 1,
            Resource::Requests => self.requests.load(Ordering::Relaxed),
        }
    }

    fn phase(&self) -> Phase {
        if self.writing.load(Ordering::Relaxed) {
            return Phase::Reply;
        }
        if self.pending_replies.load(Ordering::Relaxed) > 0 {
            return Phase::Waiting;
        }
        let reading = usize::from(self.reading.load(Ordering::Relaxed));
        Phase::ALL.get(reading).copied().unwrap_or(Phase::Idle)
    }
}

impl Account {
    /// Creates an empty account.
    pub fn new(limits: VmLimits, metrics: Metrics) -> Arc<Self> {
        Arc::new(Self {
            limits,
            memory_bytes: std::array::from_fn(|_| AtomicUsize::new(0)),
            caller_descriptors: AtomicUsize::new(0),
            server_descriptors: AtomicUsize::new(0),
            requests: AtomicUsize::new(0),
            memory_refused: AtomicBool::new(false),
            connections: Mutex::default(),
            metrics,
        })
    }

    /// Reserves memory until the guard is dropped. Returns `None` if a limit would be exceeded.
    pub fn reserve(self: &Arc<Self>, kind: MemoryKind, bytes: usize) -> Option<MemoryGuard> {
        let mut guard = self.empty_guard(kind);
        guard.try_grow(bytes).then_some(guard)
    }

    /// Returns a guard that holds no memory yet.
    pub fn empty_guard(self: &Arc<Self>, kind: MemoryKind) -> MemoryGuard {
        MemoryGuard {
            account: self.clone(),
            kind,
            bytes: 0,
            owner: None,
        }
    }

    /// Counts a new connection of a caller. Returns `None` if it has to be refused. Near the limit
    /// a connection that makes no progress is closed for it.
    pub fn open_connection(self: &Arc<Self>, now: Duration) -> Option<CallerConnection> {
        if self.scarce_resources().next().is_some() {
            self.relieve_at_most_every(RELIEF_INTERVAL, now);
        }
        let opened = self.try_open_connection(now);
        if opened.is_none() {
            self.metrics.connection_closed("refused");
        }
        opened
    }

    fn try_open_connection(self: &Arc<Self>, now: Duration) -> Option<CallerConnection> {
        let descriptor = self.caller_descriptor()?;
        let mut memory = self.reserve(MemoryKind::Connection, CONNECTION_BYTES)?;
        let shared = Arc::new(ConnectionUse {
            reading: AtomicU8::new(Phase::Idle as u8),
            writing: AtomicBool::new(false),
            progress_bytes: AtomicU64::new(0),
            held_bytes: AtomicUsize::new(0),
            requests: AtomicUsize::new(0),
            unrepeatable: AtomicUsize::new(0),
            pending_replies: AtomicUsize::new(0),
            close: watch::Sender::new(None),
        });
        memory.assign(&shared);
        let mut connections = self.connections.lock();
        let id = connections.next_id;
        connections.next_id += 1;
        let tracked = Tracked {
            shared: shared.clone(),
            phase: Phase::Idle,
            interval_started: now,
            progress_at_start: 0,
            progress_bytes: None,
            closing: false,
        };
        connections.by_id.insert(id, tracked);
        Some(CallerConnection {
            account: self.clone(),
            id,
            shared,
            _descriptor: descriptor,
            _memory: memory,
        })
    }

    /// Counts a descriptor of a connection of a caller, or returns `None` if there is none left.
    pub fn caller_descriptor(self: &Arc<Self>) -> Option<DescriptorGuard> {
        self.descriptor(Side::Caller, self.limits.caller_descriptors)
    }

    /// Counts a descriptor of a connection to a backend server, or returns `None` if there is none
    /// left.
    pub fn server_descriptor(self: &Arc<Self>) -> Option<DescriptorGuard> {
        self.descriptor(Side::Server, self.limits.server_descriptors)
    }

    fn descriptor(self: &Arc<Self>, side: Side, limit: usize) -> Option<DescriptorGuard> {
        let opened =
            self.descriptors(side)
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| {
                    (n < limit).then_some(n + 1)
                });
        opened.ok().map(|_| DescriptorGuard {
            account: self.clone(),
            side,
        })
    }

    fn descriptors(&self, side: Side) -> &AtomicUsize {
        match side {
            Side::Caller => &self.caller_descriptors,
            Side::Server => &self.server_descriptors,
        }
    }

    fn total_bytes(&self) -> usize {
        let bytes = self.memory_bytes.iter().map(|b| b.load(Ordering::Relaxed));
        bytes.sum()
    }

    /// Whether connections to backend servers are used beyond the soft limit.
    pub fn server_descriptors_scarce(&self) -> bool {
        let used = self.server_descriptors.load(Ordering::Relaxed);
        used >= soft_limit(self.limits.server_descriptors)
    }

    /// Returns the resources that are scarce.
    fn scarce_resources(&self) -> impl Iterator<Item = Resource> {
        let resources = [Resource::Connections, Resource::Requests, Resource::Memory];
        let scarce = resources.map(|resource| self.is_scarce(resource).then_some(resource));
        scarce.into_iter().flatten()
    }

    fn is_scarce(&self, resource: Resource) -> bool {
        match resource {
            Resource::Memory => self.memory_refused.load(Ordering::Relaxed),
            Resource::Connections | Resource::Requests => self.excess(resource) > 0,
        }
    }

    /// Measures the progress of the connections, and closes slow ones if memory or descriptors are
    /// scarce. Called periodically.
    pub fn relieve(&self, now: Duration) {
        self.relieve_at_most_every(Duration::ZERO, now);
    }

    fn relieve_at_most_every(&self, pause: Duration, now: Duration) {
        let mut connections = self.connections.lock();
        let relieved_at = connections.relieved_at;
        if relieved_at.is_some_and(|at| now.saturating_sub(at) < pause) {
            return;
        }
        connections.relieved_at = Some(now);
        for tracked in connections.by_id.values_mut() {
            tracked.measure(now);
        }
        for resource in self.scarce_resources() {
            self.close_for(resource, &mut connections);
        }
        self.memory_refused.store(false, Ordering::Relaxed);
    }

    /// Closes connections until what is held beyond the soft limits of a resource will be released.
    fn close_for(&self, resource: Resource, connections: &mut Connections) {
        let mut excess = self.excess(resource);
        let closing = connections.by_id.values().filter(|t| t.closing);
        for tracked in closing {
            excess = excess.saturating_sub(tracked.shared.held(resource));
        }
        if excess == 0 {
            return;
        }
        let tracked = connections.by_id.iter();
        let holders: Vec<_> = tracked.filter_map(|(id, t)| t.holder(*id)).collect();
        for (holder, closing) in closing_order(resource, &holders) {
            if excess == 0 {
                return;
            }
            let Some(tracked) = connections.by_id.get_mut(&holder.id) else {
                continue;
            };
            excess = excess.saturating_sub(tracked.shared.held(resource));
            tracked.closing = true;
            tracked.shared.close.send_replace(Some(closing));
            self.metrics.connection_closed(match resource {
                Resource::Memory => "memory",
                Resource::Connections => "connections",
                Resource::Requests => "requests",
            });
        }
    }

    /// Returns what is held of a resource beyond its soft limits, with room for one more.
    fn excess(&self, resource: Resource) -> usize {
        let above = |used: &AtomicUsize, limit: usize| {
            (used.load(Ordering::Relaxed) + 1).saturating_sub(soft_limit(limit))
        };
        match resource {
            Resource::Connections => {
                above(&self.caller_descriptors, self.limits.caller_descriptors)
            }
            Resource::Requests => above(&self.requests, self.limits.requests()),
            Resource::Memory => {
                let by_kind = MemoryKind::ALL.into_iter().map(|kind| {
                    let used = &self.memory_bytes[kind as usize];
                    above(used, kind.limit_bytes(&self.limits))
                });
                let total =
                    (self.total_bytes() + 1).saturating_sub(soft_limit(self.limits.memory_bytes));
                by_kind.max().unwrap_or(0).max(total)
            }
        }
    }

    /// Sets the gauges of what is held.
    pub fn record_metrics(&self) {
        for kind in MemoryKind::ALL {
            let used = self.memory_bytes[kind as usize].load(Ordering::Relaxed);
            self.metrics.set_held_bytes(kind.name(), used as u64);
        }
        let mut counts = [0; Phase::ALL.len()];
        for tracked in self.connections.lock().by_id.values() {
            counts[tracked.shared.phase() as usize] += 1;
        }
        for phase in Phase::ALL {
            let count = counts[phase as usize];
            self.metrics.set_connections(phase.name(), count);
        }
        let servers = self.server_descriptors.load(Ordering::Relaxed);
        self.metrics.set_connections("server", servers as u64);
    }
}

impl Tracked {
    fn measure(&mut self, now: Duration) {
        let phase = self.shared.phase();
        let progress = self.shared.progress_bytes.load(Ordering::Relaxed);
        if phase != self.phase {
            self.progress_bytes = None;
        } else if now.saturating_sub(self.interval_started) < INTERVAL {
            return;
        } else {
            self.progress_bytes = Some(progress.saturating_sub(self.progress_at_start));
        }
        self.phase = phase;
        self.interval_started = now;
        self.progress_at_start = progress;
    }

    fn holder(&self, id: u64) -> Option<Holder> {
        let ConnectionUse {
            held_bytes,
            requests,
            unrepeatable,
            ..
        } = &*self.shared;
        let progress_bytes = self.progress_bytes.filter(|_| !self.closing)?;
        (self.phase == self.shared.phase()).then(|| Holder {
            id,
            phase: self.phase,
            progress_bytes,
            held_bytes: held_bytes.load(Ordering::Relaxed),
            requests: requests.load(Ordering::Relaxed),
            runs_unrepeatable: unrepeatable.load(Ordering::Relaxed) > 0,
        })
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Side {
    Caller,
    Server,
}

/// Descriptor of a connection. Dropping the guard releases it.
#[derive(Debug)]
pub struct DescriptorGuard {
    account: Arc<Account>,
    side: Side,
}

impl Drop for DescriptorGuard {
    fn drop(&mut self) {
        let descriptors = self.account.descriptors(self.side);
        descriptors.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Reserved memory. Dropping the guard releases it.
#[derive(Debug)]
pub struct MemoryGuard {
    account: Arc<Account>,
    kind: MemoryKind,
    bytes: usize,
    owner: Option<Arc<ConnectionUse>>,
}

impl MemoryGuard {
    /// Reserves more memory for the same purpose. Returns whether it is available.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let account = &*self.account;
        let used_bytes = &account.memory_bytes[self.kind as usize];
        let used = used_bytes.fetch_add(bytes, Ordering::Relaxed);
        let exceeds = used.saturating_add(bytes) > self.kind.limit_bytes(&account.limits)
            || account.total_bytes() > account.limits.memory_bytes;
        if exceeds {
            used_bytes.fetch_sub(bytes, Ordering::Relaxed);
            account.memory_refused.store(true, Ordering::Relaxed);
            return false;
        }
        self.bytes += bytes;
        if let Some(owner) = &self.owner {
            owner.held_bytes.fetch_add(bytes, Ordering::Relaxed);
        }
        true
    }

    /// Grows or shrinks to a size. Returns whether the memory is available.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        if bytes > self.bytes {
            return self.try_grow(bytes - self.bytes);
        }
        let released = self.bytes - bytes;
        self.bytes = bytes;
        self.account.memory_bytes[self.kind as usize].fetch_sub(released, Ordering::Relaxed);
        if let Some(owner) = &self.owner {
            owner.held_bytes.fetch_sub(released, Ordering::Relaxed);
        }
        true
    }

    fn assign(&mut self, owner: &Arc<ConnectionUse>) {
        owner.held_bytes.fetch_add(self.bytes, Ordering::Relaxed);
        self.owner = Some(owner.clone());
    }
}

impl Drop for MemoryGuard {
    fn drop(&mut self) {
        self.try_resize(0);
    }
}

/// Connection of a caller. Dropping it releases its descriptor and its own memory.
#[derive(Debug)]
pub struct CallerConnection {
    account: Arc<Account>,
    id: u64,
    shared: Arc<ConnectionUse>,
    _descriptor: DescriptorGuard,
    _memory: MemoryGuard,
}

impl CallerConnection {
    /// Records what is read from the caller.
    pub fn set_reading(&self, phase: Phase) {
        self.shared.reading.store(phase as u8, Ordering::Relaxed);
    }

    /// Records bytes read from or written to the caller.
    pub fn record_progress(&self, bytes: usize) {
        let progress = &self.shared.progress_bytes;
        progress.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Records that a response is written until the guard is dropped.
    pub fn start_writing(&self) -> WritingGuard {
        self.shared.writing.store(true, Ordering::Relaxed);
        WritingGuard(self.shared.clone())
    }

    /// Counts a response that isn't written yet until the guard is dropped.
    pub fn start_reply(&self) -> PendingReplyGuard {
        self.shared.pending_replies.fetch_add(1, Ordering::Relaxed);
        PendingReplyGuard(self.shared.clone())
    }

    /// Attributes memory to this connection.
    pub fn assign(&self, memory: &mut MemoryGuard) {
        memory.assign(&self.shared);
    }

    /// Returns a guard of memory of this connection that holds none yet.
    pub fn empty_guard(&self, kind: MemoryKind) -> MemoryGuard {
        let mut guard = self.account.empty_guard(kind);
        guard.assign(&self.shared);
        guard
    }

    /// Returns a receiver that says when and how the connection is to be closed.
    pub fn subscribe_close(&self) -> watch::Receiver<Option<Closing>> {
        self.shared.close.subscribe()
    }

    /// Closes the connection because its caller takes no data of a response.
    pub fn abort_stalled(&self) {
        self.account.metrics.connection_closed("stalled");
        self.shared.close.send_replace(Some(Closing::Abort));
    }

    /// Decides whether a request starts. `repeatable` says whether it may run more than once.
    pub fn admit_request(&self, repeatable: bool) -> AdmittedRequest {
        let account = &self.account;
        let admission = admit_request(RequestUse {
            requests: account.requests.load(Ordering::Relaxed),
            requests_max: account.limits.requests(),
            memory_pressure: account.excess(Resource::Memory) > 0,
            pending_replies: self.shared.pending_replies.load(Ordering::Relaxed),
            held_bytes: self.shared.held_bytes.load(Ordering::Relaxed),
            held_bytes_max: account.limits.response_body_bytes / CONNECTION_SHARE_DIVISOR,
        });
        match admission {
            RequestAdmission::Wait => return AdmittedRequest::Wait,
            RequestAdmission::Refuse => return AdmittedRequest::Refuse,
            RequestAdmission::Start => {}
        }
        let mut memory = self.empty_guard(MemoryKind::Connection);
        if !memory.try_grow(REQUEST_BYTES) {
            return AdmittedRequest::Refuse;
        }
        account.requests.fetch_add(1, Ordering::Relaxed);
        self.shared.requests.fetch_add(1, Ordering::Relaxed);
        let unrepeatable = usize::from(!repeatable);
        self.shared
            .unrepeatable
            .fetch_add(unrepeatable, Ordering::Relaxed);
        AdmittedRequest::Start(RequestSlot {
            account: account.clone(),
            shared: self.shared.clone(),
            unrepeatable,
            _memory: memory,
        })
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.account.connections.lock().by_id.remove(&self.id);
    }
}

/// Decision on a request, see [`RequestAdmission`].
#[derive(Debug)]
pub enum AdmittedRequest {
    /// It is processed; the slot is kept until its server isn't used any more.
    Start(RequestSlot),
    /// It waits until earlier responses of its connection are written.
    Wait,
    /// It is refused without having run.
    Refuse,
}

/// Place of a request at a backend server, with the memory that it takes there. Dropping it
/// releases both.
#[derive(Debug)]
pub struct RequestSlot {
    account: Arc<Account>,
    shared: Arc<ConnectionUse>,
    unrepeatable: usize,
    _memory: MemoryGuard,
}

impl Drop for RequestSlot {
    fn drop(&mut self) {
        self.account.requests.fetch_sub(1, Ordering::Relaxed);
        self.shared.requests.fetch_sub(1, Ordering::Relaxed);
        self.shared
            .unrepeatable
            .fetch_sub(self.unrepeatable, Ordering::Relaxed);
    }
}

/// Records that a response is being written until it is dropped.
#[derive(Debug)]
pub struct WritingGuard(Arc<ConnectionUse>);

impl Drop for WritingGuard {
    fn drop(&mut self) {
        self.0.writing.store(false, Ordering::Relaxed);
    }
}

/// Counts a response that isn't written yet until it is dropped.
#[derive(Debug)]
pub struct PendingReplyGuard(Arc<ConnectionUse>);

impl Drop for PendingReplyGuard {
    fn drop(&mut self) {
        self.0.pending_replies.fetch_sub(1, Ordering::Relaxed);
    }
}
