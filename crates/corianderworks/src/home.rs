//! Home of a service: queues the requests that are routed to this daemon and dispatches them to
//! the upstreams in which it owns slots.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use corianderworks_decision::clock::Clock;
use corianderworks_decision::dispatcher::{
    Action, Admission, Dispatcher, Lease, Load, Outcome, Reason as QueueReason, RequestView, Retry,
    Schedule, Ticket,
};
use corianderworks_decision::ids::{ServiceKey, UpstreamKey};
use http::{HeaderValue, Request, Response, StatusCode};
use http_body::Body as HttpBody;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::{Mutex, MutexGuard};
use tokio::sync::{Notify, mpsc, oneshot};

use crate::body::{self, Body, BodyEnd, Progress, TrackedBody, WatchedBody};
use crate::headers;
use crate::job::{Job, JobHead, Reply};
use crate::metrics_api::RemoteTime;
use crate::reasons::{Reason, RefusalOutcome};
use crate::refusal::Refusal;
use crate::upstream::{Checkout, SendFailure, Upstreams};

/// Event that a home reports to the control loop.
#[derive(Debug)]
pub enum HomeEvent {
    /// The dispatcher requested an action that the home can't execute itself.
    Action {
        /// Service whose dispatcher requested the action.
        service: ServiceKey,
        /// Announcement, ejection request, probe, or report of an ejected or restored upstream.
        action: Action,
    },
    /// An upstream stated in a response that it is draining.
    Draining {
        /// Service to which the upstream belongs.
        service: ServiceKey,
        /// Upstream that sent the response.
        upstream: UpstreamKey,
    },
}

/// Result of waiting for a slot.
enum WaitResult {
    Run(Lease),
    Refused(QueueReason),
}

/// Attempt in flight at an upstream.
///
/// The progress of each body is empty until the transfer of the body begins.
#[derive(Default)]
struct Attempt {
    abandon: Notify,
    upload: OnceLock<Arc<Progress>>,
    download: OnceLock<Arc<Progress>>,
}

impl Attempt {
    /// True when body data arrived since the last call, or when the backend server has to wait for
    /// the caller to send or read a body.
    fn is_progressing(&self) -> bool {
        let bodies = [self.upload.get(), self.download.get()];
        if bodies
            .into_iter()
            .flatten()
            .any(|body| body.take_progressed())
        {
            return true;
        }
        match (self.download.get(), self.upload.get()) {
            (Some(download), _) => !download.is_waiting(),
            (None, Some(upload)) => upload.is_waiting(),
            (None, None) => false,
        }
    }
}

struct HomeState {
    dispatcher: Dispatcher,
    waiting: HashMap<Ticket, oneshot::Sender<WaitResult>>,
    running: HashMap<Lease, Arc<Attempt>>,
    addresses: HashMap<UpstreamKey, SocketAddr>,
}

/// Dispatcher of one service, with its queued and running requests.
pub struct Home<C>
where
    C: Clock,
{
    service: ServiceKey,
    clock: Arc<C>,
    upstreams: Arc<Upstreams<C>>,
    via: HeaderValue,
    state: Mutex<HomeState>,
    next_ticket: AtomicU64,
    events: mpsc::UnboundedSender<HomeEvent>,
}

/// Result of an exchange with one backend server, or of a hedged exchange with two.
enum ExchangeResult {
    Reply(Reply),
    /// The exchange failed. `retryable` is the request for another attempt, `None` when its body is
    /// consumed. `final_reply` is the reply when there is no other attempt.
    Failed {
        outcome: Outcome,
        retryable: Option<Box<Job>>,
        final_reply: Reply,
    },
}

impl ExchangeResult {
    /// Changes the outcome of a refusal to "unknown" because another attempt may have run.
    fn after_attempt(mut self) -> Self {
        let (Self::Reply(reply)
        | Self::Failed {
            final_reply: reply, ..
        }) = &mut self;
        if let Err(refusal) = reply {
            *refusal = refusal.after_attempt();
        }
        self
    }
}

/// True unless the reply states that the attempt was not run.
fn attempt_may_have_run(reply: &Reply) -> bool {
    !matches!(reply, Err(refusal) if refusal.outcome == RefusalOutcome::NotRun)
}

impl<C> Home<C>
where
    C: Clock,
{
    /// Creates a home without upstream addresses.
    ///
    /// `via` is the value that is appended to the `via` header field of each response. Actions for
    /// the control loop are sent to `events`.
    pub fn new(
        dispatcher: Dispatcher,
        clock: Arc<C>,
        upstreams: Arc<Upstreams<C>>,
        via: HeaderValue,
        events: mpsc::UnboundedSender<HomeEvent>,
    ) -> Arc<Self> {
        let state = HomeState {
            dispatcher,
            waiting: HashMap::new(),
            running: HashMap::new(),
            addresses: HashMap::new(),
        };
        Arc::new(Self {
            service: state.dispatcher.service(),
            clock,
            upstreams,
            via,
            state: Mutex::new(state),
            next_ticket: AtomicU64::new(1),
            events,
        })
    }

    /// Replaces the addresses of the service's backend servers.
    pub fn set_addresses(&self, addresses: HashMap<UpstreamKey, SocketAddr>) {
        self.state.lock().addresses = addresses;
    }

    /// Passes an event to the dispatcher and executes the resulting actions.
    pub fn drive<F>(&self, event: F)
    where
        F: FnOnce(&mut Dispatcher, Duration) -> Vec<Action>,
    {
        let mut state = self.state.lock();
        let now = self.clock.now();
        let HomeState {
            dispatcher,
            running,
            ..
        } = &mut *state;
        // A slow caller must not make the backend server count as stalled.
        for (lease, _) in running
            .iter()
            .filter(|(_, attempt)| attempt.is_progressing())
        {
            dispatcher.progress(now, *lease);
        }
        let actions = event(dispatcher, now);
        self.apply(state, actions);
    }

    /// Calls the dispatcher with the current time. Methods that return actions are called through
    /// [`drive`](Self::drive) instead.
    pub fn read<F, T>(&self, read: F) -> T
    where
        F: FnOnce(&mut Dispatcher, Duration) -> T,
    {
        read(&mut self.state.lock().dispatcher, self.clock.now())
    }

    /// Free slots and queue length at present.
    pub fn load(&self) -> Load {
        self.read(|dispatcher, now| dispatcher.load(now))
    }

    /// Address of an upstream, `None` when it is not in the current list of backend servers.
    pub fn address(&self, upstream: UpstreamKey) -> Option<SocketAddr> {
        self.state.lock().addresses.get(&upstream).copied()
    }

    /// Runs a job on an upstream, with retries on others as far as the dispatcher permits them.
    pub async fn run(self: &Arc<Self>, mut job: Job) -> Reply {
        let mut request = RequestView {
            ticket: Ticket(0),
            customer: job.head.customer_key(),
            priority: job.head.priority,
            deadline: job.head.deadline,
            // A body is forwarded as it arrives and can't be sent a second time.
            idempotent: job.head.idempotent && job.body.is_end_stream(),
            tried: Vec::new(),
        };
        let mut may_have_run = false;
        loop {
            request.ticket = Ticket(self.next_ticket.fetch_add(1, Ordering::Relaxed));
            let guard = match self.acquire(&request).await {
                Ok(guard) => guard,
                Err(refusal) if may_have_run => return Err(refusal.after_attempt()),
                Err(refusal) => return Err(refusal),
            };
            let upstream = guard.upstream();
            let mut result = self.exchange_hedged(guard, job, &request).await;
            if may_have_run {
                result = result.after_attempt();
            }
            match result {
                ExchangeResult::Reply(reply) => return reply,
                ExchangeResult::Failed {
                    outcome,
                    retryable,
                    final_reply,
                } => {
                    may_have_run |= attempt_may_have_run(&final_reply);
                    let Some(retryable) = retryable else {
                        return final_reply;
                    };
                    let retry =
                        self.read(|dispatcher, now| dispatcher.may_retry(now, &request, outcome));
                    match retry {
                        Retry::Retry => job = *retryable,
                        Retry::GiveUp => return final_reply,
                    }
                    request.tried.push(upstream);
                }
            }
        }
    }

    /// Acquires a slot, or waits in the queue until the deadline when none is free.
    async fn acquire(self: &Arc<Self>, request: &RequestView) -> Result<LeaseGuard<C>, Refusal> {
        let (sender, receiver) = oneshot::channel();
        {
            let now = self.clock.now();
            let mut state = self.state.lock();
            match state.dispatcher.admit(now, request.clone()) {
                Admission::Run(lease) => return Ok(self.guard(&mut state, lease)),
                Admission::Refuse(reason) => return Err(to_refusal(reason)),
                Admission::Wait => state.waiting.insert(request.ticket, sender),
            };
        }
        let _wait_guard = WaitGuard {
            home: self.clone(),
            ticket: request.ticket,
        };
        match receiver.await {
            Ok(WaitResult::Run(lease)) => Ok(self.guard(&mut self.state.lock(), lease)),
            Ok(WaitResult::Refused(reason)) => Err(to_refusal(reason)),
            Err(_) => Err(Refusal::not_run(Reason::NoUpstream)),
        }
    }

    /// Registers the attempt that runs under a lease.
    fn guard(self: &Arc<Self>, state: &mut HomeState, lease: Lease) -> LeaseGuard<C> {
        let attempt = state.running.entry(lease).or_default().clone();
        let started = self.clock.now();
        LeaseGuard {
            home: self.clone(),
            lease: Some(lease),
            attempt,
            started,
        }
    }

    /// Sends a request to a backend server, and to a second one when the first is late.
    ///
    /// Only idempotent requests without a body are hedged. The first result other than a failure is
    /// returned, and the other attempt is dropped.
    async fn exchange_hedged(
        self: &Arc<Self>,
        guard: LeaseGuard<C>,
        job: Job,
        request: &RequestView,
    ) -> ExchangeResult {
        let hedge_after = match job.head.idempotent && job.body.is_end_stream() {
            true => self.read(|dispatcher, now| dispatcher.hedge_after(now, request)),
            false => None,
        };
        let Some(hedge_after) = hedge_after else {
            return self.exchange(guard, job).await;
        };
        let hedge_job = Job {
            head: job.head.clone(),
            body: body::empty(),
        };
        let mut hedge_request = request.clone();
        hedge_request.tried.push(guard.upstream());
        let mut first = Box::pin(self.exchange(guard, job));
        tokio::select! {
            result = &mut first => return result,
            () = tokio::time::sleep(hedge_after) => {}
        }
        hedge_request.ticket = Ticket(self.next_ticket.fetch_add(1, Ordering::Relaxed));
        let lease = {
            let mut state = self.state.lock();
            let now = self.clock.now();
            let lease = state.dispatcher.admit_hedge(now, &hedge_request);
            lease.map(|lease| self.guard(&mut state, lease))
        };
        let Some(second) = lease else {
            return first.await;
        };
        let mut second = Box::pin(self.exchange(second, hedge_job));
        let result = tokio::select! {
            result = &mut first => match result {
                ExchangeResult::Failed { .. } => second.await,
                reply => reply,
            },
            result = &mut second => match result {
                ExchangeResult::Failed { .. } => first.await,
                reply => reply,
            },
        };
        // The other attempt may have run, even if this one was refused.
        result.after_attempt()
    }

    /// Sends a request to one backend server and waits for the head of the response.
    async fn exchange(self: &Arc<Self>, guard: LeaseGuard<C>, job: Job) -> ExchangeResult {
        let Job { head, body } = job;
        let replay = body.is_end_stream().then(|| head.clone());
        let replay = || {
            replay.map(|head| {
                Box::new(Job {
                    head,
                    body: body::empty(),
                })
            })
        };
        let unsent = |retryable| ExchangeResult::Failed {
            outcome: Outcome::ConnectFailed,
            retryable: Some(Box::new(retryable)),
            final_reply: Err(Refusal::not_run(Reason::NoUpstream)),
        };
        let Some(address) = self.address(guard.upstream()) else {
            guard.finish(Outcome::ConnectFailed);
            return unsent(Job { head, body });
        };
        let mut checkout = match self.upstreams.checkout(guard.upstream(), address).await {
            Ok(checkout) => checkout,
            Err(error) => {
                tracing::debug!("upstream: {error}");
                guard.finish(Outcome::ConnectFailed);
                return unsent(Job { head, body });
            }
        };
        let remaining = head.time_left(self.clock.now());
        if remaining.is_zero() {
            // The daemon process may have been suspended since the request was admitted.
            let latency = guard.elapsed();
            guard.finish(Outcome::Cancelled { latency });
            return ExchangeResult::Reply(Err(Refusal::not_run(Reason::Deadline)));
        }
        let (body, upload) = TrackedBody::new(body);
        let mut request = build_request(&head, body.boxed_unsync(), remaining);
        let attempt = guard.attempt.clone();
        let _ = attempt.upload.set(upload.clone());
        let send_result = loop {
            let send_result = tokio::select! {
                send_result = tokio::time::timeout(remaining, checkout.send(request)) => {
                    send_result.ok()
                }
                () = attempt.abandon.notified(), if head.idempotent => None,
            };
            // The backend server may close an idle connection while it is being reused. This does
            // not indicate a fault, so the request is sent on a new connection in the same slot.
            match send_result {
                Some(Err(SendFailure {
                    unsent: Some(retryable),
                    error,
                })) if checkout.reused => {
                    match self.upstreams.connect(guard.upstream(), address).await {
                        Ok(fresh) => (checkout, request) = (fresh, retryable),
                        Err(_) => {
                            break Some(Err(SendFailure {
                                unsent: Some(retryable),
                                error,
                            }));
                        }
                    }
                }
                send_result => break send_result,
            }
        };
        let latency = guard.elapsed();
        match send_result {
            // The backend server is not at fault when the caller did not send the rest of the body.
            None if upload.is_waiting() => {
                guard.finish(Outcome::Cancelled { latency });
                ExchangeResult::Reply(Err(Refusal::unknown(Reason::Deadline)))
            }
            None => {
                let opened_at = checkout.opened_at;
                let upstream = guard.upstream();
                guard.finish(Outcome::Stalled { latency });
                self.drive(|d, now| d.silent_connection(now, upstream, opened_at));
                let final_reply = Err(Refusal::unknown(Reason::BackendTimeout));
                ExchangeResult::Failed {
                    outcome: Outcome::Stalled { latency },
                    retryable: replay(),
                    final_reply,
                }
            }
            Some(Err(SendFailure {
                unsent: Some(request),
                ..
            })) => {
                guard.finish(Outcome::ConnectFailed);
                unsent(Job {
                    head,
                    body: request.into_body(),
                })
            }
            Some(Err(SendFailure {
                error,
                unsent: None,
            })) => {
                tracing::debug!("upstream: {error}");
                if let Some(error) = upload.error() {
                    guard.finish(Outcome::Cancelled { latency });
                    return ExchangeResult::Reply(Err(Refusal::unknown((&error).into())));
                }
                let outcome = Outcome::Truncated { latency };
                guard.finish(outcome);
                let final_reply = Err(Refusal::unknown(Reason::BackendFailed));
                ExchangeResult::Failed {
                    outcome,
                    retryable: replay(),
                    final_reply,
                }
            }
            Some(Ok(response)) => self.take_response(guard, checkout, response, latency, replay()),
        }
    }

    /// Classifies a response by its head. Unless the response is a failure, the lease is held until
    /// the body ends.
    fn take_response(
        &self,
        guard: LeaseGuard<C>,
        checkout: Checkout<C>,
        response: Response<Incoming>,
        latency: Duration,
        retryable: Option<Box<Job>>,
    ) -> ExchangeResult {
        let status = response.status();
        if status == StatusCode::SWITCHING_PROTOCOLS {
            // Forwarded requests carry no `upgrade`, so this status is not a valid response.
            let outcome = Outcome::Truncated { latency };
            guard.finish(outcome);
            let final_reply = Err(Refusal::unknown(Reason::BackendFailed));
            return ExchangeResult::Failed {
                outcome,
                retryable,
                final_reply,
            };
        }
        let drain_field = response.headers().get(headers::DRAIN);
        let is_draining = drain_field.is_some_and(|value| value == "1");
        if is_draining {
            let event = HomeEvent::Draining {
                service: self.service,
                upstream: guard.upstream(),
            };
            let _ = self.events.send(event);
        }
        let outcome_field = response.headers().get(headers::OUTCOME);
        if outcome_field.is_some_and(|value| value == "not-run") && !status.is_success() {
            let outcome = Outcome::NotRun { latency };
            guard.finish(outcome);
            let final_reply = Err(Refusal::not_run(Reason::BackendShed));
            return ExchangeResult::Failed {
                outcome,
                retryable,
                final_reply,
            };
        }
        if is_server_fault(status) {
            let outcome = Outcome::Error {
                status: status.as_u16(),
                latency,
            };
            guard.finish(outcome);
            // Without a retry the caller receives the backend server's own response.
            let (parts, incoming) = self.prepare(response);
            let watched = WatchedBody::new(body::incoming(incoming), move |_| drop(checkout));
            let final_reply = Ok(Response::from_parts(parts, watched.boxed_unsync()));
            return ExchangeResult::Failed {
                outcome,
                retryable,
                final_reply,
            };
        }
        let (mut parts, incoming) = self.prepare(response);
        parts.extensions.insert(RemoteTime {
            time: latency,
            relayed: false,
        });
        let (body, download) = TrackedBody::new(body::incoming(incoming));
        let _ = guard.attempt.download.set(download);
        let watched = WatchedBody::new(body.boxed_unsync(), move |end| {
            let latency = guard.elapsed();
            guard.finish(match end {
                BodyEnd::Complete if is_draining => Outcome::Drained { latency },
                BodyEnd::Complete => Outcome::Success { latency },
                BodyEnd::Truncated => Outcome::Truncated { latency },
                BodyEnd::Dropped => Outcome::Cancelled { latency },
            });
            if end == BodyEnd::Complete && !is_draining {
                checkout.release();
            }
        });
        ExchangeResult::Reply(Ok(Response::from_parts(parts, watched.boxed_unsync())))
    }

    /// Splits a response and prepares its header fields for the caller.
    fn prepare(&self, response: Response<Incoming>) -> (http::response::Parts, Incoming) {
        let (mut parts, incoming) = response.into_parts();
        headers::prepare_response(&mut parts.headers, &self.via);
        (parts, incoming)
    }

    /// Releases a lease, reporting the outcome of its attempt to the dispatcher.
    fn finish(&self, lease: Lease, outcome: Outcome) {
        let mut state = self.state.lock();
        state.running.remove(&lease);
        let actions = state.dispatcher.finish(self.clock.now(), lease, outcome);
        self.apply(state, actions);
    }

    /// Executes actions of the dispatcher, or forwards them to the control loop.
    fn apply(&self, mut state: MutexGuard<'_, HomeState>, actions: Vec<Action>) {
        let mut actions = std::collections::VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Start { ticket, lease } => {
                    let waiter = state.waiting.remove(&ticket);
                    let delivery = waiter.map(|sender| sender.send(WaitResult::Run(lease)));
                    if !matches!(delivery, Some(Ok(()))) {
                        let outcome = Outcome::Cancelled {
                            latency: Duration::ZERO,
                        };
                        let now = self.clock.now();
                        actions.extend(state.dispatcher.finish(now, lease, outcome));
                    }
                }
                Action::Refuse { ticket, reason } => {
                    if let Some(sender) = state.waiting.remove(&ticket) {
                        let _ = sender.send(WaitResult::Refused(reason));
                    }
                }
                Action::Abandon { lease, .. } => {
                    if let Some(attempt) = state.running.get(&lease) {
                        attempt.abandon.notify_one();
                    }
                }
                Action::RetireConnections {
                    upstream,
                    opened_until,
                } => {
                    self.upstreams.retire(upstream, opened_until);
                }
                action => {
                    let service = self.service;
                    let _ = self.events.send(HomeEvent::Action { service, action });
                }
            }
        }
    }
}

/// Lease on a slot of an upstream. Dropping an unfinished guard reports the attempt as cancelled.
struct LeaseGuard<C>
where
    C: Clock,
{
    home: Arc<Home<C>>,
    lease: Option<Lease>,
    attempt: Arc<Attempt>,
    started: Duration,
}

impl<C> LeaseGuard<C>
where
    C: Clock,
{
    fn upstream(&self) -> UpstreamKey {
        self.lease.map_or(UpstreamKey(0), |lease| lease.upstream)
    }

    fn elapsed(&self) -> Duration {
        self.home.clock.now().saturating_sub(self.started)
    }

    fn finish(mut self, outcome: Outcome) {
        if let Some(lease) = self.lease.take() {
            self.home.finish(lease, outcome);
        }
    }
}

impl<C> Drop for LeaseGuard<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        if let Some(lease) = self.lease.take() {
            let latency = self.elapsed();
            self.home.finish(lease, Outcome::Cancelled { latency });
        }
    }
}

/// Cancels a request that is still queued when its caller disconnects.
struct WaitGuard<C>
where
    C: Clock,
{
    home: Arc<Home<C>>,
    ticket: Ticket,
}

impl<C> Drop for WaitGuard<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        let mut state = self.home.state.lock();
        if state.waiting.remove(&self.ticket).is_some() {
            state.dispatcher.cancel(self.home.clock.now(), self.ticket);
        }
    }
}

/// Homes of all services that are assigned to this daemon.
pub struct Homes<C>
where
    C: Clock,
{
    homes: Mutex<HashMap<ServiceKey, Arc<Home<C>>>>,
}

impl<C> Default for Homes<C>
where
    C: Clock,
{
    fn default() -> Self {
        Self {
            homes: Mutex::default(),
        }
    }
}

impl<C> Homes<C>
where
    C: Clock,
{
    /// Returns the home of a service, `None` when this daemon is not a home of it.
    pub fn get(&self, service: ServiceKey) -> Option<Arc<Home<C>>> {
        self.homes.lock().get(&service).cloned()
    }

    /// Returns all homes, in no particular order.
    pub fn all(&self) -> Vec<Arc<Home<C>>> {
        self.homes.lock().values().cloned().collect()
    }

    /// Returns the home of a service, creating it when there is none.
    pub fn get_or_insert<F>(&self, service: ServiceKey, create: F) -> Arc<Home<C>>
    where
        F: FnOnce() -> Arc<Home<C>>,
    {
        self.homes
            .lock()
            .entry(service)
            .or_insert_with(create)
            .clone()
    }

    /// Runs a job at the home of its service, or refuses it with [`Reason::NoUpstream`] when this
    /// daemon has none.
    pub async fn run(&self, job: Job) -> Reply {
        match self.get(job.head.service_key()) {
            Some(home) => home.run(job).await,
            None => Err(Refusal::not_run(Reason::NoUpstream)),
        }
    }

    /// Free slots and queue length of a service, each capped at `u16::MAX`.
    pub fn load(&self, service: ServiceKey) -> Option<(u16, u16)> {
        let load = self.get(service)?.load();
        let clamp = |n: u32| n.min(u32::from(u16::MAX)) as u16;
        Some((clamp(load.free_slots), clamp(load.queued)))
    }
}

fn to_refusal(reason: QueueReason) -> Refusal {
    Refusal::not_run(match reason {
        QueueReason::QueueFull => Reason::QueueFull,
        QueueReason::Shed => Reason::Shed,
        QueueReason::Late => Reason::Deadline,
        QueueReason::NoUpstream => Reason::NoUpstream,
    })
}

/// True for statuses that indicate a fault of the server. 501 and 505 concern the request, so they
/// count as ordinary responses.
fn is_server_fault(status: StatusCode) -> bool {
    matches!(status.as_u16(), 500 | 502 | 503 | 504)
}

/// Builds the request to a backend server, with the remaining time in `cw-deadline-ms`.
fn build_request(head: &JobHead, body: Body, remaining: Duration) -> Request<Body> {
    let mut request = Request::new(body);
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = head.target.clone().into();
    *request.headers_mut() = head.headers.clone();
    let remaining_ms = remaining.as_millis() as u64;
    request
        .headers_mut()
        .insert(headers::DEADLINE_MS, HeaderValue::from(remaining_ms));
    request
}
