//! Queue of the requests that wait at this daemon while their service is nearly full.

use std::sync::Arc;
use std::time::Duration;

use corianderworks_decision::edge::servers::Servers;
use corianderworks_decision::edge::shutdown::Phase;
use corianderworks_decision::edge::waiting::{
    QueueBounds, RefusalCause, ServiceLoad, WaitDecision, WaitId, WaitQueue, WaitRequest,
};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, sleep_until};

use crate::forward::{Routing, jitter};
use crate::reason::Reason;
use crate::state::{Edge, EdgeState, Lifecycle};

/// Maximum number of waiting requests. Each holds a connection, of which a VM has 4,100 descriptors
/// for callers, servers and peers.
const QUEUE_LENGTH_MAX: usize = 256;
/// The heads and bodies of waiting requests may take the memory of the VM divided by this number.
const QUEUE_MEMORY_DIVISOR: usize = 16;
/// Interval at which waiting requests are released. Shorter than the time that a report takes.
const RELEASE_INTERVAL: Duration = Duration::from_millis(20);

/// Waiting requests and the task that releases them.
#[derive(Debug)]
pub struct WaitingRequests {
    queue: WaitQueue<oneshot::Sender<WaitDecision>>,
    /// Whether a task releases the requests; it ends when none waits.
    is_released: bool,
}

impl WaitingRequests {
    /// Creates an empty queue for a VM with this memory.
    pub fn new(memory_bytes: usize) -> Self {
        let bounds = QueueBounds {
            length: QUEUE_LENGTH_MAX,
            bytes: memory_bytes / QUEUE_MEMORY_DIVISOR,
        };
        Self {
            queue: WaitQueue::new(bounds),
            is_released: false,
        }
    }

    /// Returns the number of waiting requests of each priority that has any.
    pub fn lengths(&self) -> std::collections::BTreeMap<u32, usize> {
        self.queue.lengths()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Records that a request of any daemon to a service was completed.
    pub(crate) fn record_completion(&mut self, service: &Arc<str>, now: Duration) {
        self.queue.record_completion(service, now);
    }
}

/// Result of waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Turn {
    /// The request is sent now.
    Send,
    /// The request is refused; it has not run.
    Refuse {
        reason: Reason,
        retry_after: Option<Duration>,
    },
}

impl From<WaitDecision> for Turn {
    fn from(decision: WaitDecision) -> Self {
        match decision {
            WaitDecision::Send | WaitDecision::WaitUntil(_) => Self::Send,
            WaitDecision::Refuse { cause, retry_after } => Self::Refuse {
                reason: match cause {
                    RefusalCause::NoTime => Reason::NoCapacity,
                    RefusalCause::QueueFull => Reason::QueueFull,
                },
                retry_after: Some(retry_after),
            },
        }
    }
}

/// Place of a request in the queue, which it leaves when this is dropped.
struct QueuePlace {
    edge: Arc<Edge>,
    id: WaitId,
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        self.edge.lock_state().waiting.queue.leave(self.id);
    }
}

impl Edge {
    /// Waits until a request may be sent, if requests are ranked. `bytes` is the memory that it holds.
    /// Dropping the future removes the request from the queue.
    pub(crate) async fn wait_for_turn(self: &Arc<Self>, routing: &Routing, bytes: usize) -> Turn {
        if !self.settings.ranks_requests {
            return Turn::Send;
        }
        let (place, decision) = match self.enqueue(routing, bytes) {
            Ok(queued) => queued,
            Err(turn) => return turn,
        };
        let mut life = self.subscribe_lifecycle();
        let turn = tokio::select! {
            biased;
            Ok(decision) = decision => decision.into(),
            _ = life.wait_for(|l| *l == Lifecycle::Stopping(Phase::Exit)) => Turn::Refuse {
                reason: Reason::Stopping,
                retry_after: None,
            },
            () = sleep_until(routing.deadline) => Turn::Refuse {
                reason: Reason::NoCapacity,
                retry_after: None,
            },
        };
        drop(place);
        turn
    }

    /// Adds a request to the queue, or returns its turn if it doesn't wait.
    fn enqueue(
        self: &Arc<Self>,
        routing: &Routing,
        bytes: usize,
    ) -> Result<(QueuePlace, oneshot::Receiver<WaitDecision>), Turn> {
        let now = self.clock.now();
        let elapsed = routing.received_at.elapsed();
        let objective = routing.route.latency_objective.saturating_sub(elapsed);
        let time_left = routing.deadline.saturating_duration_since(Instant::now());
        let organisation = routing.caller.organisation().map(|o| o.name.clone());
        let mut state = self.lock_state();
        let load = state.service_load(&routing.service, now);
        let request = WaitRequest {
            service: routing.service.clone(),
            priority: routing.priority,
            highest_priority: routing.highest_priority,
            organisation,
            objective: now + objective,
            deadline: now + time_left,
            typical_latency: state.load_balancer.typical_route_latency(&routing.route),
            bytes,
        };
        let (sender, receiver) = oneshot::channel();
        let waiting = &mut state.waiting;
        let (decision, id) = waiting
            .queue
            .decide(request, load, now, jitter(), || sender);
        let Some(id) = id else {
            return Err(decision.into());
        };
        if !std::mem::replace(&mut waiting.is_released, true) {
            tokio::spawn(release(self.clone()));
        }
        let place = QueuePlace {
            edge: self.clone(),
            id,
        };
        Ok((place, receiver))
    }

    /// Releases the waiting requests whose turn has come. Returns whether others wait.
    fn release_waiting(&self) -> bool {
        let now = self.clock.now();
        let mut state = self.lock_state();
        let mut released = Vec::new();
        for service in state.waiting.queue.services() {
            let load = state.service_load(&service, now);
            let queue = &mut state.waiting.queue;
            released.extend(queue.release(&service, load, now, jitter()));
        }
        let others_wait = !state.waiting.is_empty();
        state.waiting.is_released = others_wait;
        drop(state);
        for (sender, decision) in released {
            // The caller may have left since.
            sender.send(decision).ok();
        }
        others_wait
    }
}

async fn release(edge: Arc<Edge>) {
    loop {
        sleep(RELEASE_INTERVAL).await;
        if !edge.release_waiting() {
            return;
        }
    }
}

impl EdgeState {
    /// Returns the load of a service as the fleet sees it. Daemons that are silent count as well,
    /// because their callers may still be served.
    fn service_load(&self, service: &str, now: Duration) -> ServiceLoad {
        let servers: &Servers = &self.servers;
        let (in_flight, slots) = self.load_balancer.service_load(servers, service, now);
        ServiceLoad {
            in_flight,
            slots,
            daemons: self.fleet.others().count() + 1,
        }
    }
}
