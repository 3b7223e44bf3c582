//! Assembly of a daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime};

use arc_swap::ArcSwap;
use corianderworks_decision::clock::{Clock, SystemClock};
use corianderworks_decision::dispatcher::{Schedule, Standing};
use corianderworks_decision::drain::Phase;
use corianderworks_decision::ids::{DaemonKey, DaemonRun, Incarnation, ServiceKey, UpstreamKey};
use corianderworks_decision::membership::{MemberRecord, Membership};
use corianderworks_lists::manifest::{MANIFEST_PATH, Manifest};
use corianderworks_lists::settings::{Limits, Settings};
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, Version};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use kameo::actor::{ActorRef, Spawn};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore, mpsc};
use tokio::task::JoinHandle;

use crate::api::Api;
use crate::body::Body;
use crate::control::{self, Control, ControlEvent, Parts, SharedState};
use crate::deadline_io::FirstBytes;
use crate::grants::Grants;
use crate::home::Homes;
use crate::kernel::{Kernel, KernelError};
use crate::keys::{EXPIRE_PERIOD, Keys};
use crate::metrics_api::MetricsApi;
use crate::peer::{PeerError, Peers};
use crate::peer_service::PeerService;
use crate::permits::PermitManager;
use crate::platform::PlatformClient;
use crate::proxy::{Entry, EntryParts};
use crate::reasons::Reason;
use crate::refusal::Refusal;
use crate::status_api::StatusApi;
use crate::telemetry::{Metrics, TelemetryError};
use crate::upstream::Upstreams;

/// Time between two ticks of the control loop. Stalls are noticed at a tick.
const TICK: Duration = Duration::from_millis(50);
/// Time between two reads of the VM list in a small fleet.
const VMS_PERIOD: Duration = Duration::from_secs(1);
/// Reads of the VM list per second over the whole fleet, out of the platform's 2,000.
const VMS_READS_PER_S: u32 = 100;
/// Time that one watch of the manifest waits.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Time after which a daemon that is no reader looks at the manifest itself.
const MANIFEST_PERIOD: Duration = Duration::from_secs(20);
/// Time that a starting daemon waits for members before it reads the platform itself.
const START_GRACE: Duration = Duration::from_millis(400);
/// Pause after a failed call to the platform.
const PLATFORM_PAUSE: Duration = Duration::from_secs(1);
/// Time that connections get to close after the last request.
const CLOSE_TIME: Duration = Duration::from_secs(2);

/// Why a daemon can't start.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// The socket for callers can't be opened.
    #[error("the caller address {0} can't be opened: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// The socket for other daemons can't be opened.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// A service could not be registered.
    #[error(transparent)]
    Kernel(#[from] KernelError),
    /// Metrics can't be set up.
    #[error(transparent)]
    Metrics(#[from] TelemetryError),
    /// The name can't be part of a header field.
    #[error("the daemon's name can't be part of a header field")]
    Name,
}

/// A running daemon.
pub struct Daemon {
    /// Address for callers.
    pub http_address: SocketAddr,
    /// Address for other daemons.
    pub peer_address: SocketAddr,
    shared: Arc<SharedState>,
    control: ActorRef<Control<SystemClock>>,
    entry: Arc<Entry<SystemClock>>,
    peers: Arc<Peers>,
    platform: PlatformClient,
    tasks: Vec<JoinHandle<()>>,
    stop_accepting: Arc<Notify>,
    server: JoinHandle<()>,
}

impl Daemon {
    /// Starts a daemon.
    pub async fn start(mut settings: Settings) -> Result<Self, DaemonError> {
        let listener = TcpListener::bind(settings.http_address)
            .await
            .map_err(|e| DaemonError::Listen(settings.http_address, e))?;
        let http_address = listener
            .local_addr()
            .map_err(|e| DaemonError::Listen(settings.http_address, e))?;
        let (peers, opened) = Peers::bind(settings.peer_address, &settings.tls)?;
        let peer_address = peers.address().map_err(PeerError::from)?;
        settings.http_address = http_address;
        settings.peer_address = peer_address;
        let settings = Arc::new(settings);

        let clock = Arc::new(SystemClock::new());
        let me = DaemonRun {
            daemon: DaemonKey::of(&settings.name),
            incarnation: incarnation(clock.as_ref()),
        };
        let via = HeaderValue::from_str(&format!("1.1 {}", settings.name))
            .map_err(|_| DaemonError::Name)?;
        let view = Arc::new(ArcSwap::default());
        let shared = SharedState::new(view.clone());
        let homes = Arc::new(Homes::default());
        let upstreams = Upstreams::new(clock.clone());
        let platform = PlatformClient::new(settings.platform_address);
        let keys = Keys::new(me, clock.clone(), platform.clone());
        let grants = Grants::new(me.daemon, clock.clone(), view.clone(), peers.clone());
        let entry = Arc::new(Entry::new(EntryParts {
            keys: keys.clone(),
            grants: grants.clone(),
            me,
            clock: clock.clone(),
            view,
            peers: peers.clone(),
            homes: homes.clone(),
            limits: settings.limits.clone(),
            balance: settings.balance,
            via: via.clone(),
            metrics: Metrics::new()?,
        }));
        let (home_events, mut home_receiver) = mpsc::unbounded_channel();
        let (permit_events, mut permit_receiver) = mpsc::unbounded_channel();
        let permits_held = Arc::new(AtomicU64::new(0));
        let return_permits = Arc::new(Notify::new());
        let seed = me.daemon.0 ^ me.incarnation.0;
        let membership =
            Membership::new(record(&settings, me), seed).with_seeds(settings.seeds.clone());
        let control = Control::spawn(Control::new(
            Parts {
                settings: settings.clone(),
                clock: clock.clone(),
                entry: entry.clone(),
                homes: homes.clone(),
                upstreams,
                peers: peers.clone(),
                platform: platform.clone(),
                shared: shared.clone(),
                via,
                home_events,
                permits_held: permits_held.clone(),
                return_permits: return_permits.clone(),
            },
            membership,
            seed,
        ));
        // The address tells apart daemons of one process that have the same name and start time.
        Kernel::new(&format!("{}#{http_address}", settings.name))
            .register(control::ACTOR_NAME, &control)?;

        let mut tasks = Vec::new();
        let peer_service = PeerService {
            entry: entry.clone(),
            shared: shared.clone(),
            control: control.clone(),
        };
        tasks.push(tokio::spawn(Arc::new(peer_service).run(opened)));
        tasks.push(tokio::spawn(tick(control.clone(), grants.clone())));
        tasks.push(tokio::spawn(read_vms(
            platform.clone(),
            shared.clone(),
            control.clone(),
        )));
        tasks.push(tokio::spawn(read_manifest(
            platform.clone(),
            shared.clone(),
            control.clone(),
        )));
        let events = control.clone();
        tasks.push(tokio::spawn(async move {
            while let Some(event) = home_receiver.recv().await {
                let _ = events.tell(ControlEvent::Home(event)).await;
            }
        }));
        let events = control.clone();
        tasks.push(tokio::spawn(async move {
            while let Some(event) = permit_receiver.recv().await {
                let _ = events.tell(ControlEvent::Permits(event)).await;
            }
        }));
        let permit_manager = PermitManager {
            local_run: me,
            platform: platform.clone(),
            shared: shared.clone(),
            homes,
            events: permit_events,
            held: permits_held,
            return_all: return_permits,
        };
        tasks.push(tokio::spawn(permit_manager.run()));

        let watched = shared.clone();
        tasks.push(tokio::spawn(async move {
            loop {
                tokio::time::sleep(EXPIRE_PERIOD).await;
                keys.expire();
                keys.set_members(watched.view.load().members.len());
                grants.evict_idle();
            }
        }));

        let api = Arc::new(Api {
            entry: entry.clone(),
            shared: shared.clone(),
            metrics: MetricsApi::new(entry.clone(), platform.clone()),
            status: StatusApi {
                settings: settings.clone(),
                entry: entry.clone(),
                shared: shared.clone(),
                control: control.clone(),
                platform: platform.clone(),
            },
            keep_s: settings.keep_s,
        });
        let stop_accepting = Arc::new(Notify::new());
        let server = tokio::spawn(serve(
            listener,
            entry.clone(),
            api,
            settings.limits.clone(),
            stop_accepting.clone(),
        ));
        tracing::info!("daemon: {} serves callers on {http_address}", settings.name);
        Ok(Self {
            http_address,
            peer_address,
            shared,
            control,
            entry,
            peers,
            platform,
            tasks,
            stop_accepting,
            server,
        })
    }

    /// Waits until the daemon is ready.
    pub async fn ready(&self) {
        let mut phase = self.shared.phase.subscribe();
        let _ = phase.wait_for(|phase| *phase == Phase::Ready).await;
    }

    /// Entry of callers' requests.
    pub fn entry(&self) -> Arc<Entry<SystemClock>> {
        self.entry.clone()
    }

    /// Configuration version in force, 0 before any is known.
    pub fn version(&self) -> u64 {
        self.shared.view.load().table.version
    }

    /// Members that take part in placement, as this daemon sees them.
    pub fn member_count(&self) -> usize {
        self.shared.view.load().members.len()
    }

    /// Whether this daemon is a home of a service.
    pub fn is_home(&self, service: &str) -> bool {
        let view = self.shared.view.load();
        let place = view.placements.get(&ServiceKey::of(service));
        place.is_some_and(|place| place.is_home(self.entry.parts.me.daemon))
    }

    /// Upstreams of a service that get no work from this daemon because of an ejection.
    pub fn ejected(&self, service: &str) -> Vec<UpstreamKey> {
        let Some(home) = self.entry.parts.homes.get(ServiceKey::of(service)) else {
            return Vec::new();
        };
        let reports = home.read(|dispatcher, now| dispatcher.explain(now));
        let out = reports
            .into_iter()
            .filter(|report| report.standing == Standing::Ejected);
        out.map(|report| report.upstream).collect()
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.entry.in_flight()
    }

    /// Calls made to the platform.
    pub fn platform_calls(&self) -> u64 {
        self.platform.calls()
    }

    /// Payload of control datagrams sent, in bytes.
    pub fn datagram_bytes(&self) -> u64 {
        self.peers.counters().datagram_bytes.load(Ordering::Relaxed)
    }

    /// Stops gracefully: leaves the address responses, serves callers that know the daemon
    /// until their responses have expired, and completes what is in flight.
    pub async fn stop(self) {
        let _ = self.control.tell(ControlEvent::Stop).await;
        self.run_until_stopped().await;
    }

    /// Runs until the daemon was asked to stop and has stopped.
    pub async fn run_until_stopped(self) {
        let mut phase = self.shared.phase.subscribe();
        let _ = phase.wait_for(|phase| *phase == Phase::Stopped).await;
        self.stop_accepting.notify_one();
        let _ = self.server.await;
        for task in &self.tasks {
            task.abort();
        }
        self.control.kill();
        self.peers.close().await;
        tracing::info!("daemon: stopped");
    }

    /// Ends at once, as a failed VM does.
    pub fn kill(self) {
        self.server.abort();
        for task in &self.tasks {
            task.abort();
        }
        self.control.kill();
        let peers = self.peers;
        tokio::spawn(async move { peers.close().await });
    }

    /// Returns a handle that asks the daemon to stop.
    pub fn stopper(&self) -> Stopper {
        Stopper(self.control.clone())
    }
}

/// Asks a daemon to stop.
pub struct Stopper(ActorRef<Control<SystemClock>>);

impl Stopper {
    /// Asks the daemon to stop.
    pub async fn stop(&self) {
        let _ = self.0.tell(ControlEvent::Stop).await;
    }
}

fn incarnation(clock: &impl Clock) -> Incarnation {
    let since = clock
        .wall()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(since.as_millis() as u64)
}

fn record(settings: &Settings, me: DaemonRun) -> MemberRecord {
    MemberRecord {
        run: me,
        refutation: 0,
        name: settings.name.clone(),
        region: settings.region.clone(),
        domain: settings.domain.clone(),
        peer_address: settings.peer_address,
        http_address: settings.http_address,
        config_version: 0,
    }
}

async fn tick(control: ActorRef<Control<SystemClock>>, grants: Arc<Grants<SystemClock>>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        interval.tick().await;
        grants.check_members();
        if control.tell(ControlEvent::Tick).await.is_err() {
            return;
        }
    }
}

async fn read_vms(
    platform: PlatformClient,
    shared: Arc<SharedState>,
    control: ActorRef<Control<SystemClock>>,
) {
    loop {
        match platform.vms().await {
            Ok(vms) => {
                let _ = control.tell(ControlEvent::Vms(vms)).await;
            }
            Err(error) => {
                tracing::debug!("platform: the VM list was not read: {error}");
                tokio::time::sleep(PLATFORM_PAUSE).await;
            }
        }
        let members = shared.view.load().members.len() as u32;
        let period = VMS_PERIOD.max(Duration::from_secs(1) * members / VMS_READS_PER_S);
        tokio::time::sleep(period.mul_f64(0.75 + 0.5 * rand::random::<f64>())).await;
    }
}

async fn read_manifest(
    platform: PlatformClient,
    shared: Arc<SharedState>,
    control: ActorRef<Control<SystemClock>>,
) {
    start_grace(&shared).await;
    loop {
        let after = shared.manifest_object_version.load(Ordering::Relaxed);
        let reader = shared.is_configuration_reader.load(Ordering::Relaxed) && after > 0;
        let read = if reader {
            platform.watch(MANIFEST_PATH, after, WATCH_WAIT).await
        } else {
            platform.read(MANIFEST_PATH).await
        };
        let known = match read {
            Ok(object) => object,
            Err(error) => {
                tracing::debug!("platform: the manifest was not read: {error}");
                tokio::time::sleep(PLATFORM_PAUSE).await;
                continue;
            }
        };
        let found = known.is_some();
        if let Some(object) = known {
            shared
                .manifest_object_version
                .fetch_max(object.version, Ordering::Relaxed);
            if let Ok(manifest) = Manifest::from_bytes(&object.value) {
                let _ = control
                    .tell(ControlEvent::PlatformVersion(manifest.version))
                    .await;
            }
        }
        if !reader {
            let period = if found {
                MANIFEST_PERIOD
            } else {
                PLATFORM_PAUSE
            };
            wait_or_reader(&shared, period).await;
        }
    }
}

/// Gives members time to bring the configuration. Without it every daemon of a fleet that starts
/// at once reads all chunks from the platform, which is over its budget.
async fn start_grace(shared: &SharedState) {
    let jitter = START_GRACE.mul_f64(0.5 * rand::random::<f64>());
    let reader_end = tokio::time::Instant::now() + START_GRACE + jitter;
    let others_end = reader_end + 2 * START_GRACE;
    loop {
        let now = tokio::time::Instant::now();
        let end = if shared.is_configuration_reader.load(Ordering::Relaxed) {
            reader_end
        } else {
            others_end
        };
        if now >= end || shared.view.load().table.version > 0 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Waits, but not longer than until this daemon becomes a configuration reader.
async fn wait_or_reader(shared: &SharedState, period: Duration) {
    let end = tokio::time::Instant::now() + period;
    while tokio::time::Instant::now() < end {
        let found = shared.manifest_object_version.load(Ordering::Relaxed) > 0;
        if found && shared.is_configuration_reader.load(Ordering::Relaxed) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

async fn serve(
    listener: TcpListener,
    entry: Arc<Entry<SystemClock>>,
    api: Arc<Api<SystemClock>>,
    limits: Limits,
    stop: Arc<Notify>,
) {
    let graceful = GracefulShutdown::new();
    let connections = Arc::new(Semaphore::new(limits.connections));
    let mut builder = auto::Builder::new(TokioExecutor::new());
    let header_timeout = Duration::from_millis(u64::from(limits.header_timeout_ms));
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .max_buf_size(limits.header_bytes.max(8 * 1024));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(limits.header_bytes as u32)
        .keep_alive_interval(Some(Duration::from_secs(20)));
    loop {
        let (stream, caller) = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok(accepted) => accepted,
                Err(error) => {
                    tracing::warn!("proxy: a connection was not accepted: {error}");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            },
            () = stop.notified() => break,
        };
        let Ok(permit) = connections.clone().try_acquire_owned() else {
            tracing::warn!(
                "proxy: over {} connections; one is refused",
                limits.connections
            );
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (entry, api) = (entry.clone(), api.clone());
        let service = service_fn(move |request| {
            let (entry, api) = (entry.clone(), api.clone());
            async move { Ok::<_, std::convert::Infallible>(route(&entry, &api, request, caller).await) }
        });
        let connection = builder
            .serve_connection(
                TokioIo::new(FirstBytes::new(stream, header_timeout)),
                service,
            )
            .into_owned();
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            let _permit = permit;
            if let Err(error) = watched.await {
                tracing::debug!("proxy: a connection from {caller} failed: {error}");
            }
        });
    }
    drop(listener);
    let _ = tokio::time::timeout(CLOSE_TIME, graceful.shutdown()).await;
}

async fn route(
    entry: &Arc<Entry<SystemClock>>,
    api: &Api<SystemClock>,
    request: Request<Incoming>,
    caller: SocketAddr,
) -> Response<Body> {
    let caller_hash = DaemonKey::of(&caller.to_string()).0;
    let is_http1 = request.version() <= Version::HTTP_11;
    let phase = api.shared.phase();
    let mut response = match api.handle(&request, caller_hash).await {
        Some(response) => response,
        // Callers that still know this daemon use another address of their address response.
        None if matches!(phase, Phase::Draining | Phase::Stopped) => {
            Refusal::not_run(Reason::Draining).response()
        }
        None => entry.serve(request, caller).await,
    };
    // A caller could otherwise send a request on a kept connection at the moment at which the
    // stopping daemon closes it. HTTP/2 has GOAWAY for this.
    if is_http1 && matches!(phase, Phase::Leaving | Phase::Draining | Phase::Stopped) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}
