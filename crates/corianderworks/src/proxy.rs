//! Caller-facing proxy: admits requests, selects a home for each and relays to homes on other
//! daemons.

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
use corianderworks_wire::message::{self, Answer, PeerRequest, RelayPurpose};
use http::uri::PathAndQuery;
use http::{HeaderValue, Method, Request, Response, Version};
use http_body::Body as HttpBody;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;

use crate::body::{self, Body, LimitedBody, Progress, TrackedBody};
use crate::grants::Grants;
use crate::headers;
use crate::home::Homes;
use crate::job::{Job, JobHead, Reply};
use crate::keys::IdempotencyKeys;
use crate::metrics_api::{self, RemoteTime};
use crate::peer::Peers;
use crate::reasons::{Reason, RefusalOutcome};
use crate::recent_refusals::RecentRefusals;
use crate::refusal::Refusal;
use crate::relay::{self, RelayError};
use crate::target;
use crate::telemetry::Metrics;
use crate::view::{FleetView, RouteMatch};

/// Maximum number of homes to which one request is sent. More would multiply the load of an
/// overloaded service.
const MAX_HOMES_PER_REQUEST: usize = 3;
/// Age from which a load report is ignored.
const LOAD_REPORT_MAX_AGE: Duration = Duration::from_millis(500);

/// Time limit for querying another daemon for the state of a key.
const KEY_STATE_TIMEOUT: Duration = Duration::from_secs(1);

/// Last known load of a home for one service.
#[derive(Debug, Clone, Copy)]
struct HomeLoad {
    free_slots: u16,
    queued: u16,
    reported_at: Duration,
}

/// State and settings that a proxy shares with the rest of the daemon.
pub struct EntryProxyParts<C>
where
    C: Clock,
{
    /// Key and incarnation of this daemon.
    pub own_run: DaemonRun,
    /// Monotonic clock of the daemon.
    pub clock: Arc<C>,
    /// Current configuration, members and placement, replaced by the control loop.
    pub view: Arc<ArcSwap<FleetView>>,
    /// Connections to other daemons, over which requests are relayed.
    pub peers: Arc<Peers>,
    /// Homes of the services that are assigned to this daemon.
    pub homes: Arc<Homes<C>>,
    /// Idempotency keys that this daemon issued, and access to claims.
    pub keys: Arc<IdempotencyKeys<C>>,
    /// Rate and concurrency limits of customers.
    pub grants: Arc<Grants<C>>,
    /// Limits on callers' requests, from the settings.
    pub limits: Limits,
    /// Load-balancing mode; with [`Balance::Alone`] this daemon dispatches each job itself.
    pub balance: Balance,
    /// Value appended to `via` in requests and responses.
    pub via: HeaderValue,
    /// Metrics that each request updates.
    pub metrics: Metrics,
}

/// Proxy at which callers' requests enter the fleet.
///
/// It runs a request at its own home of the service or relays it to a home on another daemon.
pub struct EntryProxy<C>
where
    C: Clock,
{
    /// Shared state and settings.
    pub parts: EntryProxyParts<C>,
    next_request: AtomicU64,
    in_flight: AtomicUsize,
    loads: Mutex<HashMap<(DaemonKey, ServiceKey), HomeLoad>>,
    /// Refusals that operators are alerted to.
    pub recent_refusals: RecentRefusals,
}

/// Guard that counts a request as in flight until it is dropped.
pub struct InFlightGuard<C>(Arc<EntryProxy<C>>)
where
    C: Clock;

impl<C> Drop for InFlightGuard<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Next step for a job after one home was tried.
enum NextStep {
    /// The reply is final.
    Reply(Reply),
    /// The job may be sent to the next home. The refusal is the reply when there is none.
    TryNextHome(Job, Refusal),
}

impl<C> EntryProxy<C>
where
    C: Clock,
{
    /// Creates a proxy without requests in flight or known loads.
    pub fn new(parts: EntryProxyParts<C>) -> Self {
        Self {
            parts,
            next_request: AtomicU64::new(1),
            in_flight: AtomicUsize::new(0),
            loads: Mutex::default(),
            recent_refusals: RecentRefusals::default(),
        }
    }

    /// Number of requests in flight, including those that other daemons relay to this one.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn start_request(self: &Arc<Self>) -> InFlightGuard<C> {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(self.clone())
    }

    /// Serves a caller's request and records it in the metrics.
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
            Ok((mut job, concurrency_guard)) => {
                let (body, upload) = TrackedBody::new(job.body);
                job.body = body.boxed_unsync();
                let service = job.head.service.clone();
                let reply = self.run_keyed(job).await;
                let reply = reply.map_err(|refusal| {
                    let refusal = prefer_upload_error(refusal, &upload);
                    self.recent_refusals
                        .record(refusal.reason, &service, &*self.parts.clock);
                    refusal
                });
                reply.map(|reply| (reply, concurrency_guard))
            }
            Err(refusal) => Err(refusal),
        };
        let (response, concurrency_guard) = match reply {
            Ok(reply) => reply,
            Err(refusal) => {
                metrics_api::count_refusal(&metrics, &refusal);
                return refusal.response();
            }
        };
        if let Some(outside) = response.extensions().get::<RemoteTime>() {
            let total = self.parts.clock.now().saturating_sub(start);
            metrics.added_latency(total.saturating_sub(outside.time), outside.relayed);
        }
        let on_end = move |end| {
            metrics_api::count_end(&metrics, end);
            drop((guard, concurrency_guard));
        };
        response.map(|inner| body::WatchedBody::new(inner, on_end).boxed_unsync())
    }

    /// Validates a request against the configuration, applies the customer's limits and builds the
    /// job.
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
            .validate(&view, &mut parts, caller)
            .map_err(Refusal::not_run)?;
        let plan = view.table.plan(&head.customer);
        let plan = plan.ok_or(Refusal::not_run(Reason::UnknownCustomer))?;
        let customer = head.customer_key();
        if body.size_hint().lower() > self.parts.limits.body_bytes {
            return Err(Refusal::not_run(Reason::TooLarge));
        }
        let concurrency_guard = self.parts.grants.admit(customer, plan).await?;
        let pause = Duration::from_millis(u64::from(self.parts.limits.body_pause_ms));
        let body = LimitedBody::new(body::incoming(body), self.parts.limits.body_bytes, pause);
        Ok((
            Job {
                head,
                body: body.boxed_unsync(),
            },
            concurrency_guard,
        ))
    }

    /// Validates the head of a request and prepares its header fields for the next hop.
    fn validate(
        &self,
        view: &FleetView,
        parts: &mut http::request::Parts,
        caller: SocketAddr,
    ) -> Result<JobHead, Reason> {
        if parts.version < Version::HTTP_11 {
            // An HTTP/1.0 response may end with the connection, so a truncated one would look
            // complete.
            return Err(Reason::BadRequest);
        }
        headers::check_framing(&parts.headers).map_err(|_| Reason::BadRequest)?;
        headers::set_host(&mut parts.headers, &parts.uri).map_err(|_| Reason::BadRequest)?;
        let customer = headers::single_value(&parts.headers, &headers::CUSTOMER, "cw-customer")
            .map_err(|_| Reason::NoCustomer)?
            .ok_or(Reason::NoCustomer)?;
        let plan = view.table.plan(customer).ok_or(Reason::UnknownCustomer)?;
        if matches!(parts.method, Method::CONNECT | Method::TRACE) {
            return Err(Reason::Method);
        }
        let path = target::decode_path(parts.uri.path()).map_err(|_| Reason::BadRequest)?;
        let route = match view.table.route(&parts.method, &path) {
            RouteMatch::Found(route) => route,
            RouteMatch::MethodNotAllowed => return Err(Reason::Method),
            RouteMatch::NoRoute => return Err(Reason::NoRoute),
        };
        if !plan.allows(route) {
            return Err(Reason::PlanForbids);
        }
        let key =
            headers::single_value(&parts.headers, &headers::IDEMPOTENCY_KEY, "idempotency-key")
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
        let root_path = || PathAndQuery::from_static("/");
        Ok(JobHead {
            service: route.service.clone(),
            customer,
            route: route.name.clone(),
            method: parts.method.clone(),
            target: parts
                .uri
                .path_and_query()
                .cloned()
                .unwrap_or_else(root_path),
            headers: std::mem::take(&mut parts.headers),
            idempotent: route.idempotent,
            priority: plan.priority,
            deadline: self.parts.clock.now() + timeout,
            key,
        })
    }

    /// Creates the identifier of a request, which is unique in the fleet.
    fn request_id(&self) -> HeaderValue {
        let DaemonRun {
            daemon,
            incarnation,
        } = self.parts.own_run;
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let text = format!("{:x}-{:x}-{number:x}", daemon.0, incarnation.0);
        HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("0"))
    }

    /// Returns the shorter one of the route's timeout and the time in `cw-deadline-ms`.
    fn timeout(
        &self,
        parts: &http::request::Parts,
        route_timeout: Duration,
    ) -> Result<Duration, Reason> {
        let text = headers::single_value(&parts.headers, &headers::DEADLINE_MS, "cw-deadline-ms")
            .map_err(|_| Reason::BadDeadline)?;
        let Some(text) = text else {
            return Ok(route_timeout);
        };
        let remaining_ms: u64 = text.parse().map_err(|_| Reason::BadDeadline)?;
        Ok(route_timeout.min(Duration::from_millis(remaining_ms)))
    }

    /// Runs a job under its idempotency key. Jobs on idempotent routes don't need the key.
    async fn run_keyed(self: &Arc<Self>, job: Job) -> Reply {
        let Some(key) = job.head.key.clone().filter(|_| !job.head.idempotent) else {
            return self.run(job).await;
        };
        match self.key_route(&key) {
            KeyRoute::Local => self.run_issued(job).await,
            KeyRoute::Relay(owner) => self.relay_to_owner(owner, job).await,
            KeyRoute::OwnerEnded(_) => Err(Refusal::unknown(Reason::KeyLost)),
            KeyRoute::Malformed => Err(Refusal::not_run(Reason::KeyInvalid)),
            KeyRoute::NeedsClaim => match self.parts.keys.claim(&key, &job.head).await {
                Ok(guard) => guard.track_reply(self.run(job).await),
                Err(reply) => *reply,
            },
        }
    }

    /// Determines which daemon decides on a key.
    fn key_route(&self, key: &str) -> KeyRoute {
        let view = self.parts.view.load();
        let live_incarnation =
            |daemon| view.key_issuer(daemon).map(|member| member.run.incarnation);
        claims::route(key, self.parts.own_run, live_incarnation)
    }

    /// Runs a job whose key this daemon run issued; a key of any other run is refused.
    pub async fn run_issued(self: &Arc<Self>, job: Job) -> Reply {
        let key = job
            .head
            .key
            .as_deref()
            .and_then(|key| key.parse::<IssuedKey>().ok());
        let Some(key) = key.filter(|key| key.run == self.parts.own_run) else {
            return Err(Refusal::unknown(Reason::KeyLost));
        };
        match self.parts.keys.begin(&key, &job.head).await {
            Ok(guard) => guard.track_reply(self.run(job).await),
            Err(reply) => *reply,
        }
    }

    /// Relays a job to the daemon run that issued its key.
    async fn relay_to_owner(self: &Arc<Self>, owner: DaemonRun, job: Job) -> Reply {
        let request_id = self.next_request.fetch_add(1, Ordering::Relaxed);
        let peer_address = self
            .parts
            .view
            .load()
            .key_issuer(owner.daemon)
            .map(|m| m.peer_address);
        let Some(address) = peer_address else {
            return Err(Refusal::unknown(Reason::KeyLost));
        };
        let (purpose, own_run) = (RelayPurpose::KeyOwner, self.parts.own_run);
        let now = self.parts.clock.now();
        match relay::relay(
            &self.parts.peers,
            address,
            job,
            request_id,
            own_run,
            purpose,
            now,
        )
        .await
        {
            Ok(relayed) => relayed.reply,
            // An earlier request with the same key may have run, so the outcome is not "not run".
            Err(RelayError::NotSent(_, error) | RelayError::Sent(error)) => {
                tracing::warn!("relay: cannot reach the issuer of a key: {error}");
                Err(Refusal::unknown(Reason::RelayLost))
            }
        }
    }

    /// State of a key that this daemon run issued, as reported to another daemon.
    pub fn issued_state(&self, key: &str) -> message::KeyState {
        match key.parse::<IssuedKey>() {
            Ok(key) => key_state(self.parts.keys.state(&key)),
            Err(_) => message::KeyState::Unknown,
        }
    }

    /// State of a key as reported to a caller, queried from the issuer or the platform if needed.
    ///
    /// It is unknown when these don't answer.
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
                let ask = PeerRequest::Key(key.to_owned());
                match self
                    .parts
                    .peers
                    .request(address, &ask, KEY_STATE_TIMEOUT)
                    .await
                {
                    Ok(Answer::Key(state)) => state,
                    _ => message::KeyState::Unknown,
                }
            }
            KeyRoute::NeedsClaim => key_state(self.parts.keys.claimed_state(customer, key).await),
            KeyRoute::OwnerEnded(_) | KeyRoute::Malformed => message::KeyState::Unknown,
        }
    }

    /// Runs a job at a home, and at further ones while it was provably not run or is idempotent.
    pub async fn run(self: &Arc<Self>, mut job: Job) -> Reply {
        let service = job.head.service_key();
        let homes = self.rank_homes(service);
        if homes.is_empty() {
            return Err(Refusal::not_run(Reason::NoUpstream));
        }
        let mut last = Refusal::not_run(Reason::NoUpstream);
        let mut may_have_run = false;
        for home in homes.into_iter().take(MAX_HOMES_PER_REQUEST) {
            let replay = Replay::of(&job);
            let next = if home == self.parts.own_run.daemon {
                next_step(self.parts.homes.run(job).await, replay)
            } else {
                self.relay_to(home, job, replay).await
            };
            match next {
                NextStep::Reply(Err(refusal)) if may_have_run => {
                    return Err(refusal.after_attempt());
                }
                NextStep::Reply(reply) => return reply,
                NextStep::TryNextHome(retryable, refusal) => {
                    may_have_run |= refusal.outcome == RefusalOutcome::Unknown;
                    last = refusal;
                    job = retryable;
                }
            }
        }
        Err(if may_have_run {
            last.after_attempt()
        } else {
            last
        })
    }

    /// Relays a job to a home on another daemon.
    async fn relay_to(self: &Arc<Self>, home: DaemonKey, job: Job, replay: Replay) -> NextStep {
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
            return NextStep::TryNextHome(job, Refusal::not_run(Reason::NoUpstream));
        };
        self.add_expected_load(home, service);
        let relay_result = relay::relay(
            &self.parts.peers,
            address,
            job,
            request_id,
            self.parts.own_run,
            purpose,
            now,
        )
        .await;
        match relay_result {
            Ok(relayed) => {
                self.record_load(home, service, relayed.free_slots, relayed.queued);
                self.parts.metrics.relay();
                let outside = RemoteTime {
                    time: self.parts.clock.now().saturating_sub(now),
                    relayed: true,
                };
                let reply = relayed.reply.map(|mut response| {
                    response.extensions_mut().insert(outside);
                    response
                });
                next_step(reply, replay)
            }
            Err(RelayError::NotSent(job, error)) => {
                tracing::warn!("relay: {error}; trying another home");
                self.record_load(home, service, 0, u16::MAX);
                NextStep::TryNextHome(*job, Refusal::not_run(Reason::NoUpstream))
            }
            Err(RelayError::Sent(error)) => {
                tracing::warn!("relay: {error}; the request may have run");
                self.record_load(home, service, 0, u16::MAX);
                match replay {
                    Replay::Idempotent(job) => {
                        NextStep::TryNextHome(job, Refusal::unknown(Reason::RelayLost))
                    }
                    _ => NextStep::Reply(Err(Refusal::unknown(Reason::RelayLost))),
                }
            }
        }
    }

    /// Adds a request that is being relayed to the known load of a home, so that requests don't all
    /// go to the same home until its next report.
    fn add_expected_load(&self, home: DaemonKey, service: ServiceKey) {
        if let Some(load) = self.loads.lock().get_mut(&(home, service)) {
            match load.free_slots.checked_sub(1) {
                Some(free_slots) => load.free_slots = free_slots,
                None => load.queued = load.queued.saturating_add(1),
            }
        }
    }

    /// Records the load that a home reported.
    pub fn record_load(&self, home: DaemonKey, service: ServiceKey, free_slots: u16, queued: u16) {
        let load = HomeLoad {
            free_slots,
            queued,
            reported_at: self.parts.clock.now(),
        };
        self.loads.lock().insert((home, service), load);
    }

    /// Orders the homes of a service by preference.
    ///
    /// Homes with spare slots come before those without, and this daemon comes first in its group.
    /// The others are ordered by spare slots, of which a home of unknown load is assumed to have
    /// one. Ties are broken by a hash that differs between requests.
    fn rank_homes(&self, service: ServiceKey) -> Vec<DaemonKey> {
        if self.parts.balance == Balance::Alone {
            return vec![self.parts.own_run.daemon];
        }
        let view = self.parts.view.load();
        let Some(placement) = view.placements.get(&service) else {
            return Vec::new();
        };
        let own_load = placement
            .is_home(self.parts.own_run.daemon)
            .then(|| self.parts.homes.load(service))
            .flatten();
        let now = self.parts.clock.now();
        let tie_seed = self.next_request.fetch_add(1, Ordering::Relaxed);
        let loads = self.loads.lock();
        let mut ranked: Vec<(bool, i64, u64, DaemonKey)> = placement
            .homes_with_slots()
            .map(|home| {
                let load = if home == self.parts.own_run.daemon {
                    own_load
                } else {
                    let report = loads.get(&(home, service));
                    report
                        .filter(|load| now.saturating_sub(load.reported_at) < LOAD_REPORT_MAX_AGE)
                        .map(|load| (load.free_slots, load.queued))
                };
                let spare_slots =
                    load.map_or(1, |(free, queued)| i64::from(free) - i64::from(queued));
                let relayed = home != self.parts.own_run.daemon;
                let tie_breaker = corianderworks_decision::placement::weight(home, tie_seed);
                (
                    spare_slots <= 0,
                    if relayed { -spare_slots } else { i64::MIN },
                    tie_breaker,
                    home,
                )
            })
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, _, _, home)| home).collect()
    }
}

/// Copy of a job for another attempt, with the condition under which it may be sent.
enum Replay {
    /// The request has no body, so it can be built again from its head.
    Idempotent(Job),
    /// As above, but the request may be sent again only when it was provably not run.
    IfNotRun(Job),
    /// The request has a body, which the first attempt consumes.
    Never,
}

impl Replay {
    /// Copies a job before its first attempt.
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

/// Replaces the reason of an unknown outcome by the caller's upload error, if there was one.
///
/// A home on another daemon only sees that the body was truncated.
fn prefer_upload_error(refusal: Refusal, upload: &Progress) -> Refusal {
    match upload.error() {
        Some(error) if refusal.outcome == RefusalOutcome::Unknown => {
            Refusal::unknown((&error).into())
        }
        _ => refusal,
    }
}

/// Decides whether a refused job may be sent to another home.
fn next_step(reply: Reply, replay: Replay) -> NextStep {
    let refusal = match reply {
        Err(refusal) if is_home_specific(&refusal) => refusal,
        reply => return NextStep::Reply(reply),
    };
    match replay {
        Replay::Idempotent(job) | Replay::IfNotRun(job) => NextStep::TryNextHome(job, refusal),
        Replay::Never => NextStep::Reply(Err(refusal)),
    }
}

/// True for refusals that concern one home only, so that another one may run the request.
fn is_home_specific(refusal: &Refusal) -> bool {
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

/// Converts the state of a key to its wire format.
fn key_state(state: KeyState) -> message::KeyState {
    match state {
        KeyState::NotRun => message::KeyState::NotRun,
        KeyState::Running => message::KeyState::Running,
        KeyState::Done(status) => message::KeyState::Done(status),
        KeyState::Unknown => message::KeyState::Unknown,
    }
}
