//! Starts, runs and stops an edge daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use corianderworks_decision::clock::SystemClock;
use corianderworks_decision::edge::shutdown::{Phase, phase};
use corianderworks_platform::settings::{self, Settings, SettingsError};
use corianderworks_platform::store::StoreClient;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio::time::{Instant, interval, sleep};

use crate::metrics::{Metrics, MetricsError};
use crate::peers::{PeerError, Peers};
use crate::state::{Edge, Lifecycle};
use crate::{caller, feed, local_http, logs, peer_sync, registration};

/// Port of the metrics, as named in the deploy file.
const METRICS_PORT: u16 = 9464;
/// Pause between checks of what is due with time.
const TICK: Duration = Duration::from_millis(100);
/// Pause between checks of a stopping daemon.
const STOP_TICK: Duration = Duration::from_millis(20);

/// Why a daemon can't run.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// The settings can't be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A socket can't be opened.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// Address of the socket.
        address: SocketAddr,
        /// Why it can't be opened.
        error: std::io::Error,
    },
    /// Signals can't be received.
    #[error("cannot receive signals: {0}")]
    Signals(std::io::Error),
    /// Logs can't be started.
    #[error("cannot start logs: {0}")]
    Logs(Box<dyn std::error::Error + Send + Sync>),
    /// Other daemons can't be connected.
    #[error(transparent)]
    Peers(#[from] PeerError),
    /// Metrics can't be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
}

/// Runs an edge daemon until it is stopped.
///
/// # Errors
///
/// Fails if the settings are unusable or a socket can't be opened.
pub async fn run() -> Result<(), DaemonError> {
    // First, because a signal without a handler ends the process.
    let mut signals = Signals::new().map_err(DaemonError::Signals)?;
    let (_lines, dropped) = logs::start().map_err(DaemonError::Logs)?;
    let path = settings::path()?;
    let settings = settings::read(&path)?;
    let clock = Arc::new(SystemClock::new());
    let edge = Arc::new(Edge::new(settings.clone(), clock, Metrics::new()?));
    tracing::info!(vm = settings.vm, domain = settings.domain, callers = %settings.callers, store = %settings.store, "daemon: starting");
    let callers = bind(settings.callers)?;
    let ready = listen(settings.ready).await?;
    let directory = listen(settings.directory).await?;
    let metrics = listen(SocketAddr::new(settings.address, METRICS_PORT)).await?;
    let store = Arc::new(StoreClient::new(settings.store));
    let peer_address = SocketAddr::new(settings.address, settings.peer_port);
    let (peers, incoming) = Peers::bind(peer_address)?;
    tokio::spawn(registration::register(
        edge.clone(),
        store.clone(),
        peers.clone(),
    ));
    tokio::spawn(feed::run(edge.clone(), store, peers.clone()));
    tokio::spawn(peer_sync::run(edge.clone(), peers, incoming));
    let (failed, mut failure) = mpsc::channel(1);
    let accepting = edge.clone();
    tokio::spawn(async move {
        if let Err(error) = caller::open_when_ready(accepting, callers).await {
            // The receiver ends with the process only.
            failed.send(error).await.ok();
        }
    });
    for listener in [ready, directory, metrics] {
        tokio::spawn(local_http::serve(edge.clone(), listener));
    }
    let mut ticks = interval(TICK);
    loop {
        tokio::select! {
            _ = ticks.tick() => edge.tick(),
            Some(error) = failure.recv() => {
                return Err(DaemonError::Listen { address: settings.callers, error });
            }
            _ = signals.reload.recv() => reload(&path, &settings),
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
        }
    }
    stop(&edge).await;
    tracing::info!(dropped_lines = dropped.count(), "daemon: stopped");
    Ok(())
}

/// Reserves an address without listening yet.
fn bind(address: SocketAddr) -> Result<TcpSocket, DaemonError> {
    let bound = || {
        let socket = match address.is_ipv4() {
            true => TcpSocket::new_v4()?,
            false => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        Ok(socket)
    };
    bound().map_err(|error| DaemonError::Listen { address, error })
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

/// Checks settings that have changed. Addresses of a running daemon stay as they are.
fn reload(path: &std::path::Path, current: &Settings) {
    match settings::read(path) {
        Ok(next) if next == *current => tracing::info!("daemon: settings unchanged"),
        Ok(_) => tracing::info!("daemon: settings changed; in force after the next start"),
        Err(error) => tracing::warn!(%error, "daemon: settings unusable; the old ones stay"),
    }
}

/// Finishes requests in flight, as far as the grace period allows.
async fn stop(edge: &Edge) {
    let started = Instant::now();
    tracing::info!(in_flight = edge.in_flight(), "daemon: stopping");
    edge.set_lifecycle(Lifecycle::Stopping(Phase::Accepting));
    // The others leave this daemon out of their address answers.
    edge.report_trigger.notify_one();
    loop {
        let phase = phase(started.elapsed(), edge.settings.grace, edge.in_flight());
        edge.set_lifecycle(Lifecycle::Stopping(phase));
        if phase == Phase::Exit {
            break;
        }
        sleep(STOP_TICK).await;
    }
    // Responses that are complete are still written.
    sleep(STOP_TICK * 5).await;
}
