//! Stand-in for a backend server.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::backend_server::Backend;
pub use crate::backend_settings::{BackendSettings, HealthReport, Mode, PathFault, ServiceTime};
pub use crate::backend_stats::{BackendStats, Execution, Executions};
use crate::control::{Controlled, Side};
use crate::serve::{Limits, Server};

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

    /// Replaces the behaviour towards single clients; for them it takes
    /// precedence over the mode. Of several faults for a client, the last one
    /// is in force.
    pub fn set_path_faults(&self, faults: Vec<PathFault>) {
        let by_client = faults.iter().flat_map(|fault| {
            let clients = fault.clients.iter();
            clients.map(|client| (*client, fault.mode))
        });
        let by_client: HashMap<IpAddr, Mode> = by_client.collect();
        let gone = by_client
            .iter()
            .filter(|(_, mode)| **mode == Mode::Vanished);
        let gone = gone.map(|(client, _)| *client).collect();
        self.backend.state.lock().paths = by_client;
        self.server.set_unreachable_from(gone);
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

    fn executions(&self) -> Option<Executions> {
        Some(BackendStandIn::executions(self))
    }
}
