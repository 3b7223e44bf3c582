//! Startup, main loop and graceful shutdown of an edge daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use corianderworks_decision::clock::SystemClock;
use corianderworks_decision::edge::shutdown::{Phase, last_responses_timeout, phase};
use corianderworks_platform::settings::{self, Settings, SettingsError};
use corianderworks_platform::store::StoreClient;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::{JoinError, JoinSet};
use tokio::time::{Instant, interval, sleep};

use crate::metrics::{Metrics, MetricsError};
use crate::peers::{PeerError, Peers};
use crate::state::{Edge, Lifecycle};
use crate::{caller, local_http, logs, peer_sync, registration, store_sync};

/// Port of the metrics endpoint; must match the deploy file.
const METRICS_PORT: u16 = 9464;
/// Returns the port and path of the metrics, as in the deploy file.
pub fn metrics_endpoint() -> String {
    format!("{METRICS_PORT}{}", local_http::METRICS_PATH)
}

/// Interval between removals of expired servers and idle connections.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a stopping daemon checks whether it can exit.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Error that prevents a daemon from running.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// The settings can't be read or are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The TCP socket of an address can't be opened.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// Configured address of the socket.
        address: SocketAddr,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// The signal handlers can't be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(std::io::Error),
    /// The log output can't be set up.
    #[error("cannot set up the log output: {0}")]
    Logs(Box<dyn std::error::Error + Send + Sync>),
    /// The socket for connections between daemons can't be opened.
    #[error(transparent)]
    Peers(#[from] PeerError),
    /// A task that keeps the state in sync has ended, with the panic that ended it.
    #[error("synchronization with the store or the peers has ended: {0:?}")]
    SyncEnded(Option<JoinError>),
    /// The metrics exporter can't be registered.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
}

/// Runs an edge daemon until SIGTERM or SIGINT, then shuts it down gracefully.
///
/// # Errors
///
/// Fails if the settings are invalid, a socket can't be opened, or signals, logs or metrics can't
/// be set up.
pub async fn run() -> Result<(), DaemonError> {
    // Installed first, because a signal without a handler kills the process.
    let mut signals = Signals::new().map_err(DaemonError::Signals)?;
    let (_log_guard, dropped_lines) = logs::start().map_err(DaemonError::Logs)?;
    let path = settings::path()?;
    let settings = settings::read(&path)?;
    let clock = Arc::new(SystemClock::new());
    let edge = Arc::new(Edge::new(settings.clone(), clock, Metrics::new()?));
    // Set once, right after the daemon was created.
    edge.dropped_lines.set(dropped_lines.clone()).ok();
    tracing::info!(vm = settings.vm, domain = settings.domain, callers = %settings.callers, store = %settings.store, "daemon: starting");
    let caller_socket = bind_socket(settings.callers)?;
    let ready_listener = listen(settings.ready).await?;
    let directory_listener = listen(settings.directory).await?;
    let metrics_listener = listen(SocketAddr::new(settings.address, METRICS_PORT)).await?;
    let store = Arc::new(StoreClient::new(settings.store));
    let peer_address = SocketAddr::new(settings.address, settings.peer_port);
    let (peers, incoming) = Peers::bind(peer_address)?;
    tokio::spawn(registration::register(
        edge.clone(),
        store.clone(),
        peers.clone(),
    ));
    let mut sync_tasks = JoinSet::new();
    sync_tasks.spawn(store_sync::run(edge.clone(), store, peers.clone()));
    sync_tasks.spawn(peer_sync::run(edge.clone(), peers, incoming));
    let (error_sender, mut error_receiver) = mpsc::channel(1);
    let caller_edge = edge.clone();
    tokio::spawn(async move {
        if let Err(error) = caller::open_when_ready(caller_edge, caller_socket).await {
            // The receiver is only dropped when the daemon stops.
            error_sender.send(error).await.ok();
        }
    });
    let listeners = [
        (ready_listener, false),
        (directory_listener, true),
        (metrics_listener, false),
    ];
    for (listener, is_for_callers) in listeners {
        tokio::spawn(local_http::serve(edge.clone(), listener, is_for_callers));
    }
    let mut tick_timer = interval(TICK_INTERVAL);
    loop {
        tokio::select! {
            _ = tick_timer.tick() => edge.tick(),
            Some(error) = error_receiver.recv() => {
                return Err(DaemonError::Listen { address: settings.callers, error });
            }
            // Without these tasks the daemon would go on with a state that is never updated.
            Some(ended) = sync_tasks.join_next() => {
                return Err(DaemonError::SyncEnded(ended.err()));
            }
            _ = signals.reload.recv() => check_changed_settings(&path, &settings),
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
        }
    }
    stop(&edge).await;
    tracing::info!(dropped_lines = dropped_lines.count(), "daemon: stopped");
    Ok(())
}

/// Binds a socket without listening, so that connections are refused until the daemon is ready.
fn bind_socket(address: SocketAddr) -> Result<TcpSocket, DaemonError> {
    let create_bound = || {
        let socket = match address.is_ipv4() {
            true => TcpSocket::new_v4()?,
            false => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        Ok(socket)
    };
    create_bound().map_err(|error| DaemonError::Listen { address, error })
}

async fn listen(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| DaemonError::Listen { address, error })
}

struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }
}

/// Reads the settings file again and logs whether it changed and is valid. Changes take effect only
/// after a restart, because the addresses of a running daemon can't change.
fn check_changed_settings(path: &std::path::Path, current: &Settings) {
    match settings::read(path) {
        Ok(reloaded) if reloaded == *current => tracing::info!("daemon: settings unchanged"),
        Ok(_) => tracing::info!("daemon: settings changed, restart to apply them"),
        Err(error) => tracing::warn!(%error, "daemon: invalid settings, keeping the current ones"),
    }
}

/// Shuts down gracefully: finishes the requests in flight, as far as the grace period allows.
async fn stop(edge: &Edge) {
    tracing::info!(in_flight = edge.in_flight(), "daemon: stopping");
    edge.set_lifecycle(Lifecycle::Stopping(Phase::Accepting));
    // Reports the new status, so that the other daemons stop returning this one's address.
    edge.report_trigger.notify_one();
    loop {
        let phase = phase(
            edge.since_stop_signal().unwrap_or_default(),
            edge.settings.grace_period,
            edge.in_flight(),
        );
        edge.set_lifecycle(Lifecycle::Stopping(phase));
        if phase == Phase::Exit {
            break;
        }
        sleep(STOP_CHECK_INTERVAL).await;
    }
    // The requests in flight have been ended; a connection writes their responses in order.
    let write_deadline = Instant::now() + last_responses_timeout(edge.settings.grace_period);
    while edge.in_flight() > 0 && Instant::now() < write_deadline {
        sleep(STOP_CHECK_INTERVAL).await;
    }
    let unanswered = edge.in_flight();
    if unanswered > 0 {
        tracing::warn!(unanswered, "daemon: exits with requests in flight");
    }
    // Leaves time to transmit the last responses.
    sleep(STOP_CHECK_INTERVAL * 5).await;
}
