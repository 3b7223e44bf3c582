//! Starts, runs and stops a daemon: connects its components and serves its sockets.

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

use crate::actor_namespace::{ActorNamespace, ActorNamespaceError};
use crate::api::Api;
use crate::body::Body;
use crate::control::{self, Control, ControlEvent, Parts, SharedState};
use crate::deadline_io::PrefaceTimeout;
use crate::grants::Grants;
use crate::home::Homes;
use crate::keys::{EXPIRY_INTERVAL, IdempotencyKeys};
use crate::metrics_api::MetricsApi;
use crate::peer::{PeerError, Peers};
use crate::peer_service::PeerService;
use crate::permits::PermitManager;
use crate::platform::PlatformClient;
use crate::proxy::{EntryProxy, EntryProxyParts};
use crate::reasons::Reason;
use crate::refusal::Refusal;
use crate::status_api::StatusApi;
use crate::telemetry::{Metrics, TelemetryError};
use crate::upstream::Upstreams;

/// Interval between ticks of the control loop. A pause of the process is detected at the next tick.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest mean interval between reads of the VM list. It is longer in a large fleet.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Budget of the whole fleet for reads of the VM list per second, out of the platform's limit of
/// 2,000 reads per second.
const VM_LIST_READS_PER_S: u32 = 100;
/// Time for which one watch call waits for a new manifest.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Interval at which a daemon that is not a configuration reader reads the manifest.
const MANIFEST_INTERVAL: Duration = Duration::from_secs(20);
/// Least time for which a starting daemon waits for other members to send the configuration before
/// it reads it from the platform.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(400);
/// Delay after a failed call to the platform, and between reads while there is no manifest.
const PLATFORM_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Longest time for callers' connections to close when the daemon stops.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Failure to start a daemon.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// The listening socket for callers could not be opened.
    #[error("could not listen for callers on {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// The socket for other daemons could not be opened, or its certificates are unusable.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// The actor of the control loop could not be registered.
    #[error(transparent)]
    Kernel(#[from] ActorNamespaceError),
    /// The metrics exporter could not be created.
    #[error(transparent)]
    Metrics(#[from] TelemetryError),
    /// The name is not valid in the `via` header.
    #[error("the daemon's name is not valid in a header field")]
    Name,
}

/// Handle to a running daemon.
pub struct Daemon {
    /// Address that serves callers over HTTP, with the actual port if the settings give port 0.
    pub http_address: SocketAddr,
    /// Address that other daemons connect to, with the actual port if the settings give port 0.
    pub peer_address: SocketAddr,
    shared: Arc<SharedState>,
    control: ActorRef<Control<SystemClock>>,
    entry: Arc<EntryProxy<SystemClock>>,
    peers: Arc<Peers>,
    platform: PlatformClient,
    tasks: Vec<JoinHandle<()>>,
    stop_accepting: Arc<Notify>,
    server: JoinHandle<()>,
}

impl Daemon {
    /// Opens the sockets and starts all tasks. The daemon is not ready yet when this returns.
    pub async fn start(mut settings: Settings) -> Result<Self, DaemonError> {
        let listener = TcpListener::bind(settings.http_address)
            .await
            .map_err(|e| DaemonError::Listen(settings.http_address, e))?;
        let http_address = listener
            .local_addr()
            .map_err(|e| DaemonError::Listen(settings.http_address, e))?;
        let (peers, new_connections) = Peers::bind(settings.peer_address, &settings.tls)?;
        let peer_address = peers.address().map_err(PeerError::from)?;
        settings.http_address = http_address;
        settings.peer_address = peer_address;
        let settings = Arc::new(settings);

        let clock = Arc::new(SystemClock::new());
        let local_run = DaemonRun {
            daemon: DaemonKey::of(&settings.name),
            incarnation: incarnation_from_clock(clock.as_ref()),
        };
        let via = HeaderValue::from_str(&format!("1.1 {}", settings.name))
            .map_err(|_| DaemonError::Name)?;
        let view = Arc::new(ArcSwap::default());
        let shared = SharedState::new(view.clone());
        let homes = Arc::new(Homes::default());
        let upstreams = Upstreams::new(clock.clone());
        let platform = PlatformClient::new(settings.platform_address);
        let keys = IdempotencyKeys::new(local_run, clock.clone(), platform.clone());
        let grants = Grants::new(local_run.daemon, clock.clone(), view.clone(), peers.clone());
        let entry = Arc::new(EntryProxy::new(EntryProxyParts {
            keys: keys.clone(),
            grants: grants.clone(),
            own_run: local_run,
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
        let seed = local_run.daemon.0 ^ local_run.incarnation.0;
        let membership = Membership::new(local_record(&settings, local_run), seed)
            .with_seeds(settings.seeds.clone());
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
        // The address distinguishes daemons of one process that have the same name and start time.
        ActorNamespace::new(&format!("{}#{http_address}", settings.name))
            .register(control::ACTOR_NAME, &control)?;

        let mut tasks = Vec::new();
        let peer_service = PeerService {
            entry: entry.clone(),
            shared: shared.clone(),
            control: control.clone(),
        };
        tasks.push(tokio::spawn(Arc::new(peer_service).run(new_connections)));
        tasks.push(tokio::spawn(run_ticks(control.clone(), grants.clone())));
        tasks.push(tokio::spawn(poll_vm_list(
            platform.clone(),
            shared.clone(),
            control.clone(),
        )));
        tasks.push(tokio::spawn(poll_manifest(
            platform.clone(),
            shared.clone(),
            control.clone(),
        )));
        let control_actor = control.clone();
        tasks.push(tokio::spawn(async move {
            while let Some(event) = home_receiver.recv().await {
                let _ = control_actor.tell(ControlEvent::Home(event)).await;
            }
        }));
        let control_actor = control.clone();
        tasks.push(tokio::spawn(async move {
            while let Some(event) = permit_receiver.recv().await {
                let _ = control_actor.tell(ControlEvent::Permits(event)).await;
            }
        }));
        let permit_manager = PermitManager {
            local_run,
            platform: platform.clone(),
            shared: shared.clone(),
            homes,
            events: permit_events,
            held: permits_held,
            return_all: return_permits,
        };
        tasks.push(tokio::spawn(permit_manager.run()));

        let shared_state = shared.clone();
        tasks.push(tokio::spawn(async move {
            loop {
                tokio::time::sleep(EXPIRY_INTERVAL).await;
                keys.expire();
                keys.set_members(shared_state.view.load().members.len());
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
        let server = tokio::spawn(serve_callers(
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

    /// Waits until the daemon has entered the ready phase.
    pub async fn ready(&self) {
        let mut phase = self.shared.phase.subscribe();
        let _ = phase.wait_for(|phase| *phase == Phase::Ready).await;
    }

    /// Returns the entry point of callers' requests.
    pub fn entry(&self) -> Arc<EntryProxy<SystemClock>> {
        self.entry.clone()
    }

    /// Returns the configuration version in force, 0 before any is known.
    pub fn version(&self) -> u64 {
        self.shared.view.load().table.version
    }

    /// Returns the number of members that take part in placement, as this daemon sees them.
    pub fn member_count(&self) -> usize {
        self.shared.view.load().members.len()
    }

    /// Returns whether this daemon is a home of a service.
    pub fn is_home(&self, service: &str) -> bool {
        let view = self.shared.view.load();
        let placement = view.placements.get(&ServiceKey::of(service));
        placement.is_some_and(|placement| placement.is_home(self.entry.parts.own_run.daemon))
    }

    /// Returns the upstreams of a service that get no requests from this daemon because they are
    /// ejected.
    pub fn ejected(&self, service: &str) -> Vec<UpstreamKey> {
        let Some(home) = self.entry.parts.homes.get(ServiceKey::of(service)) else {
            return Vec::new();
        };
        let reports = home.read(|dispatcher, now| dispatcher.explain(now));
        let ejected = reports
            .into_iter()
            .filter(|report| report.standing == Standing::Ejected);
        ejected.map(|report| report.upstream).collect()
    }

    /// Returns the number of requests in flight, relayed ones included.
    pub fn in_flight(&self) -> usize {
        self.entry.in_flight()
    }

    /// Returns the number of calls made to the platform since the start.
    pub fn platform_calls(&self) -> u64 {
        self.platform.calls()
    }

    /// Returns the payload of all control datagrams sent since the start, in bytes.
    pub fn datagram_bytes(&self) -> u64 {
        self.peers.counters().datagram_bytes.load(Ordering::Relaxed)
    }

    /// Stops gracefully: the daemon disappears from address responses, serves callers until the
    /// address responses that name it have expired, and completes the requests in flight.
    pub async fn stop(self) {
        let _ = self.control.tell(ControlEvent::Stop).await;
        self.run_until_stopped().await;
    }

    /// Waits until a graceful stop was requested and is complete, then closes all connections.
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

    /// Ends all tasks at once without a graceful stop, to simulate the failure of the VM.
    pub fn kill(self) {
        self.server.abort();
        for task in &self.tasks {
            task.abort();
        }
        self.control.kill();
        let peers = self.peers;
        tokio::spawn(async move { peers.close().await });
    }

    /// Returns a handle that can request a graceful stop while another task waits for it.
    pub fn stop_handle(&self) -> StopHandle {
        StopHandle(self.control.clone())
    }
}

/// Handle that requests the graceful stop of a daemon.
pub struct StopHandle(ActorRef<Control<SystemClock>>);

impl StopHandle {
    /// Requests a graceful stop, without waiting for its end.
    pub async fn stop(&self) {
        let _ = self.0.tell(ControlEvent::Stop).await;
    }
}

fn incarnation_from_clock(clock: &impl Clock) -> Incarnation {
    let since = clock
        .wall()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(since.as_millis() as u64)
}

fn local_record(settings: &Settings, local_run: DaemonRun) -> MemberRecord {
    MemberRecord {
        run: local_run,
        refutation: 0,
        name: settings.name.clone(),
        region: settings.region.clone(),
        domain: settings.domain.clone(),
        peer_address: settings.peer_address,
        http_address: settings.http_address,
        config_version: 0,
    }
}

async fn run_ticks(control: ActorRef<Control<SystemClock>>, grants: Arc<Grants<SystemClock>>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        interval.tick().await;
        grants.check_members();
        if control.tell(ControlEvent::Tick).await.is_err() {
            return;
        }
    }
}

async fn poll_vm_list(
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
                tracing::debug!("platform: the VM list could not be read: {error}");
                tokio::time::sleep(PLATFORM_RETRY_DELAY).await;
            }
        }
        let members = shared.view.load().members.len() as u32;
        let period = VM_LIST_INTERVAL.max(Duration::from_secs(1) * members / VM_LIST_READS_PER_S);
        tokio::time::sleep(period.mul_f64(0.75 + 0.5 * rand::random::<f64>())).await;
    }
}

async fn poll_manifest(
    platform: PlatformClient,
    shared: Arc<SharedState>,
    control: ActorRef<Control<SystemClock>>,
) {
    wait_for_configuration(&shared).await;
    loop {
        let known_version = shared.manifest_object_version.load(Ordering::Relaxed);
        let is_reader = shared.is_configuration_reader.load(Ordering::Relaxed) && known_version > 0;
        let result = if is_reader {
            platform
                .watch(MANIFEST_PATH, known_version, WATCH_WAIT)
                .await
        } else {
            platform.read(MANIFEST_PATH).await
        };
        let latest = match result {
            Ok(object) => object,
            Err(error) => {
                tracing::debug!("platform: the manifest could not be read: {error}");
                tokio::time::sleep(PLATFORM_RETRY_DELAY).await;
                continue;
            }
        };
        let manifest_exists = latest.is_some();
        if let Some(object) = latest {
            shared
                .manifest_object_version
                .fetch_max(object.version, Ordering::Relaxed);
            if let Ok(manifest) = Manifest::from_bytes(&object.value) {
                let _ = control
                    .tell(ControlEvent::PlatformVersion(manifest.version))
                    .await;
            }
        }
        if !is_reader {
            let period = if manifest_exists {
                MANIFEST_INTERVAL
            } else {
                PLATFORM_RETRY_DELAY
            };
            wait_for_period_or_reader(&shared, period).await;
        }
    }
}

/// Waits for other members to send the configuration. Without this delay, every daemon of a fleet
/// that starts at once would read all chunks from the platform, which exceeds the platform's read
/// budget.
async fn wait_for_configuration(shared: &SharedState) {
    let jitter = CONFIGURATION_WAIT.mul_f64(0.5 * rand::random::<f64>());
    let reader_deadline = tokio::time::Instant::now() + CONFIGURATION_WAIT + jitter;
    let non_reader_deadline = reader_deadline + 2 * CONFIGURATION_WAIT;
    loop {
        let now = tokio::time::Instant::now();
        let deadline = if shared.is_configuration_reader.load(Ordering::Relaxed) {
            reader_deadline
        } else {
            non_reader_deadline
        };
        if now >= deadline || shared.view.load().table.version > 0 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Waits for `period`, or until this daemon becomes a configuration reader.
async fn wait_for_period_or_reader(shared: &SharedState, period: Duration) {
    let deadline = tokio::time::Instant::now() + period;
    while tokio::time::Instant::now() < deadline {
        let manifest_exists = shared.manifest_object_version.load(Ordering::Relaxed) > 0;
        if manifest_exists && shared.is_configuration_reader.load(Ordering::Relaxed) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

async fn serve_callers(
    listener: TcpListener,
    entry: Arc<EntryProxy<SystemClock>>,
    api: Arc<Api<SystemClock>>,
    limits: Limits,
    stop_accepting: Arc<Notify>,
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
                    tracing::warn!("proxy: could not accept a connection: {error}");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            },
            () = stop_accepting.notified() => break,
        };
        let Ok(permit) = connections.clone().try_acquire_owned() else {
            tracing::warn!(
                "proxy: connection refused: the limit of {} connections is reached",
                limits.connections
            );
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (entry, api) = (entry.clone(), api.clone());
        let service = service_fn(move |request| {
            let (entry, api) = (entry.clone(), api.clone());
            async move {
                Ok::<_, std::convert::Infallible>(
                    handle_request(&entry, &api, request, caller).await,
                )
            }
        });
        let connection = builder
            .serve_connection(
                TokioIo::new(PrefaceTimeout::new(stream, header_timeout)),
                service,
            )
            .into_owned();
        let watched_connection = graceful.watch(connection);
        tokio::spawn(async move {
            let _permit = permit;
            if let Err(error) = watched_connection.await {
                tracing::debug!("proxy: a connection from {caller} failed: {error}");
            }
        });
    }
    drop(listener);
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, graceful.shutdown()).await;
}

async fn handle_request(
    entry: &Arc<EntryProxy<SystemClock>>,
    api: &Api<SystemClock>,
    request: Request<Incoming>,
    caller: SocketAddr,
) -> Response<Body> {
    let caller_hash = DaemonKey::of(&caller.to_string()).0;
    let is_http1 = request.version() <= Version::HTTP_11;
    let phase = api.shared.phase();
    let mut response = match api.handle(&request, caller_hash).await {
        Some(response) => response,
        // Callers that still have this daemon's address try another one of their address response.
        None if matches!(phase, Phase::Draining | Phase::Stopped) => {
            Refusal::not_run(Reason::Draining).response()
        }
        None => entry.serve(request, caller).await,
    };
    // Otherwise a caller could send a request on a kept-alive connection just when the stopping
    // daemon closes it. HTTP/2 has GOAWAY for this.
    if is_http1 && matches!(phase, Phase::Leaving | Phase::Draining | Phase::Stopped) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}
