//! HTTP towards callers: admission, choice of a home, relay.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use corianderworks_decision::claims::{self, IssuedKey, KeyRoute, KeyState};
use corianderworks_decision::clock::Clock;
use corianderworks_decision::ids::{DaemonKey, DaemonRun, ServiceKey};
use corianderworks_decision::limits::ConcurrencyGuard;
use corianderworks_lists::settings::{Balance, Limits};
use corianderworks_wire::message::{self, Answer, Ask, RelayPurpose};
use http::uri::PathAndQuery;
use http::{HeaderValue, Method, Request, Response, Version};
use http_body::Body as HttpBody;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;

use crate::body::{self, Body, Guarded, Progress, Tracked};
use crate::grants::Grants;
use crate::headers;
use crate::home::Homes;
use crate::job::{Job, JobHead, Reply};
use crate::keys::Keys;
use crate::metrics_api::{self, Outside};
use crate::peer::Peers;
use crate::reasons::{Reason, RefusalOutcome};
use crate::refusal::Refusal;
use crate::relay::{self, RelayError};
use crate::target;
use crate::telemetry::Metrics;
use crate::view::{FleetView, RouteMatch};

/// Homes that one request may be sent to. More would multiply the load of an overloaded service.
const HOMES_PER_REQUEST: usize = 3;
/// A load report older than this says nothing.
const LOAD_REPORT_MAX_AGE: Duration = Duration::from_millis(500);

/// Longest time to ask another daemon for the state of a key.
const KEY_ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// What a home last said of its load.
#[derive(Debug, Clone, Copy)]
struct HomeLoad {
    free_slots: u16,
    queued: u16,
    at: Duration,
}

/// What an entry works with.
pub struct EntryParts<C>
where
    C: Clock,
{
    /// This daemon in its present run.
    pub me: DaemonRun,
    /// Source of time.
    pub clock: Arc<C>,
    /// What the daemon knows of the fleet.
    pub view: Arc<ArcSwap<FleetView>>,
    /// Connections to other daemons.
    pub peers: Arc<Peers>,
    /// Services that this daemon is a home of.
    pub homes: Arc<Homes<C>>,
    /// Idempotency keys.
    pub keys: Arc<Keys<C>>,
    /// Allowance of customers.
    pub grants: Arc<Grants<C>>,
    /// Limits towards callers.
    pub limits: Limits,
    /// How upstreams are picked.
    pub balance: Balance,
    /// Value of `via`.
    pub via: HeaderValue,
    /// Metrics.
    pub metrics: Metrics,
}

/// Entry of callers' requests.
pub struct Entry<C>
where
    C: Clock,
{
    /// What it works with.
    pub parts: EntryParts<C>,
    next_request: AtomicU64,
    in_flight: AtomicUsize,
    loads: Mutex<HashMap<(DaemonKey, ServiceKey), HomeLoad>>,
}

/// Counts a request as in flight until it is dropped.
pub struct InFlight<C>(Arc<Entry<C>>)
where
    C: Clock;

impl<C> Drop for InFlight<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What an entry does next with a job.
enum Next {
    /// The job is settled.
    Reply(Reply),
    /// The job goes to the next home; the refusal is for the case that there is none.
    Again(Job, Refusal),
}

impl<C> Entry<C>
where
    C: Clock,
{
    /// Creates an entry.
    pub fn new(parts: EntryParts<C>) -> Self {
        Self {
            parts,
            next_request: AtomicU64::new(1),
            in_flight: AtomicUsize::new(0),
            loads: Mutex::default(),
        }
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request as in flight.
    pub fn start_request(self: &Arc<Self>) -> InFlight<C> {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight(self.clone())
    }

    /// Serves a caller's request.
    pub async fn serve(
        self: &Arc<Self>,
        request: Request<Incoming>,
        caller: SocketAddr,
    ) -> Response<Body> {
        let guard = self.start_request();
        let start = self.parts.clock.now();
        let metrics = self.parts.metrics.clone();
        let admitted = self.admit(request, caller).await;
        let reply = match admitted {
            Ok((mut job, place)) => {
                let (body, upload) = Tracked::new(job.body);
                job.body = body.boxed_unsync();
                let reply = self.run_keyed(job).await;
                let reply = reply.map_err(|refusal| blame_caller(refusal, &upload));
                reply.map(|reply| (reply, place))
            }
            Err(refusal) => Err(refusal),
        };
        let (response, place) = match reply {
            Ok(reply) => reply,
            Err(refusal) => {
                metrics_api::count_refusal(&metrics, &refusal);
                return refusal.response();
            }
        };
        if let Some(outside) = response.extensions().get::<Outside>() {
            let total = self.parts.clock.now().saturating_sub(start);
            metrics.added_latency(total.saturating_sub(outside.time), outside.relayed);
        }
        let hold = move |end| {
            metrics_api::count_end(&metrics, end);
            drop((guard, place));
        };
        response.map(|inner| body::Watched::new(inner, hold).boxed_unsync())
    }

    /// Checks a request against the lists and turns it into a job.
    async fn admit(
        &self,
        request: Request<Incoming>,
        caller: SocketAddr,
    ) -> Result<(Job, ConcurrencyGuard), Refusal> {
        let view = self.parts.view.load_full();
        if view.table.version == 0 {
            return Err(Refusal::not_run(Reason::NotReady));
        }
        let (mut parts, body) = request.into_parts();
        let head = self
            .check(&view, &mut parts, caller)
            .map_err(Refusal::not_run)?;
        let plan = view.table.plan(&head.customer);
        let plan = plan.ok_or(Refusal::not_run(Reason::UnknownCustomer))?;
        let customer = head.customer_key();
        if body.size_hint().lower() > self.parts.limits.body_bytes {
            return Err(Refusal::not_run(Reason::TooLarge));
        }
        let place = self.parts.grants.admit(customer, plan).await?;
        let pause = Duration::from_millis(u64::from(self.parts.limits.body_pause_ms));
        let body = Guarded::new(body::incoming(body), self.parts.limits.body_bytes, pause);
        Ok((
            Job {
                head,
                body: body.boxed_unsync(),
            },
            place,
        ))
    }

    fn check(
        &self,
        view: &FleetView,
        parts: &mut http::request::Parts,
        caller: SocketAddr,
    ) -> Result<JobHead, Reason> {
        if parts.version < Version::HTTP_11 {
            // Its responses end with the connection, so a cut-off one would look complete.
            return Err(Reason::BadRequest);
        }
        headers::check_framing(&parts.headers).map_err(|_| Reason::BadRequest)?;
        headers::set_host(&mut parts.headers, &parts.uri).map_err(|_| Reason::BadRequest)?;
        let customer = headers::single(&parts.headers, &headers::CUSTOMER, "cw-customer")
            .map_err(|_| Reason::NoCustomer)?
            .ok_or(Reason::NoCustomer)?;
        let plan = view.table.plan(customer).ok_or(Reason::UnknownCustomer)?;
        if matches!(parts.method, Method::CONNECT | Method::TRACE) {
            return Err(Reason::Method);
        }
        let path = target::decode(parts.uri.path()).map_err(|_| Reason::BadRequest)?;
        let route = match view.table.route(&parts.method, &path) {
            RouteMatch::Found(route) => route,
            RouteMatch::MethodNotAllowed => return Err(Reason::Method),
            RouteMatch::NoRoute => return Err(Reason::NoRoute),
        };
        if !plan.allows(route) {
            return Err(Reason::PlanForbids);
        }
        let key = headers::single(&parts.headers, &headers::IDEMPOTENCY_KEY, "idempotency-key")
            .map_err(|_| Reason::KeyInvalid)?
            .map(str::to_owned);
        let customer: Arc<str> = customer.into();
        let timeout = self.timeout(parts, route.timeout)?;
        headers::prepare_request(
            &mut parts.headers,
            &self.parts.via,
            &caller.ip().to_string(),
        );
        parts.headers.insert(headers::REQUEST_ID, self.request_id());
        let slash = || PathAndQuery::from_static("/");
        Ok(JobHead {
            service: route.service.clone(),
            customer,
            route: route.name.clone(),
            method: parts.method.clone(),
            target: parts.uri.path_and_query().cloned().unwrap_or_else(slash),
            headers: std::mem::take(&mut parts.headers),
            idempotent: route.idempotent,
            priority: plan.priority,
            deadline: self.parts.clock.now() + timeout,
            key,
        })
    }

    /// Identity of one caller's request in the whole fleet.
    fn request_id(&self) -> HeaderValue {
        let DaemonRun {
            daemon,
            incarnation,
        } = self.parts.me;
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let text = format!("{:x}-{:x}-{number:x}", daemon.0, incarnation.0);
        HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("0"))
    }

    fn timeout(&self, parts: &http::request::Parts, route: Duration) -> Result<Duration, Reason> {
        let text = headers::single(&parts.headers, &headers::DEADLINE_MS, "cw-deadline-ms")
            .map_err(|_| Reason::BadDeadline)?;
        let Some(text) = text else { return Ok(route) };
        let left_ms: u64 = text.parse().map_err(|_| Reason::BadDeadline)?;
        Ok(route.min(Duration::from_millis(left_ms)))
    }

    /// Runs a job under its idempotency key, if it has one and needs it.
    async fn run_keyed(self: &Arc<Self>, job: Job) -> Reply {
        let Some(key) = job.head.key.clone().filter(|_| !job.head.idempotent) else {
            return self.run(job).await;
        };
        match self.key_route(&key) {
            KeyRoute::Local => self.run_issued(job).await,
            KeyRoute::Relay(owner) => self.relay_to_owner(owner, job).await,
            KeyRoute::OwnerGone(_) => Err(Refusal::unknown(Reason::KeyLost)),
            KeyRoute::Malformed => Err(Refusal::not_run(Reason::KeyInvalid)),
            KeyRoute::NeedsClaim => match self.parts.keys.claim(&key, &job.head).await {
                Ok(guard) => guard.settle(self.run(job).await),
                Err(reply) => *reply,
            },
        }
    }

    fn key_route(&self, key: &str) -> KeyRoute {
        let view = self.parts.view.load();
        let live = |daemon| view.key_issuer(daemon).map(|member| member.run.incarnation);
        claims::route(key, self.parts.me, live)
    }

    /// Runs a job whose key this run issued.
    pub async fn run_issued(self: &Arc<Self>, job: Job) -> Reply {
        let key = job
            .head
            .key
            .as_deref()
            .and_then(|key| key.parse::<IssuedKey>().ok());
        let Some(key) = key.filter(|key| key.run == self.parts.me) else {
            return Err(Refusal::unknown(Reason::KeyLost));
        };
        match self.parts.keys.begin(&key, &job.head).await {
            Ok(guard) => guard.settle(self.run(job).await),
            Err(reply) => *reply,
        }
    }

    async fn relay_to_owner(self: &Arc<Self>, owner: DaemonRun, job: Job) -> Reply {
        let request_id = self.next_request.fetch_add(1, Ordering::Relaxed);
        let member = self
            .parts
            .view
            .load()
            .key_issuer(owner.daemon)
            .map(|m| m.peer_address);
        let Some(address) = member else {
            return Err(Refusal::unknown(Reason::KeyLost));
        };
        let (purpose, me) = (RelayPurpose::KeyOwner, self.parts.me);
        let now = self.parts.clock.now();
        match relay::relay(
            &self.parts.peers,
            address,
            job,
            request_id,
            me,
            purpose,
            now,
        )
        .await
        {
            Ok(relayed) => relayed.reply,
            // An earlier arrival of the same key may have run, so this is not "not run".
            Err(RelayError::NotSent(_, error) | RelayError::Sent(error)) => {
                tracing::warn!("relay: the issuer of a key can't be reached: {error}");
                Err(Refusal::unknown(Reason::RelayLost))
            }
        }
    }

    /// State of a key that this run issued, for another daemon.
    pub fn issued_state(&self, key: &str) -> message::KeyState {
        match key.parse::<IssuedKey>() {
            Ok(key) => key_state(self.parts.keys.state(&key)),
            Err(_) => message::KeyState::Unknown,
        }
    }

    /// State of any key, for a caller.
    pub async fn key_state(&self, customer: &str, key: &str) -> message::KeyState {
        match self.key_route(key) {
            KeyRoute::Local => self.issued_state(key),
            KeyRoute::Relay(owner) => {
                let address = self
                    .parts
                    .view
                    .load()
                    .key_issuer(owner.daemon)
                    .map(|m| m.peer_address);
                let Some(address) = address else {
                    return message::KeyState::Unknown;
                };
                let ask = Ask::Key(key.to_owned());
                match self
                    .parts
                    .peers
                    .request(address, &ask, KEY_ASK_TIMEOUT)
                    .await
                {
                    Ok(Answer::Key(state)) => state,
                    _ => message::KeyState::Unknown,
                }
            }
            KeyRoute::NeedsClaim => key_state(self.parts.keys.claimed_state(customer, key).await),
            KeyRoute::OwnerGone(_) | KeyRoute::Malformed => message::KeyState::Unknown,
        }
    }

    /// Sends a job to a home, and to another one when it was provably not run.
    pub async fn run(self: &Arc<Self>, mut job: Job) -> Reply {
        let service = job.head.service_key();
        let homes = self.rank_homes(service);
        if homes.is_empty() {
            return Err(Refusal::not_run(Reason::NoUpstream));
        }
        let mut last = Refusal::not_run(Reason::NoUpstream);
        let mut may_have_run = false;
        for home in homes.into_iter().take(HOMES_PER_REQUEST) {
            let replay = Replay::of(&job);
            let next = if home == self.parts.me.daemon {
                settle(self.parts.homes.run(job).await, replay)
            } else {
                self.relay_to(home, job, replay).await
            };
            match next {
                Next::Reply(Err(refusal)) if may_have_run => return Err(refusal.after_attempt()),
                Next::Reply(reply) => return reply,
                Next::Again(again, refusal) => {
                    may_have_run |= refusal.outcome == RefusalOutcome::Unknown;
                    last = refusal;
                    job = again;
                }
            }
        }
        Err(if may_have_run {
            last.after_attempt()
        } else {
            last
        })
    }

    async fn relay_to(self: &Arc<Self>, home: DaemonKey, job: Job, replay: Replay) -> Next {
        let request_id = self.next_request.fetch_add(1, Ordering::Relaxed);
        let service = job.head.service_key();
        let purpose = RelayPurpose::Dispatch;
        let now = self.parts.clock.now();
        let address = self
            .parts
            .view
            .load()
            .member(home)
            .map(|member| member.peer_address);
        let Some(address) = address else {
            return Next::Again(job, Refusal::not_run(Reason::NoUpstream));
        };
        self.expect_load(home, service);
        let sent = relay::relay(
            &self.parts.peers,
            address,
            job,
            request_id,
            self.parts.me,
            purpose,
            now,
        )
        .await;
        match sent {
            Ok(relayed) => {
                self.note_load(home, service, relayed.free_slots, relayed.queued);
                self.parts.metrics.relay();
                let outside = Outside {
                    time: self.parts.clock.now().saturating_sub(now),
                    relayed: true,
                };
                let reply = relayed.reply.map(|mut response| {
                    response.extensions_mut().insert(outside);
                    response
                });
                settle(reply, replay)
            }
            Err(RelayError::NotSent(job, error)) => {
                tracing::warn!("relay: {error}; trying another home");
                self.note_load(home, service, 0, u16::MAX);
                Next::Again(*job, Refusal::not_run(Reason::NoUpstream))
            }
            Err(RelayError::Sent(error)) => {
                tracing::warn!("relay: {error}; the request may have run");
                self.note_load(home, service, 0, u16::MAX);
                match replay {
                    Replay::Idempotent(job) => {
                        Next::Again(job, Refusal::unknown(Reason::RelayLost))
                    }
                    _ => Next::Reply(Err(Refusal::unknown(Reason::RelayLost))),
                }
            }
        }
    }

    /// Counts a request that is on its way, so that entries don't all pick the same home until
    /// its next report.
    fn expect_load(&self, home: DaemonKey, service: ServiceKey) {
        if let Some(load) = self.loads.lock().get_mut(&(home, service)) {
            match load.free_slots.checked_sub(1) {
                Some(free_slots) => load.free_slots = free_slots,
                None => load.queued = load.queued.saturating_add(1),
            }
        }
    }

    /// Records what a home said of its load.
    pub fn note_load(&self, home: DaemonKey, service: ServiceKey, free_slots: u16, queued: u16) {
        let load = HomeLoad {
            free_slots,
            queued,
            at: self.parts.clock.now(),
        };
        self.loads.lock().insert((home, service), load);
    }

    /// Orders the homes of a service: itself with a free slot, then by reported load.
    fn rank_homes(&self, service: ServiceKey) -> Vec<DaemonKey> {
        if self.parts.balance == Balance::Alone {
            return vec![self.parts.me.daemon];
        }
        let view = self.parts.view.load();
        let Some(place) = view.placements.get(&service) else {
            return Vec::new();
        };
        let own = place
            .is_home(self.parts.me.daemon)
            .then(|| self.parts.homes.load(service))
            .flatten();
        let now = self.parts.clock.now();
        let turn = self.next_request.fetch_add(1, Ordering::Relaxed);
        let loads = self.loads.lock();
        let mut ranked: Vec<(bool, i64, u64, DaemonKey)> = place
            .homes_with_slots()
            .map(|home| {
                let load = if home == self.parts.me.daemon {
                    own
                } else {
                    let known = loads.get(&(home, service));
                    known
                        .filter(|load| now.saturating_sub(load.at) < LOAD_REPORT_MAX_AGE)
                        .map(|load| (load.free_slots, load.queued))
                };
                let spare = load.map_or(1, |(free, queued)| i64::from(free) - i64::from(queued));
                let relayed = home != self.parts.me.daemon;
                let tie = corianderworks_decision::placement::weight(home, turn);
                (
                    spare <= 0,
                    if relayed { -spare } else { i64::MIN },
                    tie,
                    home,
                )
            })
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, _, _, home)| home).collect()
    }
}

/// Whether and how a job can be sent again.
enum Replay {
    /// The request has no body, so it can be built again from its head.
    Idempotent(Job),
    /// As above, but only when it was provably not run.
    IfNotRun(Job),
    /// The body is consumed.
    Never,
}

impl Replay {
    fn of(job: &Job) -> Self {
        if !job.body.is_end_stream() {
            return Self::Never;
        }
        let copy = Job {
            head: job.head.clone(),
            body: body::empty(),
        };
        if job.head.idempotent {
            Self::Idempotent(copy)
        } else {
            Self::IfNotRun(copy)
        }
    }
}

/// Gives the caller's own fault as the reason; a home sees only that the body broke off.
fn blame_caller(refusal: Refusal, upload: &Progress) -> Refusal {
    match upload.error() {
        Some(error) if refusal.outcome == RefusalOutcome::Unknown => {
            Refusal::unknown((&error).into())
        }
        _ => refusal,
    }
}

fn settle(reply: Reply, replay: Replay) -> Next {
    let refusal = match reply {
        Err(refusal) if is_of_one_home(&refusal) => refusal,
        reply => return Next::Reply(reply),
    };
    match replay {
        Replay::Idempotent(job) | Replay::IfNotRun(job) => Next::Again(job, refusal),
        Replay::Never => Next::Reply(Err(refusal)),
    }
}

/// Whether another home may run what this one did not.
fn is_of_one_home(refusal: &Refusal) -> bool {
    let not_run = refusal.outcome == RefusalOutcome::NotRun;
    not_run
        && matches!(
            refusal.reason,
            Reason::QueueFull
                | Reason::Shed
                | Reason::BackendShed
                | Reason::NoUpstream
                | Reason::NotReady
                | Reason::Draining
        )
}

fn key_state(state: KeyState) -> message::KeyState {
    match state {
        KeyState::NotRun => message::KeyState::NotRun,
        KeyState::Running => message::KeyState::Running,
        KeyState::Done(status) => message::KeyState::Done(status),
        KeyState::Unknown => message::KeyState::Unknown,
    }
}
