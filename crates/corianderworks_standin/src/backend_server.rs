//! Processing of requests by the backend stand-in.

use std::collections::HashMap;
use std::net::IpAddr;
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

use crate::backend::{
    DEADLINE_HEADER, DRAIN_HEADER, KEY_HEADER, OUTCOME_HEADER, REQUEST_ID_HEADER,
};
use crate::backend_run::{Run, Waiting, is_flapped_down, service_time};
use crate::backend_settings::{BackendSettings, HealthReport, Mode};
use crate::backend_stats::{BackendStats, Execution, Executions};
use crate::body::{self, Content, CutBody, SeededBytes};
use crate::serve::{self, Body, Closed, Connection, Handler};

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) mode: Mode,
    pub(crate) paths: HashMap<IpAddr, Mode>,
    pub(crate) mode_since: Instant,
    pub(crate) drain_since: Option<Instant>,
    pub(crate) started: Instant,
    random: Pcg64Mcg,
    pub(crate) stats: BackendStats,
    load: Option<(Instant, usize)>,
}

#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) settings: BackendSettings,
    slots: Arc<Semaphore>,
    pub(crate) state: Mutex<State>,
    pub(crate) executions: Mutex<Executions>,
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
pub(crate) struct Asked {
    check: String,
    key: Option<String>,
    request_id: Option<String>,
    idempotent: bool,
    deadline: Option<Instant>,
    size_bytes: Option<u64>,
}

impl Asked {
    pub(crate) fn new(request: &Request<Incoming>, arrived: Instant) -> Self {
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
    pub(crate) fn new(settings: BackendSettings) -> Self {
        let now = Instant::now();
        Self {
            slots: Arc::new(Semaphore::new(settings.slots)),
            state: Mutex::new(State {
                mode: settings.mode,
                paths: HashMap::new(),
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

    pub(crate) fn busy(&self) -> usize {
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
        let path = state.paths.get(&connection.peer.ip());
        let mode = path.copied().unwrap_or(state.mode);
        match mode {
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
                if is_flapped_down(mode, state.mode_since.elapsed()) {
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

    pub(crate) fn record(&self, asked: &Asked, count: impl Fn(&mut Execution)) {
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

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

fn insert(response: &mut Response<Body>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        let name = HeaderName::from_static(name);
        response.headers_mut().insert(name, value);
    }
}
