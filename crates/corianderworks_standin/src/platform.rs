//! Platform stand-in: object API with conditional writes and watches, and the VM
//! list.

use std::collections::VecDeque;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{ETAG, HeaderMap, HeaderValue, IF_MATCH, IF_NONE_MATCH};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use crate::budget::Budget;
use crate::control::{ControlTasks, FaultControl};
use crate::object_store::{Condition, ObjectStore, Revision};
pub use crate::platform_settings::{
    CallCounts, Cut, PlatformFault, PlatformSettings, Vm, VmKind, VmState,
};
use crate::serve::{self, Body, Connection, ConnectionClosed, Handler, Limits, Server};

/// Target name of the platform in the fault timeline of its settings.
pub const FAULT_TARGET: &str = "platform";

/// Handle to a running platform stand-in; clones share the same server.
#[derive(Debug, Clone)]
pub struct PlatformStandIn {
    platform: Arc<Platform>,
    server: Arc<Server>,
    control_tasks: Option<Arc<ControlTasks>>,
}

impl PlatformStandIn {
    /// Binds the address and starts the stand-in; port 0 selects a free port. Fails if
    /// an address cannot be bound or the timeline does not fit the stand-in.
    pub async fn start(address: SocketAddr, settings: PlatformSettings) -> io::Result<Self> {
        let limits = Limits {
            connections: usize::MAX,
            connect_delay: Duration::ZERO,
        };
        let control_address = settings.control_address;
        let timeline = settings.timeline.clone();
        let platform = Arc::new(Platform::new(settings));
        let server = Arc::new(Server::start(address, limits, platform.clone()).await?);
        let stand_in = Self {
            platform,
            server,
            control_tasks: None,
        };
        let control_tasks =
            ControlTasks::start(stand_in.clone(), FAULT_TARGET, control_address, &timeline).await?;
        Ok(Self {
            control_tasks: Some(Arc::new(control_tasks)),
            ..stand_in
        })
    }

    /// Bound address of the object API and the VM list.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Bound address of the control endpoint; `None` if the settings have none.
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.control_tasks.as_ref()?.address()
    }

    /// Replaces all active faults with one; the default fault restores normal
    /// operation.
    pub fn set_fault(&self, fault: PlatformFault) {
        self.set_faults(vec![fault]);
    }

    /// Replaces all active faults; several faults for a client add up.
    pub fn set_faults(&self, faults: Vec<PlatformFault>) {
        *self.platform.faults.lock() = faults;
    }

    /// Returns the active faults, in the order in which they were set.
    pub fn faults(&self) -> Vec<PlatformFault> {
        self.platform.faults.lock().clone()
    }

    /// Replaces the VM list; callers see the change after `vm_lag_ms`.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        let visible_at = Instant::now() + Duration::from_millis(self.platform.settings.vm_lag_ms);
        self.platform.vms.lock().push_back((visible_at, vms));
    }

    /// Returns the latest VM list, even if callers do not see it yet.
    pub fn vms(&self) -> Vec<Vm> {
        let vms = self.platform.vms.lock();
        vms.back().map(|(_, vms)| vms.clone()).unwrap_or_default()
    }

    /// Returns a snapshot of the call counters.
    pub fn counts(&self) -> CallCounts {
        self.platform.meter.lock().counts.clone()
    }

    /// Reads an object directly, without call budget and faults. Returns its version and
    /// value, or `None` if it does not exist.
    pub fn read(&self, path: &str) -> Option<(u64, Bytes)> {
        let revision = self.platform.store.newest(path)?;
        Some((revision.version, revision.value?))
    }

    /// Writes an object unconditionally, without call budget and faults. Returns its new
    /// version.
    pub fn write(&self, path: &str, value: impl Into<Bytes>) -> u64 {
        let written = self.platform.store.write(path, None, Some(value.into()));
        written.unwrap_or_default()
    }

    /// Stops the control endpoint and the timeline, closes the listener and aborts all
    /// connections. The objects stay readable through this handle.
    pub async fn stop(&self) {
        if let Some(control_tasks) = &self.control_tasks {
            control_tasks.stop().await;
        }
        self.server.stop().await;
    }
}

impl FaultControl for PlatformStandIn {
    type Faults = Vec<PlatformFault>;

    fn faults(&self) -> Self::Faults {
        PlatformStandIn::faults(self)
    }

    fn set_faults(&self, faults: Self::Faults) {
        PlatformStandIn::set_faults(self, faults);
    }
}

#[derive(Debug)]
struct CallMeter {
    reads: Budget,
    writes: Budget,
    counts: CallCounts,
    current_second: u64,
    reads_in_second: u64,
    writes_in_second: u64,
}

#[derive(Debug)]
struct Platform {
    settings: PlatformSettings,
    started: Instant,
    store: ObjectStore,
    vms: Mutex<VecDeque<(Instant, Vec<Vm>)>>,
    faults: Mutex<Vec<PlatformFault>>,
    meter: Mutex<CallMeter>,
    rng: Mutex<Pcg64Mcg>,
}

/// API call, parsed from method and path.
enum Call<'a> {
    Read(&'a str),
    Put(&'a str),
    Delete(&'a str),
    Watch(&'a str),
    List(&'a str),
    Vms,
}

impl Call<'_> {
    fn is_write(&self) -> bool {
        matches!(self, Call::Put(_) | Call::Delete(_))
    }
}

fn parse_call<'a>(method: &Method, path: &'a str) -> Option<Call<'a>> {
    let object_path = path.strip_prefix("/objects/").filter(|p| !p.is_empty());
    if *method == Method::PUT {
        return object_path.map(Call::Put);
    }
    if *method == Method::DELETE {
        return object_path.map(Call::Delete);
    }
    if *method != Method::GET {
        return None;
    }
    if let Some(path) = object_path {
        return Some(Call::Read(path));
    }
    if let Some(path) = path.strip_prefix("/watch/").filter(|p| !p.is_empty()) {
        return Some(Call::Watch(path));
    }
    if let Some(prefix) = path.strip_prefix("/list/") {
        return Some(Call::List(prefix));
    }
    (path == "/vms").then_some(Call::Vms)
}

/// Combined faults of one call, sampled when the call arrives.
#[derive(Debug, Clone, Copy, Default)]
struct CallFaults {
    outage: bool,
    reset: bool,
    delay: Duration,
    lost_response: bool,
    stale: bool,
    cut_calls: bool,
    cut_responses: bool,
}

impl Platform {
    fn new(settings: PlatformSettings) -> Self {
        let burst = Duration::from_millis(settings.burst_ms);
        Self {
            started: Instant::now(),
            store: ObjectStore::default(),
            vms: Mutex::new(VecDeque::from([(Instant::now(), settings.vms.clone())])),
            faults: Mutex::new(settings.faults.clone()),
            meter: Mutex::new(CallMeter {
                reads: Budget::new(settings.reads_per_s, burst),
                writes: Budget::new(settings.writes_per_s, burst),
                counts: CallCounts::default(),
                current_second: 0,
                reads_in_second: 0,
                writes_in_second: 0,
            }),
            rng: Mutex::new(Pcg64Mcg::seed_from_u64(settings.seed)),
            settings,
        }
    }

    /// Counts the call and takes it from the budget; returns false if the budget is
    /// exhausted.
    fn charge(&self, client: IpAddr, call: &Call<'_>) -> bool {
        let now = self.started.elapsed();
        let mut guard = self.meter.lock();
        let meter = &mut *guard;
        *meter.counts.by_client.entry(client).or_default() += 1;
        match call {
            Call::Read(_) => meter.counts.reads += 1,
            Call::Put(_) | Call::Delete(_) => meter.counts.writes += 1,
            Call::Watch(_) => meter.counts.watches += 1,
            Call::List(_) => meter.counts.lists += 1,
            Call::Vms => meter.counts.vm_lists += 1,
        }
        if meter.current_second != now.as_secs() {
            meter.current_second = now.as_secs();
            (meter.reads_in_second, meter.writes_in_second) = (0, 0);
        }
        let pending_watches = meter.counts.pending_watches as usize;
        let within_budget = if call.is_write() {
            meter.writes_in_second += 1;
            self.settings.writes_per_s == 0 || meter.writes.try_take(now, 0)
        } else {
            meter.reads_in_second += 1;
            self.settings.reads_per_s == 0 || meter.reads.try_take(now, pending_watches)
        };
        let counts = &mut meter.counts;
        counts.reads_peak_per_s = counts.reads_peak_per_s.max(meter.reads_in_second);
        counts.writes_peak_per_s = counts.writes_peak_per_s.max(meter.writes_in_second);
        counts.over_budget += u64::from(!within_budget);
        within_budget
    }

    fn sample_faults(&self, client: IpAddr, call: &Call<'_>) -> CallFaults {
        let faults = self.faults.lock();
        let mut call_faults = CallFaults::default();
        for fault in faults
            .iter()
            .filter(|f| f.clients.is_empty() || f.clients.contains(&client))
        {
            call_faults.outage |= fault.outage;
            call_faults.reset |= fault.reset;
            call_faults.delay += Duration::from_millis(fault.delay_ms);
            call_faults.cut_calls |= fault.cut == Some(Cut::Calls);
            call_faults.cut_responses |= fault.cut == Some(Cut::Responses);
            let share = if call.is_write() {
                fault.lost_response_share
            } else {
                fault.stale_share
            };
            if share > 0.0 && self.rng.lock().random_bool(share.min(1.0)) {
                call_faults.lost_response |= call.is_write();
                call_faults.stale |= !call.is_write();
            }
        }
        let CallFaults {
            outage,
            reset,
            delay,
            lost_response,
            stale,
            cut_calls,
            cut_responses,
        } = call_faults;
        if outage
            || reset
            || lost_response
            || stale
            || cut_calls
            || cut_responses
            || !delay.is_zero()
        {
            self.meter.lock().counts.faulted += 1;
        }
        call_faults
    }

    fn visible_vms(&self, stale: bool) -> Vec<Vm> {
        let now = Instant::now();
        let mut vms = self.vms.lock();
        let stale_vms = if stale { vms.front().cloned() } else { None };
        while vms.get(1).is_some_and(|(visible_at, _)| *visible_at <= now) {
            vms.pop_front();
        }
        stale_vms
            .or_else(|| vms.front().cloned())
            .map(|(_, vms)| vms)
            .unwrap_or_default()
    }

    fn read(&self, path: &str, stale: bool) -> Response<Body> {
        let revision = if stale {
            self.store.previous(path)
        } else {
            self.store.newest(path)
        };
        match revision {
            Some(Revision {
                version,
                value: Some(value),
            }) => with_etag(serve::full_response(StatusCode::OK, value), version),
            _ => serve::full_response(StatusCode::NOT_FOUND, ""),
        }
    }

    async fn write(
        &self,
        path: &str,
        request: Request<Incoming>,
        delete: bool,
    ) -> Result<Response<Body>, ConnectionClosed> {
        let condition = match parse_condition(request.headers()) {
            Ok(Some(condition)) => condition,
            Ok(None) => return Ok(serve::full_response(StatusCode::PRECONDITION_REQUIRED, "")),
            Err(()) => {
                return Ok(serve::full_response(
                    StatusCode::BAD_REQUEST,
                    "malformed condition",
                ));
            }
        };
        let value = if delete {
            None
        } else {
            let limited = Limited::new(request.into_body(), self.settings.value_limit_bytes);
            match limited.collect().await {
                Ok(body) => Some(body.to_bytes()),
                Err(error) if error.is::<LengthLimitError>() => {
                    return Ok(serve::full_response(StatusCode::PAYLOAD_TOO_LARGE, ""));
                }
                Err(_) => return Err(ConnectionClosed),
            }
        };
        Ok(match self.store.write(path, Some(condition), value) {
            Ok(version) => with_etag(
                serve::json_response(StatusCode::OK, &json!({ "version": version })),
                version,
            ),
            Err(current) => {
                self.meter.lock().counts.conflicts += 1;
                with_etag(
                    serve::full_response(StatusCode::PRECONDITION_FAILED, ""),
                    current,
                )
            }
        })
    }

    async fn watch(&self, path: &str, uri: &http::Uri, stale: bool) -> Response<Body> {
        let parse_number =
            |name| serve::query_parameter(uri, name).map_or(Ok(0), str::parse::<u64>);
        let (Ok(after), Ok(wait_ms)) = (parse_number("after"), parse_number("wait_ms")) else {
            return serve::full_response(StatusCode::BAD_REQUEST, "malformed number");
        };
        let wait = Duration::from_millis(wait_ms.min(self.settings.watch_limit_ms));
        let _pending = PendingWatch::new(self);
        if stale {
            // A stale watch reports no change until it times out.
            tokio::time::sleep(wait).await;
            return serve::full_response(StatusCode::NO_CONTENT, "");
        }
        match tokio::time::timeout(wait, self.store.wait_newer(path, after)).await {
            Ok(Revision {
                version,
                value: Some(value),
            }) => with_etag(serve::full_response(StatusCode::OK, value), version),
            Ok(Revision {
                version,
                value: None,
            }) => with_etag(serve::full_response(StatusCode::NOT_FOUND, ""), version),
            Err(_) => serve::full_response(StatusCode::NO_CONTENT, ""),
        }
    }
}

/// Counts a watch as pending until dropped.
struct PendingWatch<'a>(&'a Platform);

impl<'a> PendingWatch<'a> {
    fn new(platform: &'a Platform) -> Self {
        let counts = &mut platform.meter.lock().counts;
        counts.pending_watches += 1;
        counts.pending_watches_peak = counts.pending_watches_peak.max(counts.pending_watches);
        Self(platform)
    }
}

impl Drop for PendingWatch<'_> {
    fn drop(&mut self) {
        self.0.meter.lock().counts.pending_watches -= 1;
    }
}

impl Handler for Platform {
    async fn handle(
        self: Arc<Self>,
        connection: Arc<Connection>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, ConnectionClosed> {
        let client = connection.peer.ip();
        let uri = request.uri().clone();
        let Some(call) = parse_call(request.method(), uri.path()) else {
            return Ok(serve::full_response(StatusCode::NOT_FOUND, "unknown call"));
        };
        let call_faults = self.sample_faults(client, &call);
        if call_faults.cut_calls {
            return std::future::pending().await;
        }
        if call_faults.reset {
            return Err(ConnectionClosed);
        }
        let duration = Duration::from_millis(self.settings.latency_ms) + call_faults.delay;
        // A sleep of zero duration would still wait for the next millisecond.
        if !duration.is_zero() {
            tokio::time::sleep(duration).await;
        }
        if call_faults.outage {
            return Ok(serve::full_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "outage",
            ));
        }
        if !self.charge(client, &call) {
            return Ok(serve::full_response(
                StatusCode::TOO_MANY_REQUESTS,
                "over the call budget",
            ));
        }
        let response = match call {
            Call::Read(path) => self.read(path, call_faults.stale),
            Call::Put(path) => self.write(path, request, false).await?,
            Call::Delete(path) => self.write(path, request, true).await?,
            Call::Watch(path) => self.watch(path, &uri, call_faults.stale).await,
            Call::List(prefix) => serve::json_response(StatusCode::OK, &self.store.list(prefix)),
            Call::Vms => serve::json_response(StatusCode::OK, &self.visible_vms(call_faults.stale)),
        };
        if call_faults.cut_responses {
            return std::future::pending().await;
        }
        if call_faults.lost_response {
            return Err(ConnectionClosed);
        }
        Ok(response)
    }
}

fn with_etag(mut response: Response<Body>, version: u64) -> Response<Body> {
    if let Ok(value) = HeaderValue::from_str(&format!("\"{version}\"")) {
        response.headers_mut().insert(ETAG, value);
    }
    response
}

fn parse_condition(headers: &HeaderMap) -> Result<Option<Condition>, ()> {
    match (headers.get(IF_MATCH), headers.get(IF_NONE_MATCH)) {
        (None, None) => Ok(None),
        (None, Some(tag)) if tag.as_bytes() == b"*" => Ok(Some(Condition::Absent)),
        (Some(version), None) => version
            .to_str()
            .ok()
            .and_then(|v| v.strip_prefix('"')?.strip_suffix('"')?.parse().ok())
            .map(|v| Some(Condition::Version(v)))
            .ok_or(()),
        _ => Err(()),
    }
}
