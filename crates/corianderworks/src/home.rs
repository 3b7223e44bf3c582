//! Home of a service: runs its requests on the upstreams that this daemon owns.

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

use crate::body::{self, Body, BodyEnd, Progress, Tracked, Watched};
use crate::headers;
use crate::job::{Job, JobHead, Reply};
use crate::metrics_api::RemoteTime;
use crate::reasons::{Reason, RefusalOutcome};
use crate::refusal::Refusal;
use crate::upstream::{Checkout, Failed, Upstreams};

/// What the control loop has to do for a home.
#[derive(Debug)]
pub enum HomeEvent {
    /// The dispatcher asks for something.
    Action {
        /// Service.
        service: ServiceKey,
        /// What to do.
        action: Action,
    },
    /// An upstream said that it drains.
    Draining {
        /// Service.
        service: ServiceKey,
        /// Upstream.
        upstream: UpstreamKey,
    },
}

/// Answer to a request that waits for a slot.
enum Granted {
    Run(Lease),
    Refused(QueueReason),
}

/// A request at an upstream.
#[derive(Default)]
struct Attempt {
    abandon: Notify,
    upload: OnceLock<Arc<Progress>>,
    download: OnceLock<Arc<Progress>>,
}

impl Attempt {
    /// Whether the backend server moves, or has to wait for the caller.
    fn is_alive(&self) -> bool {
        let bodies = [self.upload.get(), self.download.get()];
        if bodies.into_iter().flatten().any(|body| body.take_moved()) {
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
    waiting: HashMap<Ticket, oneshot::Sender<Granted>>,
    running: HashMap<Lease, Arc<Attempt>>,
    addresses: HashMap<UpstreamKey, SocketAddr>,
}

/// One service at one of its homes.
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

/// What follows one exchange with a backend server.
enum Step {
    Reply(Reply),
    /// The exchange failed; the request can be sent again when this allows it.
    Failed {
        outcome: Outcome,
        again: Option<Box<Job>>,
        otherwise: Reply,
    },
}

impl Step {
    /// Turns a refusal with "not run" into "unknown", after another attempt that may have run.
    fn after_attempt(mut self) -> Self {
        let (Self::Reply(reply)
        | Self::Failed {
            otherwise: reply, ..
        }) = &mut self;
        if let Err(refusal) = reply {
            *refusal = refusal.after_attempt();
        }
        self
    }
}

/// Whether an attempt with this reply may have run.
fn ran(reply: &Reply) -> bool {
    !matches!(reply, Err(refusal) if refusal.outcome == RefusalOutcome::NotRun)
}

impl<C> Home<C>
where
    C: Clock,
{
    /// Creates a home without upstreams.
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

    /// Sets the addresses of the service's backend servers.
    pub fn set_addresses(&self, addresses: HashMap<UpstreamKey, SocketAddr>) {
        self.state.lock().addresses = addresses;
    }

    /// Gives the dispatcher an event and carries out what follows from it.
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
        // A caller that sends or reads slowly is no sign of a stalled backend server.
        for (lease, _) in running.iter().filter(|(_, attempt)| attempt.is_alive()) {
            dispatcher.progress(now, *lease);
        }
        let actions = event(dispatcher, now);
        self.apply(state, actions);
    }

    /// Reads from the dispatcher.
    pub fn read<F, T>(&self, read: F) -> T
    where
        F: FnOnce(&mut Dispatcher, Duration) -> T,
    {
        read(&mut self.state.lock().dispatcher, self.clock.now())
    }

    /// Free slots and queue length.
    pub fn load(&self) -> Load {
        self.read(|dispatcher, now| dispatcher.load(now))
    }

    /// Address of an upstream.
    pub fn address(&self, upstream: UpstreamKey) -> Option<SocketAddr> {
        self.state.lock().addresses.get(&upstream).copied()
    }

    /// Runs a job on an upstream.
    pub async fn run(self: &Arc<Self>, mut job: Job) -> Reply {
        let mut request = RequestView {
            ticket: Ticket(0),
            customer: job.head.customer_key(),
            priority: job.head.priority,
            deadline: job.head.deadline,
            idempotent: job.head.idempotent,
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
            let mut step = self.exchange_hedged(guard, job, &request).await;
            if may_have_run {
                step = step.after_attempt();
            }
            match step {
                Step::Reply(reply) => return reply,
                Step::Failed {
                    outcome,
                    again,
                    otherwise,
                } => {
                    let may =
                        self.read(|dispatcher, now| dispatcher.may_retry(now, &request, outcome));
                    may_have_run |= ran(&otherwise);
                    match (may, again) {
                        (Retry::Retry, Some(again)) => job = *again,
                        _ => return otherwise,
                    }
                    request.tried.push(upstream);
                }
            }
        }
    }

    /// Waits for a slot until the deadline.
    async fn acquire(self: &Arc<Self>, request: &RequestView) -> Result<LeaseGuard<C>, Refusal> {
        let (sender, receiver) = oneshot::channel();
        {
            let now = self.clock.now();
            let mut state = self.state.lock();
            match state.dispatcher.admit(now, request.clone()) {
                Admission::Run(lease) => return Ok(self.guard(&mut state, lease)),
                Admission::Refuse(reason) => return Err(refuse(reason)),
                Admission::Wait => state.waiting.insert(request.ticket, sender),
            };
        }
        let _forget = WaitGuard {
            home: self.clone(),
            ticket: request.ticket,
        };
        match receiver.await {
            Ok(Granted::Run(lease)) => Ok(self.guard(&mut self.state.lock(), lease)),
            Ok(Granted::Refused(reason)) => Err(refuse(reason)),
            Err(_) => Err(Refusal::not_run(Reason::NoUpstream)),
        }
    }

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

    /// Exchanges a request, with a second attempt beside it when the first is late.
    async fn exchange_hedged(
        self: &Arc<Self>,
        guard: LeaseGuard<C>,
        job: Job,
        request: &RequestView,
    ) -> Step {
        let hedge_after = match job.head.idempotent && job.body.is_end_stream() {
            true => self.read(|dispatcher, now| dispatcher.hedge_after(now, request)),
            false => None,
        };
        let Some(hedge_after) = hedge_after else {
            return self.exchange(guard, job).await;
        };
        let copy = Job {
            head: job.head.clone(),
            body: body::empty(),
        };
        let mut tried = request.clone();
        tried.tried.push(guard.upstream());
        let mut first = Box::pin(self.exchange(guard, job));
        tokio::select! {
            step = &mut first => return step,
            () = tokio::time::sleep(hedge_after) => {}
        }
        tried.ticket = Ticket(self.next_ticket.fetch_add(1, Ordering::Relaxed));
        let lease = {
            let mut state = self.state.lock();
            let now = self.clock.now();
            let lease = state.dispatcher.admit_hedge(now, &tried);
            lease.map(|lease| self.guard(&mut state, lease))
        };
        let Some(second) = lease else {
            return first.await;
        };
        let mut second = Box::pin(self.exchange(second, copy));
        let step = tokio::select! {
            step = &mut first => match step {
                Step::Failed { .. } => second.await,
                reply => reply,
            },
            step = &mut second => match step {
                Step::Failed { .. } => first.await,
                reply => reply,
            },
        };
        // Whatever the step says, the other attempt may have run.
        step.after_attempt()
    }

    /// Exchanges a request with one backend server.
    async fn exchange(self: &Arc<Self>, guard: LeaseGuard<C>, job: Job) -> Step {
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
        let unsent = |again| Step::Failed {
            outcome: Outcome::ConnectFailed,
            again: Some(Box::new(again)),
            otherwise: Err(Refusal::not_run(Reason::NoUpstream)),
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
        let left = head.time_left(self.clock.now());
        if left.is_zero() {
            // The daemon may have been paused since the request was admitted.
            let latency = guard.elapsed();
            guard.finish(Outcome::Cancelled { latency });
            return Step::Reply(Err(Refusal::not_run(Reason::Deadline)));
        }
        let (body, upload) = Tracked::new(body);
        let mut request = build_request(&head, body.boxed_unsync(), left);
        let attempt = guard.attempt.clone();
        let _ = attempt.upload.set(upload.clone());
        let sent = loop {
            let sent = tokio::select! {
                sent = tokio::time::timeout(left, checkout.send(request)) => sent.ok(),
                () = attempt.abandon.notified(), if head.idempotent => None,
            };
            // The backend server may close an idle connection just as it is taken; that says
            // nothing about the server, so a new connection is tried on the same slot.
            match sent {
                Some(Err(Failed {
                    unsent: Some(again),
                    error,
                })) if checkout.reused => {
                    match self.upstreams.connect(guard.upstream(), address).await {
                        Ok(fresh) => (checkout, request) = (fresh, again),
                        Err(_) => {
                            break Some(Err(Failed {
                                unsent: Some(again),
                                error,
                            }));
                        }
                    }
                }
                sent => break sent,
            }
        };
        let latency = guard.elapsed();
        match sent {
            // The backend server is not to blame when the rest of the body did not come.
            None if upload.is_waiting() => {
                guard.finish(Outcome::Cancelled { latency });
                Step::Reply(Err(Refusal::unknown(Reason::Deadline)))
            }
            None => {
                let born = checkout.born;
                let upstream = guard.upstream();
                guard.finish(Outcome::Stalled { latency });
                self.drive(|d, now| d.silent_connection(now, upstream, born));
                let otherwise = Err(Refusal::unknown(Reason::BackendTimeout));
                Step::Failed {
                    outcome: Outcome::Stalled { latency },
                    again: replay(),
                    otherwise,
                }
            }
            Some(Err(Failed {
                unsent: Some(request),
                ..
            })) => {
                guard.finish(Outcome::ConnectFailed);
                unsent(Job {
                    head,
                    body: request.into_body(),
                })
            }
            Some(Err(Failed {
                error,
                unsent: None,
            })) => {
                tracing::debug!("upstream: {error}");
                if let Some(error) = upload.error() {
                    guard.finish(Outcome::Cancelled { latency });
                    return Step::Reply(Err(Refusal::unknown((&error).into())));
                }
                let outcome = Outcome::Truncated { latency };
                guard.finish(outcome);
                let otherwise = Err(Refusal::unknown(Reason::BackendFailed));
                Step::Failed {
                    outcome,
                    again: replay(),
                    otherwise,
                }
            }
            Some(Ok(response)) => self.take_response(guard, checkout, response, latency, replay()),
        }
    }

    fn take_response(
        &self,
        guard: LeaseGuard<C>,
        checkout: Checkout<C>,
        response: Response<Incoming>,
        latency: Duration,
        again: Option<Box<Job>>,
    ) -> Step {
        let status = response.status();
        if status == StatusCode::SWITCHING_PROTOCOLS {
            // No request asks for another protocol, so this is no response to it.
            let outcome = Outcome::Truncated { latency };
            guard.finish(outcome);
            let otherwise = Err(Refusal::unknown(Reason::BackendFailed));
            return Step::Failed {
                outcome,
                again,
                otherwise,
            };
        }
        let drain = response.headers().get(headers::DRAIN);
        let drains = drain.is_some_and(|value| value == "1");
        if drains {
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
            let otherwise = Err(Refusal::not_run(Reason::BackendShed));
            return Step::Failed {
                outcome,
                again,
                otherwise,
            };
        }
        if is_server_fault(status) {
            let outcome = Outcome::Error {
                status: status.as_u16(),
                latency,
            };
            guard.finish(outcome);
            // Without a retry the caller gets the backend server's own words.
            let (parts, incoming) = self.prepare(response);
            let watched = Watched::new(body::incoming(incoming), move |_| drop(checkout));
            let otherwise = Ok(Response::from_parts(parts, watched.boxed_unsync()));
            return Step::Failed {
                outcome,
                again,
                otherwise,
            };
        }
        let (mut parts, incoming) = self.prepare(response);
        parts.extensions.insert(RemoteTime {
            time: latency,
            relayed: false,
        });
        let (body, download) = Tracked::new(body::incoming(incoming));
        let _ = guard.attempt.download.set(download);
        let watched = Watched::new(body.boxed_unsync(), move |end| {
            let latency = guard.elapsed();
            guard.finish(match end {
                BodyEnd::Whole if drains => Outcome::Drained { latency },
                BodyEnd::Whole => Outcome::Success { latency },
                BodyEnd::Truncated => Outcome::Truncated { latency },
                BodyEnd::Dropped => Outcome::Cancelled { latency },
            });
            if end == BodyEnd::Whole && !drains {
                checkout.release();
            }
        });
        Step::Reply(Ok(Response::from_parts(parts, watched.boxed_unsync())))
    }

    fn prepare(&self, response: Response<Incoming>) -> (http::response::Parts, Incoming) {
        let (mut parts, incoming) = response.into_parts();
        headers::prepare_response(&mut parts.headers, &self.via);
        (parts, incoming)
    }

    fn finish(&self, lease: Lease, outcome: Outcome) {
        let mut state = self.state.lock();
        state.running.remove(&lease);
        let actions = state.dispatcher.finish(self.clock.now(), lease, outcome);
        self.apply(state, actions);
    }

    fn apply(&self, mut state: MutexGuard<'_, HomeState>, actions: Vec<Action>) {
        let mut actions = std::collections::VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Start { ticket, lease } => {
                    let waiter = state.waiting.remove(&ticket);
                    let unused = waiter.map(|sender| sender.send(Granted::Run(lease)));
                    if !matches!(unused, Some(Ok(()))) {
                        let outcome = Outcome::Cancelled {
                            latency: Duration::ZERO,
                        };
                        let now = self.clock.now();
                        actions.extend(state.dispatcher.finish(now, lease, outcome));
                    }
                }
                Action::Refuse { ticket, reason } => {
                    if let Some(sender) = state.waiting.remove(&ticket) {
                        let _ = sender.send(Granted::Refused(reason));
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

/// Slot of an upstream, released when dropped.
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

/// Forgets a waiting request whose caller went away.
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

/// Services that this daemon is a home of.
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
    /// Finds the home of a service.
    pub fn get(&self, service: ServiceKey) -> Option<Arc<Home<C>>> {
        self.homes.lock().get(&service).cloned()
    }

    /// Returns all homes.
    pub fn all(&self) -> Vec<Arc<Home<C>>> {
        self.homes.lock().values().cloned().collect()
    }

    /// Finds the home of a service, which is created when there is none.
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

    /// Runs a job at the home of its service.
    pub async fn run(&self, job: Job) -> Reply {
        match self.get(job.head.service_key()) {
            Some(home) => home.run(job).await,
            None => Err(Refusal::not_run(Reason::NoUpstream)),
        }
    }

    /// Free slots and queue length of a service.
    pub fn load(&self, service: ServiceKey) -> Option<(u16, u16)> {
        let load = self.get(service)?.load();
        let clamp = |n: u32| n.min(u32::from(u16::MAX)) as u16;
        Some((clamp(load.free_slots), clamp(load.queued)))
    }
}

fn refuse(reason: QueueReason) -> Refusal {
    Refusal::not_run(match reason {
        QueueReason::QueueFull => Reason::QueueFull,
        QueueReason::Shed => Reason::Shed,
        QueueReason::Late => Reason::Deadline,
        QueueReason::NoUpstream => Reason::NoUpstream,
    })
}

/// Statuses that speak of the server rather than of the request. 501 and 505 are answers.
fn is_server_fault(status: StatusCode) -> bool {
    matches!(status.as_u16(), 500 | 502 | 503 | 504)
}

fn build_request(head: &JobHead, body: Body, left: Duration) -> Request<Body> {
    let mut request = Request::new(body);
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = head.target.clone().into();
    *request.headers_mut() = head.headers.clone();
    let left_ms = left.as_millis() as u64;
    request
        .headers_mut()
        .insert(headers::DEADLINE_MS, HeaderValue::from(left_ms));
    request
}
