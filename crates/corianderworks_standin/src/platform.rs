//! Stand-in for the platform's object API and VM list.

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
use crate::control::{Controlled, Side};
use crate::object_store::{Condition, ObjectStore, Revision};
pub use crate::platform_settings::{
    CallCounts, Cut, PlatformFault, PlatformSettings, Vm, VmKind, VmState,
};
use crate::serve::{self, Body, Closed, Connection, Handler, Limits, Server};

/// Name of the platform in the fault timeline of its settings.
pub const TARGET: &str = "platform";

/// Running platform stand-in; clones refer to the same one.
#[derive(Debug, Clone)]
pub struct PlatformStandIn {
    platform: Arc<Platform>,
    server: Arc<Server>,
    side: Option<Arc<Side>>,
}

impl PlatformStandIn {
    /// Starts the stand-in; port 0 selects a free port.
    pub async fn start(address: SocketAddr, settings: PlatformSettings) -> io::Result<Self> {
        let limits = Limits {
            connections: usize::MAX,
            connect_delay: Duration::ZERO,
        };
        let control = settings.control_address;
        let timeline = settings.timeline.clone();
        let platform = Arc::new(Platform::new(settings));
        let server = Arc::new(Server::start(address, limits, platform.clone()).await?);
        let standin = Self {
            platform,
            server,
            side: None,
        };
        let side = Side::start(standin.clone(), TARGET, control, &timeline).await?;
        Ok(Self {
            side: Some(Arc::new(side)),
            ..standin
        })
    }

    /// Address of the object API.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Address of `/control/faults`, if the settings have one.
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.side.as_ref()?.address()
    }

    /// Replaces all faults by one; the default fault restores normal operation.
    pub fn set_fault(&self, fault: PlatformFault) {
        self.set_faults(vec![fault]);
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: Vec<PlatformFault>) {
        *self.platform.faults.lock() = faults;
    }

    /// Faults in force.
    pub fn faults(&self) -> Vec<PlatformFault> {
        self.platform.faults.lock().clone()
    }

    /// Changes the VM list; the change becomes visible after the lag.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        let visible_at = Instant::now() + Duration::from_millis(self.platform.settings.vm_lag_ms);
        self.platform.vms.lock().push_back((visible_at, vms));
    }

    /// The VM list without lag.
    pub fn vms(&self) -> Vec<Vm> {
        let vms = self.platform.vms.lock();
        vms.back().map(|(_, vms)| vms.clone()).unwrap_or_default()
    }

    /// Calls so far.
    pub fn counts(&self) -> CallCounts {
        self.platform.meter.lock().counts.clone()
    }

    /// Version and value of an object, outside budget and faults.
    pub fn read(&self, path: &str) -> Option<(u64, Bytes)> {
        let revision = self.platform.store.newest(path)?;
        Some((revision.version, revision.value?))
    }

    /// Writes an object without condition, outside budget and faults.
    pub fn write(&self, path: &str, value: impl Into<Bytes>) -> u64 {
        let written = self.platform.store.write(path, None, Some(value.into()));
        written.unwrap_or_default()
    }

    /// Closes the listener and all connections; the objects stay readable
    /// through this handle.
    pub async fn stop(&self) {
        if let Some(side) = &self.side {
            side.stop().await;
        }
        self.server.stop().await;
    }
}

impl Controlled for PlatformStandIn {
    type Faults = Vec<PlatformFault>;

    fn faults(&self) -> Self::Faults {
        PlatformStandIn::faults(self)
    }

    fn set_faults(&self, faults: Self::Faults) {
        PlatformStandIn::set_faults(self, faults);
    }
}

#[derive(Debug)]
struct Meter {
    reads: Budget,
    writes: Budget,
    counts: CallCounts,
    second: u64,
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
    meter: Mutex<Meter>,
    random: Mutex<Pcg64Mcg>,
}

/// Call after its path was parsed.
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
    let object = path.strip_prefix("/objects/").filter(|p| !p.is_empty());
    if *method == Method::PUT {
        return object.map(Call::Put);
    }
    if *method == Method::DELETE {
        return object.map(Call::Delete);
    }
    if *method != Method::GET {
        return None;
    }
    if let Some(path) = object {
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

/// Faults that apply to one call, drawn when the call arrives.
#[derive(Debug, Clone, Copy, Default)]
struct Applied {
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
            meter: Mutex::new(Meter {
                reads: Budget::new(settings.reads_per_s, burst),
                writes: Budget::new(settings.writes_per_s, burst),
                counts: CallCounts::default(),
                second: 0,
                reads_in_second: 0,
                writes_in_second: 0,
            }),
            random: Mutex::new(Pcg64Mcg::seed_from_u64(settings.seed)),
            settings,
        }
    }

    /// Counts the call and takes it from the budget.
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
        if meter.second != now.as_secs() {
            meter.second = now.as_secs();
            (meter.reads_in_second, meter.writes_in_second) = (0, 0);
        }
        let pending = meter.counts.pending_watches as usize;
        let within = if call.is_write() {
            meter.writes_in_second += 1;
            self.settings.writes_per_s == 0 || meter.writes.take(now, 0)
        } else {
            meter.reads_in_second += 1;
            self.settings.reads_per_s == 0 || meter.reads.take(now, pending)
        };
        let counts = &mut meter.counts;
        counts.reads_peak_per_s = counts.reads_peak_per_s.max(meter.reads_in_second);
        counts.writes_peak_per_s = counts.writes_peak_per_s.max(meter.writes_in_second);
        counts.over_budget += u64::from(!within);
        within
    }

    fn draw_faults(&self, client: IpAddr, call: &Call<'_>) -> Applied {
        let faults = self.faults.lock();
        let mut applied = Applied::default();
        for fault in faults
            .iter()
            .filter(|f| f.clients.is_empty() || f.clients.contains(&client))
        {
            applied.outage |= fault.outage;
            applied.reset |= fault.reset;
            applied.delay += Duration::from_millis(fault.delay_ms);
            applied.cut_calls |= fault.cut == Some(Cut::Calls);
            applied.cut_responses |= fault.cut == Some(Cut::Responses);
            let share = if call.is_write() {
                fault.lost_response_share
            } else {
                fault.stale_share
            };
            if share > 0.0 && self.random.lock().random_bool(share.min(1.0)) {
                applied.lost_response |= call.is_write();
                applied.stale |= !call.is_write();
            }
        }
        let Applied {
            outage,
            reset,
            delay,
            lost_response,
            stale,
            cut_calls,
            cut_responses,
        } = applied;
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
        applied
    }

    fn visible_vms(&self, stale: bool) -> Vec<Vm> {
        let now = Instant::now();
        let mut vms = self.vms.lock();
        let older = if stale { vms.front().cloned() } else { None };
        while vms.get(1).is_some_and(|(visible_at, _)| *visible_at <= now) {
            vms.pop_front();
        }
        older
            .or_else(|| vms.front().cloned())
            .map(|(_, vms)| vms)
            .unwrap_or_default()
    }

    fn read(&self, path: &str, stale: bool) -> Response<Body> {
        let revision = if stale {
            self.store.older(path)
        } else {
            self.store.newest(path)
        };
        match revision {
            Some(Revision {
                version,
                value: Some(value),
            }) => with_etag(serve::whole(StatusCode::OK, value), version),
            _ => serve::whole(StatusCode::NOT_FOUND, ""),
        }
    }

    async fn write(
        &self,
        path: &str,
        request: Request<Incoming>,
        delete: bool,
    ) -> Result<Response<Body>, Closed> {
        let condition = match parse_condition(request.headers()) {
            Ok(Some(condition)) => condition,
            Ok(None) => return Ok(serve::whole(StatusCode::PRECONDITION_REQUIRED, "")),
            Err(()) => return Ok(serve::whole(StatusCode::BAD_REQUEST, "malformed condition")),
        };
        let value = if delete {
            None
        } else {
            let limited = Limited::new(request.into_body(), self.settings.value_limit_bytes);
            match limited.collect().await {
                Ok(body) => Some(body.to_bytes()),
                Err(error) if error.is::<LengthLimitError>() => {
                    return Ok(serve::whole(StatusCode::PAYLOAD_TOO_LARGE, ""));
                }
                Err(_) => return Err(Closed),
            }
        };
        Ok(match self.store.write(path, Some(condition), value) {
            Ok(version) => with_etag(
                serve::json(StatusCode::OK, &json!({ "version": version })),
                version,
            ),
            Err(current) => {
                self.meter.lock().counts.conflicts += 1;
                with_etag(serve::whole(StatusCode::PRECONDITION_FAILED, ""), current)
            }
        })
    }

    async fn watch(&self, path: &str, uri: &http::Uri, stale: bool) -> Response<Body> {
        let number = |name| serve::query(uri, name).map_or(Ok(0), str::parse::<u64>);
        let (Ok(after), Ok(wait_ms)) = (number("after"), number("wait_ms")) else {
            return serve::whole(StatusCode::BAD_REQUEST, "malformed number");
        };
        let wait = Duration::from_millis(wait_ms.min(self.settings.watch_limit_ms));
        let _pending = PendingWatch::new(self);
        if stale {
            // A watch that reads stale state sees no change until it ends.
            tokio::time::sleep(wait).await;
            return serve::whole(StatusCode::NO_CONTENT, "");
        }
        match tokio::time::timeout(wait, self.store.above(path, after)).await {
            Ok(Revision {
                version,
                value: Some(value),
            }) => with_etag(serve::whole(StatusCode::OK, value), version),
            Ok(Revision {
                version,
                value: None,
            }) => with_etag(serve::whole(StatusCode::NOT_FOUND, ""), version),
            Err(_) => serve::whole(StatusCode::NO_CONTENT, ""),
        }
    }
}

/// Counts a watch for as long as it waits.
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
    ) -> Result<Response<Body>, Closed> {
        let client = connection.peer.ip();
        let uri = request.uri().clone();
        let Some(call) = parse_call(request.method(), uri.path()) else {
            return Ok(serve::whole(StatusCode::NOT_FOUND, "unknown call"));
        };
        let applied = self.draw_faults(client, &call);
        if applied.cut_calls {
            return std::future::pending().await;
        }
        if applied.reset {
            return Err(Closed);
        }
        let duration = Duration::from_millis(self.settings.latency_ms) + applied.delay;
        // A timer of no duration would still wait for the next millisecond.
        if !duration.is_zero() {
            tokio::time::sleep(duration).await;
        }
        if applied.outage {
            return Ok(serve::whole(StatusCode::SERVICE_UNAVAILABLE, "outage"));
        }
        if !self.charge(client, &call) {
            return Ok(serve::whole(
                StatusCode::TOO_MANY_REQUESTS,
                "over the call budget",
            ));
        }
        let response = match call {
            Call::Read(path) => self.read(path, applied.stale),
            Call::Put(path) => self.write(path, request, false).await?,
            Call::Delete(path) => self.write(path, request, true).await?,
            Call::Watch(path) => self.watch(path, &uri, applied.stale).await,
            Call::List(prefix) => serve::json(StatusCode::OK, &self.store.list(prefix)),
            Call::Vms => serve::json(StatusCode::OK, &self.visible_vms(applied.stale)),
        };
        if applied.cut_responses {
            return std::future::pending().await;
        }
        if applied.lost_response {
            return Err(Closed);
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
        (None, Some(any)) if any.as_bytes() == b"*" => Ok(Some(Condition::Absent)),
        (Some(version), None) => version
            .to_str()
            .ok()
            .and_then(|v| v.strip_prefix('"')?.strip_suffix('"')?.parse().ok())
            .map(|v| Some(Condition::Version(v)))
            .ok_or(()),
        _ => Err(()),
    }
}
