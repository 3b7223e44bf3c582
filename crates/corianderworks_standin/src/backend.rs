//! Stand-in for a backend server.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{CONNECTION, HeaderMap, HeaderName, HeaderValue};
use http::{Method, Request, Response, StatusCode, Version};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

pub use crate::backend_settings::{BackendSettings, HealthReport, Mode, ServiceTime};
pub use crate::backend_stats::{BackendStats, Execution, Executions};
use crate::body::{self, Content, CutBody, SeededBytes};
use crate::control::{Controlled, Side};
use crate::serve::{self, Body, Closed, Connection, Handler, Limits, Server};

/// Header with the outcome of a refusal.
pub const OUTCOME_HEADER: &str = "cw-outcome";
/// Header of every response while the server drains.
pub const DRAIN_HEADER: &str = "cw-drain";
/// Header with the time remaining, in milliseconds.
pub const DEADLINE_HEADER: &str = "cw-deadline-ms";
/// Header with the id of a dispatched request.
pub const REQUEST_ID_HEADER: &str = "cw-request-id";
/// Header with the key of a non-idempotent request.
pub const KEY_HEADER: &str = "idempotency-key";

/// Running backend stand-in; clones refer to the same one.
#[derive(Debug, Clone)]
pub struct BackendStandIn {
    backend: Arc<Backend>,
    server: Arc<Server>,
    side: Option<Arc<Side>>,
}

impl BackendStandIn {
    /// Starts the stand-in; port 0 selects a free port.
    pub async fn start(address: SocketAddr, settings: BackendSettings) -> io::Result<Self> {
        let limits = Limits {
            connections: settings.connections,
            connect_delay: Duration::from_micros(settings.connect_us),
        };
        let mode = settings.mode;
        let (name, control) = (settings.name.clone(), settings.control_address);
        let timeline = settings.timeline.clone();
        let backend = Arc::new(Backend::new(settings));
        let server = Arc::new(Server::start(address, limits, backend.clone()).await?);
        let standin = Self {
            backend,
            server,
            side: None,
        };
        standin.set_mode(mode);
        let side = Side::start(standin.clone(), &name, control, &timeline).await?;
        Ok(Self {
            side: Some(Arc::new(side)),
            ..standin
        })
    }

    /// Address of the server.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Address of `/control/faults`, if the settings have one.
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.side.as_ref()?.address()
    }

    /// Changes the behaviour towards real requests.
    pub fn set_mode(&self, mode: Mode) {
        {
            let mut state = self.backend.state.lock();
            state.mode = mode;
            state.mode_since = Instant::now();
            state.stats.requests_since_mode = 0;
            state.stats.last_request_since_mode = None;
        }
        self.server.set_vanished(mode == Mode::Vanished);
    }

    /// Behaviour in force.
    pub fn mode(&self) -> Mode {
        self.backend.state.lock().mode
    }

    /// Makes every open connection silent for good; new ones work.
    pub fn silence_connections(&self) {
        self.server.silence();
    }

    /// Announces that the server leaves: `cw-drain`, the load endpoint, GOAWAY
    /// on HTTP/2 and `connection: close` on HTTP/1.1.
    pub fn start_drain(&self) {
        let began = {
            let mut state = self.backend.state.lock();
            let began = state.drain_since.is_none();
            state.drain_since.get_or_insert_with(Instant::now);
            began
        };
        if began {
            self.server.go_away();
        }
    }

    /// Takes back a drain.
    pub fn end_drain(&self) {
        let mut state = self.backend.state.lock();
        state.drain_since = None;
        state.stats.requests_since_drain = 0;
        state.stats.last_request_since_drain = None;
    }

    /// Begins the cold start again, as after a restart.
    pub fn restart_cold(&self) {
        self.backend.state.lock().started = Instant::now();
    }

    /// Every request executed so far.
    pub fn executions(&self) -> Executions {
        self.backend.executions.lock().clone()
    }

    /// Figures so far.
    pub fn stats(&self) -> BackendStats {
        let mut stats = self.backend.state.lock().stats;
        stats.busy = self.backend.busy() as u64;
        stats.connections = self.server.open() as u64;
        stats.connections_peak = self.server.peak() as u64;
        stats.connections_accepted = self.server.accepted();
        stats.connections_refused = self.server.refused();
        stats
    }

    /// Closes the listener and all connections at once.
    pub async fn stop(&self) {
        if let Some(side) = &self.side {
            side.stop().await;
        }
        self.server.stop().await;
    }
}

impl Controlled for BackendStandIn {
    type Faults = Mode;

    fn faults(&self) -> Mode {
        self.mode()
    }

    fn set_faults(&self, mode: Mode) {
        self.set_mode(mode);
    }
}

#[derive(Debug)]
struct State {
    mode: Mode,
    mode_since: Instant,
    drain_since: Option<Instant>,
    started: Instant,
    random: Pcg64Mcg,
    stats: BackendStats,
    load: Option<(Instant, usize)>,
}

#[derive(Debug)]
struct Backend {
    settings: BackendSettings,
    slots: Arc<Semaphore>,
    state: Mutex<State>,
    executions: Mutex<Executions>,
}

/// What the mode does to one request, drawn when it gets its slot.
#[derive(Debug, Clone, Copy, Default)]
struct Drawn {
    fail_before: Option<StatusCode>,
    fail_after: Option<StatusCode>,
    stall: bool,
    truncate: bool,
    hold: Option<Duration>,
    service_time: Duration,
}

/// Identity of a request, from its headers.
struct Asked {
    check: String,
    key: Option<String>,
    request_id: Option<String>,
    idempotent: bool,
    deadline: Option<Instant>,
    size_bytes: Option<u64>,
}

impl Asked {
    fn new(request: &Request<Incoming>, arrived: Instant) -> Self {
        let headers = request.headers();
        let deadline = header(headers, DEADLINE_HEADER)
            .and_then(|ms| ms.parse().ok())
            .map(|ms| arrived + Duration::from_millis(ms));
        Self {
            check: header(headers, body::CHECK_HEADER).unwrap_or_default(),
            key: header(headers, KEY_HEADER),
            request_id: header(headers, REQUEST_ID_HEADER),
            idempotent: !matches!(*request.method(), Method::POST | Method::PATCH),
            deadline,
            size_bytes: serve::query(request.uri(), "size").and_then(|size| size.parse().ok()),
        }
    }
}

impl Backend {
    fn new(settings: BackendSettings) -> Self {
        let now = Instant::now();
        Self {
            slots: Arc::new(Semaphore::new(settings.slots)),
            state: Mutex::new(State {
                mode: settings.mode,
                mode_since: now,
                drain_since: None,
                started: now,
                random: Pcg64Mcg::seed_from_u64(settings.seed),
                stats: BackendStats::default(),
                load: None,
            }),
            executions: Mutex::default(),
            settings,
        }
    }

    fn busy(&self) -> usize {
        self.settings.slots - self.slots.available_permits()
    }

    fn count_arrival(&self) {
        let mut guard = self.state.lock();
        let state = &mut *guard;
        let now = Instant::now();
        state.stats.requests += 1;
        state.stats.requests_since_mode += 1;
        state.stats.last_request_since_mode = Some(now - state.mode_since);
        if let Some(since) = state.drain_since {
            state.stats.requests_since_drain += 1;
            state.stats.last_request_since_drain = Some(now - since);
        }
    }

    fn draw(&self, position: u64, connection: &Connection) -> Drawn {
        let mut guard = self.state.lock();
        let state = &mut *guard;
        let mut drawn = Drawn::default();
        let mut factor = self.cold_factor(state.started.elapsed());
        let random = &mut state.random;
        let mut hit = |share: f64| random.random_bool(share.clamp(0.0, 1.0));
        match state.mode {
            Mode::Healthy | Mode::Vanished => {}
            Mode::Errors {
                share,
                status,
                run_share,
            } => {
                if hit(share) {
                    let status = StatusCode::from_u16(status).ok();
                    if hit(run_share) {
                        drawn.fail_after = status;
                    } else {
                        drawn.fail_before = status;
                    }
                }
            }
            Mode::Stall { share } => drawn.stall = hit(share),
            Mode::Slow { factor: slow } => factor *= slow,
            Mode::Truncate { share } => drawn.truncate = hit(share),
            Mode::OutOfOrder { window_ms } => {
                if connection.is_http2() && position.is_multiple_of(2) {
                    drawn.hold = Some(Duration::from_millis(window_ms));
                }
            }
            Mode::Flap { .. } => {
                if is_flapped_down(state.mode, state.mode_since.elapsed()) {
                    drawn.fail_before = Some(StatusCode::INTERNAL_SERVER_ERROR);
                }
            }
        }
        let failed = drawn.fail_before.is_some() || drawn.fail_after.is_some();
        if failed || drawn.stall || drawn.truncate {
            state.stats.failed_by_mode += 1;
        }
        drawn.service_time =
            service_time(self.settings.service_time, &mut state.random).mul_f64(factor.max(0.0));
        drawn
    }

    fn cold_factor(&self, age: Duration) -> f64 {
        let cold = Duration::from_millis(self.settings.cold_start_ms);
        if age >= cold {
            return 1.0;
        }
        let left = 1.0 - age.as_secs_f64() / cold.as_secs_f64();
        1.0 + (self.settings.cold_factor - 1.0) * left
    }

    /// Waits for a slot; `None` means that the request is shed.
    async fn take_slot(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(slot) = self.slots.clone().try_acquire_owned() {
            return Some(slot);
        }
        let _waiting = Waiting::enter(self)?;
        let wait = Duration::from_millis(self.settings.queue_ms);
        timeout(wait, self.slots.clone().acquire_owned())
            .await
            .ok()?
            .ok()
    }

    fn count_busy(&self) {
        let busy = self.busy() as u64;
        let peak = &mut self.state.lock().stats.busy_peak;
        *peak = busy.max(*peak);
    }

    fn record(&self, asked: &Asked, count: impl Fn(&mut Execution)) {
        let mut executions = self.executions.lock();
        if let Some(key) = &asked.key {
            count(executions.by_key.entry(key.clone()).or_default());
        }
        if !asked.idempotent && !asked.check.is_empty() {
            count(executions.by_check.entry(asked.check.clone()).or_default());
        }
        if let Some(id) = asked
            .request_id
            .as_ref()
            .filter(|_| self.settings.record_request_ids)
        {
            count(executions.by_request_id.entry(id.clone()).or_default());
        }
    }

    fn refuse(&self, reason: &'static str, count: impl Fn(&mut BackendStats)) -> Response<Body> {
        count(&mut self.state.lock().stats);
        let mut response = serve::whole(StatusCode::SERVICE_UNAVAILABLE, reason);
        insert(&mut response, OUTCOME_HEADER, "not-run");
        response
    }

    async fn process(
        self: &Arc<Self>,
        connection: &Connection,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Closed> {
        let asked = Asked::new(&request, Instant::now());
        let position = connection.count_request(request.version());
        self.count_arrival();
        let (parts, incoming) = request.into_parts();
        let received = incoming.collect().await.map_err(|_| Closed)?.to_bytes();
        let Some(slot) = self.take_slot().await else {
            return Ok(self.refuse("no free slot", |stats| stats.shed += 1));
        };
        self.count_busy();
        let drawn = self.draw(position, connection);
        if asked
            .deadline
            .is_some_and(|deadline| deadline <= Instant::now())
        {
            return Ok(self.refuse("past the deadline", |stats| stats.late += 1));
        }
        if let Some(status) = drawn.fail_before {
            return Ok(serve::whole(status, "failed before the run"));
        }
        let run = Run::start(self.clone(), &asked);
        if !self.work(&asked, drawn).await {
            run.stopped_at_deadline();
            return Ok(serve::whole(
                StatusCode::GATEWAY_TIMEOUT,
                "stopped at the deadline",
            ));
        }
        run.finish(&asked);
        if let Some(status) = drawn.fail_after {
            return Ok(serve::whole(status, "failed after the run"));
        }
        if let Some(window) = drawn.hold {
            let _ = timeout(window, connection.responded.notified()).await;
        }
        Ok(self.answer(&parts, &asked, &received, drawn, slot))
    }

    /// Spends the service time; false if the deadline passed first.
    async fn work(&self, asked: &Asked, drawn: Drawn) -> bool {
        let work = async {
            if drawn.stall {
                std::future::pending::<()>().await;
            }
            if !drawn.service_time.is_zero() {
                tokio::time::sleep(drawn.service_time).await;
            }
        };
        match asked.deadline {
            None => {
                work.await;
                true
            }
            Some(deadline) => tokio::time::timeout_at(deadline.into(), work).await.is_ok(),
        }
    }

    fn answer(
        &self,
        parts: &http::request::Parts,
        asked: &Asked,
        received: &Bytes,
        drawn: Drawn,
        slot: OwnedSemaphorePermit,
    ) -> Response<Body> {
        let (content, hash, length) = match asked.size_bytes {
            Some(size) => {
                let size = size.min(body::SIZE_LIMIT_BYTES);
                let bytes = SeededBytes::new(&asked.check, size);
                let hash = bytes.clone().hash();
                (Content::Seeded(bytes), hash, size)
            }
            None => {
                let value = json!({
                    "check": asked.check,
                    "method": parts.method.as_str(),
                    "path": parts.uri.path(),
                    "server": self.settings.name,
                });
                let text = Bytes::from(value.to_string());
                let (hash, length) = (blake3::hash(&text), text.len() as u64);
                (Content::Whole(text), hash, length)
            }
        };
        let cut = if drawn.truncate {
            length.div_ceil(2)
        } else {
            0
        };
        let mut response = Response::new(CutBody::new(content, cut, slot).boxed_unsync());
        if asked.size_bytes.is_none() {
            insert(&mut response, "content-type", "application/json");
        }
        insert(
            &mut response,
            body::BODY_HASH_HEADER,
            hash.to_hex().as_str(),
        );
        insert(&mut response, body::ECHO_HEADER, &asked.check);
        let received = blake3::hash(received).to_hex();
        insert(&mut response, body::REQUEST_HASH_HEADER, received.as_str());
        response
    }

    async fn health(&self) -> Response<Body> {
        tokio::time::sleep(Duration::from_millis(self.settings.health_ms)).await;
        let mut state = self.state.lock();
        state.stats.health_probes += 1;
        let healthy = match self.settings.health {
            HealthReport::AlwaysHealthy => true,
            HealthReport::AlwaysUnhealthy => false,
            HealthReport::Truthful => match state.mode {
                Mode::Healthy => true,
                Mode::Flap { .. } => !is_flapped_down(state.mode, state.mode_since.elapsed()),
                _ => false,
            },
        };
        if healthy {
            serve::whole(StatusCode::OK, "")
        } else {
            serve::whole(StatusCode::SERVICE_UNAVAILABLE, "")
        }
    }

    fn load(&self) -> Response<Body> {
        let mut state = self.state.lock();
        state.stats.load_reads += 1;
        let lag = Duration::from_millis(self.settings.load_lag_ms);
        let busy = match state.load {
            Some((sampled, busy)) if sampled.elapsed() < lag => busy,
            _ => {
                let busy = self.busy();
                state.load = Some((Instant::now(), busy));
                busy
            }
        };
        let busy = busy as i64 + self.settings.load_bias;
        let value = json!({
            "busy": busy.max(0),
            "slots": self.settings.slots,
            "draining": state.drain_since.is_some(),
        });
        serve::json(StatusCode::OK, &value)
    }
}

impl Handler for Backend {
    async fn handle(
        self: Arc<Self>,
        connection: Arc<Connection>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Closed> {
        let version = request.version();
        let mut response = match request.uri().path() {
            "/health" => self.health().await,
            "/load" => self.load(),
            _ => {
                let response = self.process(&connection, request).await?;
                connection.responded.notify_waiters();
                response
            }
        };
        if self.state.lock().drain_since.is_some() {
            insert(&mut response, DRAIN_HEADER, "1");
            if version == Version::HTTP_11 {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
        }
        Ok(response)
    }
}

/// Place in the queue for a slot.
struct Waiting<'a>(&'a Backend);

impl<'a> Waiting<'a> {
    fn enter(backend: &'a Backend) -> Option<Self> {
        let waiting = &mut backend.state.lock().stats.waiting;
        if *waiting >= backend.settings.queue as u64 {
            return None;
        }
        *waiting += 1;
        Some(Self(backend))
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.state.lock().stats.waiting -= 1;
    }
}

/// Execution in progress; dropped before its end when the client goes away.
struct Run {
    backend: Arc<Backend>,
    ended: bool,
}

impl Run {
    fn start(backend: Arc<Backend>, asked: &Asked) -> Self {
        backend.record(asked, |execution| execution.started += 1);
        backend.state.lock().stats.started += 1;
        Self {
            backend,
            ended: false,
        }
    }

    fn finish(mut self, asked: &Asked) {
        self.ended = true;
        self.backend
            .record(asked, |execution| execution.finished += 1);
        self.backend.state.lock().stats.finished += 1;
    }

    fn stopped_at_deadline(mut self) {
        self.ended = true;
        self.backend.state.lock().stats.deadline_stopped += 1;
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.ended {
            self.backend.state.lock().stats.cancelled += 1;
        }
    }
}

fn is_flapped_down(mode: Mode, age: Duration) -> bool {
    let Mode::Flap { up_ms, down_ms } = mode else {
        return false;
    };
    let period = (up_ms + down_ms).max(1);
    age.as_millis() as u64 % period >= up_ms
}

/// Draws from the log-normal distribution by the Box-Muller transform.
fn service_time(settings: ServiceTime, random: &mut Pcg64Mcg) -> Duration {
    let normal = if settings.sigma > 0.0 {
        let (u, v): (f64, f64) = (random.random(), random.random());
        (-2.0 * (1.0 - u).ln()).sqrt() * (std::f64::consts::TAU * v).cos()
    } else {
        0.0
    };
    let ms = settings.median_ms * (settings.sigma * normal).exp();
    Duration::from_secs_f64(ms.clamp(0.0, settings.max_ms.max(0.0)) / 1_000.0)
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

fn insert(response: &mut Response<Body>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        let name = HeaderName::from_static(name);
        response.headers_mut().insert(name, value);
    }
}
