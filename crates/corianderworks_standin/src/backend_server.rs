//! Request processing of the backend stand-in.

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
use crate::backend_execution::{ExecutionGuard, QueuedGuard, is_flap_failing, sample_service_time};
use crate::backend_settings::{BackendSettings, HealthReport, Mode};
use crate::backend_stats::{BackendStats, Execution, Executions};
use crate::body::{self, Content, SeededBytes, TruncatableBody};
use crate::serve::{self, Body, Connection, ConnectionClosed, Handler};

#[derive(Debug)]
pub(crate) struct BackendState {
    pub(crate) mode: Mode,
    pub(crate) path_modes: HashMap<IpAddr, Mode>,
    pub(crate) mode_since: Instant,
    pub(crate) drain_since: Option<Instant>,
    pub(crate) cold_start_since: Instant,
    rng: Pcg64Mcg,
    pub(crate) stats: BackendStats,
    load_sample: Option<(Instant, usize)>,
}

#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) settings: BackendSettings,
    slots: Arc<Semaphore>,
    pub(crate) state: Mutex<BackendState>,
    pub(crate) executions: Mutex<Executions>,
}

/// Behaviour towards one request, sampled from the mode when the request gets its
/// slot.
#[derive(Debug, Clone, Copy, Default)]
struct RequestBehaviour {
    fail_before: Option<StatusCode>,
    fail_after: Option<StatusCode>,
    stall: bool,
    truncate: bool,
    hold_back: Option<Duration>,
    service_time: Duration,
}

/// Identifiers, deadline and requested body size of a request, from its headers
/// and query.
pub(crate) struct RequestInfo {
    check_id: String,
    key: Option<String>,
    request_id: Option<String>,
    idempotent: bool,
    deadline: Option<Instant>,
    size_bytes: Option<u64>,
}

impl RequestInfo {
    pub(crate) fn new(request: &Request<Incoming>, arrived_at: Instant) -> Self {
        let headers = request.headers();
        let deadline = header(headers, DEADLINE_HEADER)
            .and_then(|ms| ms.parse().ok())
            .map(|ms| arrived_at + Duration::from_millis(ms));
        Self {
            check_id: header(headers, body::CHECK_HEADER).unwrap_or_default(),
            key: header(headers, KEY_HEADER),
            request_id: header(headers, REQUEST_ID_HEADER),
            idempotent: !matches!(*request.method(), Method::POST | Method::PATCH),
            deadline,
            size_bytes: serve::query_parameter(request.uri(), "size")
                .and_then(|size| size.parse().ok()),
        }
    }
}

impl Backend {
    pub(crate) fn new(settings: BackendSettings) -> Self {
        let now = Instant::now();
        Self {
            slots: Arc::new(Semaphore::new(settings.slots)),
            state: Mutex::new(BackendState {
                mode: settings.mode,
                path_modes: HashMap::new(),
                mode_since: now,
                drain_since: None,
                cold_start_since: now,
                rng: Pcg64Mcg::seed_from_u64(settings.seed),
                stats: BackendStats::default(),
                load_sample: None,
            }),
            executions: Mutex::default(),
            settings,
        }
    }

    pub(crate) fn busy(&self) -> usize {
        self.settings.slots - self.slots.available_permits()
    }

    fn record_arrival(&self) {
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

    fn sample_behaviour(&self, request_index: u64, connection: &Connection) -> RequestBehaviour {
        let mut guard = self.state.lock();
        let state = &mut *guard;
        let mut behaviour = RequestBehaviour::default();
        let mut factor = self.cold_start_factor(state.cold_start_since.elapsed());
        let rng = &mut state.rng;
        let mut occurs = |share: f64| rng.random_bool(share.clamp(0.0, 1.0));
        let path_mode = state.path_modes.get(&connection.peer.ip());
        let mode = path_mode.copied().unwrap_or(state.mode);
        match mode {
            Mode::Healthy | Mode::Vanished => {}
            Mode::Errors {
                share,
                status,
                run_share,
            } => {
                if occurs(share) {
                    let status = StatusCode::from_u16(status).ok();
                    if occurs(run_share) {
                        behaviour.fail_after = status;
                    } else {
                        behaviour.fail_before = status;
                    }
                }
            }
            Mode::Stall { share } => behaviour.stall = occurs(share),
            Mode::Slow { factor: slowdown } => factor *= slowdown,
            Mode::Truncate { share } => behaviour.truncate = occurs(share),
            Mode::OutOfOrder { window_ms } => {
                if connection.is_http2() && request_index.is_multiple_of(2) {
                    behaviour.hold_back = Some(Duration::from_millis(window_ms));
                }
            }
            Mode::Flap { .. } => {
                if is_flap_failing(mode, state.mode_since.elapsed()) {
                    behaviour.fail_before = Some(StatusCode::INTERNAL_SERVER_ERROR);
                }
            }
        }
        let failed = behaviour.fail_before.is_some() || behaviour.fail_after.is_some();
        if failed || behaviour.stall || behaviour.truncate {
            state.stats.failed_by_mode += 1;
        }
        behaviour.service_time = sample_service_time(self.settings.service_time, &mut state.rng)
            .mul_f64(factor.max(0.0));
        behaviour
    }

    fn cold_start_factor(&self, elapsed: Duration) -> f64 {
        let cold_start = Duration::from_millis(self.settings.cold_start_ms);
        if elapsed >= cold_start {
            return 1.0;
        }
        let remaining_share = 1.0 - elapsed.as_secs_f64() / cold_start.as_secs_f64();
        1.0 + (self.settings.cold_factor - 1.0) * remaining_share
    }

    /// Acquires a slot, waiting in the queue if necessary; `None` if the request must
    /// be shed.
    async fn acquire_slot(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(slot) = self.slots.clone().try_acquire_owned() {
            return Some(slot);
        }
        let _queued = QueuedGuard::try_enter(self)?;
        let wait = Duration::from_millis(self.settings.queue_ms);
        timeout(wait, self.slots.clone().acquire_owned())
            .await
            .ok()?
            .ok()
    }

    fn update_busy_peak(&self) {
        let busy = self.busy() as u64;
        let peak = &mut self.state.lock().stats.busy_peak;
        *peak = busy.max(*peak);
    }

    pub(crate) fn record_execution(&self, info: &RequestInfo, count: impl Fn(&mut Execution)) {
        let mut executions = self.executions.lock();
        if let Some(key) = &info.key {
            count(executions.by_key.entry(key.clone()).or_default());
        }
        if !info.idempotent && !info.check_id.is_empty() {
            count(
                executions
                    .by_check
                    .entry(info.check_id.clone())
                    .or_default(),
            );
        }
        if let Some(id) = info
            .request_id
            .as_ref()
            .filter(|_| self.settings.record_request_ids)
        {
            count(executions.by_request_id.entry(id.clone()).or_default());
        }
    }

    fn refuse(&self, reason: &'static str, count: impl Fn(&mut BackendStats)) -> Response<Body> {
        count(&mut self.state.lock().stats);
        let mut response = serve::full_response(StatusCode::SERVICE_UNAVAILABLE, reason);
        insert(&mut response, OUTCOME_HEADER, "not-run");
        response
    }

    async fn process(
        self: &Arc<Self>,
        connection: &Connection,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, ConnectionClosed> {
        let info = RequestInfo::new(&request, Instant::now());
        let request_index = connection.count_request(request.version());
        self.record_arrival();
        let (parts, incoming_body) = request.into_parts();
        let request_body = incoming_body
            .collect()
            .await
            .map_err(|_| ConnectionClosed)?
            .to_bytes();
        let Some(slot) = self.acquire_slot().await else {
            return Ok(self.refuse("no free slot", |stats| stats.shed += 1));
        };
        self.update_busy_peak();
        let behaviour = self.sample_behaviour(request_index, connection);
        if info
            .deadline
            .is_some_and(|deadline| deadline <= Instant::now())
        {
            return Ok(self.refuse("past the deadline", |stats| stats.late += 1));
        }
        if let Some(status) = behaviour.fail_before {
            return Ok(serve::full_response(status, "failed before the run"));
        }
        let execution = ExecutionGuard::start(self.clone(), &info);
        if !self.wait_service_time(&info, behaviour).await {
            execution.stop_at_deadline();
            return Ok(serve::full_response(
                StatusCode::GATEWAY_TIMEOUT,
                "stopped at the deadline",
            ));
        }
        execution.finish(&info);
        if let Some(status) = behaviour.fail_after {
            return Ok(serve::full_response(status, "failed after the run"));
        }
        if let Some(window) = behaviour.hold_back {
            let _ = timeout(window, connection.responded.notified()).await;
        }
        Ok(self.build_response(&parts, &info, &request_body, behaviour, slot))
    }

    /// Waits for the service time, or forever for a stalled request; returns false if
    /// the deadline passed first.
    async fn wait_service_time(&self, info: &RequestInfo, behaviour: RequestBehaviour) -> bool {
        let service = async {
            if behaviour.stall {
                std::future::pending::<()>().await;
            }
            if !behaviour.service_time.is_zero() {
                tokio::time::sleep(behaviour.service_time).await;
            }
        };
        match info.deadline {
            None => {
                service.await;
                true
            }
            Some(deadline) => tokio::time::timeout_at(deadline.into(), service)
                .await
                .is_ok(),
        }
    }

    fn build_response(
        &self,
        parts: &http::request::Parts,
        info: &RequestInfo,
        request_body: &Bytes,
        behaviour: RequestBehaviour,
        slot: OwnedSemaphorePermit,
    ) -> Response<Body> {
        let (content, hash, length) = match info.size_bytes {
            Some(size) => {
                let size = size.min(body::MAX_RESPONSE_BYTES);
                let bytes = SeededBytes::new(&info.check_id, size);
                let hash = bytes.clone().hash();
                (Content::Seeded(bytes), hash, size)
            }
            None => {
                let value = json!({
                    "check": info.check_id,
                    "method": parts.method.as_str(),
                    "path": parts.uri.path(),
                    "server": self.settings.name,
                });
                let text = Bytes::from(value.to_string());
                let (hash, length) = (blake3::hash(&text), text.len() as u64);
                (Content::InMemory(text), hash, length)
            }
        };
        let missing_bytes = if behaviour.truncate {
            length.div_ceil(2)
        } else {
            0
        };
        let mut response =
            Response::new(TruncatableBody::new(content, missing_bytes, slot).boxed_unsync());
        if info.size_bytes.is_none() {
            insert(&mut response, "content-type", "application/json");
        }
        insert(
            &mut response,
            body::BODY_HASH_HEADER,
            hash.to_hex().as_str(),
        );
        insert(&mut response, body::ECHO_HEADER, &info.check_id);
        let request_hash = blake3::hash(request_body).to_hex();
        insert(
            &mut response,
            body::REQUEST_HASH_HEADER,
            request_hash.as_str(),
        );
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
                Mode::Flap { .. } => !is_flap_failing(state.mode, state.mode_since.elapsed()),
                _ => false,
            },
        };
        if healthy {
            serve::full_response(StatusCode::OK, "")
        } else {
            serve::full_response(StatusCode::SERVICE_UNAVAILABLE, "")
        }
    }

    fn load(&self) -> Response<Body> {
        let mut state = self.state.lock();
        state.stats.load_reads += 1;
        let lag = Duration::from_millis(self.settings.load_lag_ms);
        let busy = match state.load_sample {
            Some((sampled_at, busy)) if sampled_at.elapsed() < lag => busy,
            _ => {
                let busy = self.busy();
                state.load_sample = Some((Instant::now(), busy));
                busy
            }
        };
        let busy = busy as i64 + self.settings.load_bias;
        let value = json!({
            "busy": busy.max(0),
            "slots": self.settings.slots,
            "draining": state.drain_since.is_some(),
        });
        serve::json_response(StatusCode::OK, &value)
    }
}

impl Handler for Backend {
    async fn handle(
        self: Arc<Self>,
        connection: Arc<Connection>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, ConnectionClosed> {
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
